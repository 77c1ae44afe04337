"""A daemon whose host can be suspended: ``python suspendable_node.py``.

While a host is suspended, its monotonic clock stands still; its boot-time clock and the
time of day continue. A process that is only stopped by a signal finds that all clocks
continued. This daemon is therefore sent `SUSPENSION_SIGNAL` before it is stopped: the
time from then to the next `signal.SIGCONT` is left out of its event loop's clock, which
is the monotonic one. It uses asyncio's event loop, because the clock of the loop that
the daemon normally uses, uvloop, cannot be replaced.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

import uvloop

sys.path.insert(0, str(Path(__file__).parents[2] / "src"))

SUSPENSION_SIGNAL = signal.SIGUSR1


# The signal must not end the process before the event loop handles it.
signal.signal(SUSPENSION_SIGNAL, signal.SIG_IGN)


class SuspendableLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock leaves out simulated suspensions."""

    def __init__(self):
        self._suspended_s = 0.0
        self._suspended_at = None
        super().__init__()
        signal.signal(SUSPENSION_SIGNAL, self._note_suspension)
        signal.signal(signal.SIGCONT, self._note_resumption)

    def time(self):
        """Return the time of the monotonic clock of a host that was suspended."""
        return time.monotonic() - self._suspended_s

    def _note_suspension(self, *_):
        self._suspended_at = time.monotonic()

    def _note_resumption(self, *_):
        if self._suspended_at is not None:
            self._suspended_s += time.monotonic() - self._suspended_at
            self._suspended_at = None


def _run(main):
    with asyncio.Runner(loop_factory=SuspendableLoop) as runner:
        return runner.run(main)


def main():
    """Run the daemon on a `SuspendableLoop`."""
    uvloop.run = _run
    from bankrudder.platform import main as run_daemon

    run_daemon()


if __name__ == "__main__":
    main()
