"""Writing of log lines that never waits for whoever reads them."""

import os
from typing import Any

MAX_WAITING_BYTES = 256 * 1024
"""Lines that wait for a slow reader; more are dropped and counted. Some thousand
lines, and a small part of a host's memory."""


class NonBlockingSink:
    """A text stream on a file descriptor that drops lines rather than wait.

    Parameters
    ----------
    descriptor : int
        Open for writing; it is set not to block.
    """

    def __init__(self, descriptor: int):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._waiting = bytearray()
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of writes that were dropped since the start."""
        return self._dropped

    def write(self, text: str) -> int:
        """Write a line, or keep it until the reader is ready."""
        line = text.encode("utf-8", "replace")
        if len(self._waiting) + len(line) > MAX_WAITING_BYTES:
            self._dropped += 1
        else:
            self._waiting += line
        self.flush()
        return len(text)

    def flush(self, *_: Any) -> None:
        """Write what the reader takes now."""
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere to say so.
                self._dropped += 1
                self._waiting.clear()
                return
            del self._waiting[:written]
