"""Demonstration of the service on a simulated platform, with checks of its guarantees.

Starts daemons as processes on loopback, which two trainers, three callers and two
callers of the RPC interface use. Stops one host gracefully, kills another, changes the
configuration, and revokes an API key of one of two workspaces. Then checks what clients
and endpoints saw, and prints the usage of each workspace. The exit status is 1 if a
guarantee was violated.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "src"), str(ROOT / "tests")]

from soak.__main__ import SoakRun  # noqa: E402
from soak.faults import Fault  # noqa: E402

HOSTS = 4
ENGINES = 3
SECONDS = 8.0

SCHEDULE = (
    Fault(2.0, "configuration_changed", 0, 0.0),
    Fault(3.0, "stop", 1, 0.0),
    Fault(4.0, "key_taken_away", 0, 1.0),
    Fault(5.0, "kill", 2, 1.0),
    Fault(7.0, "configuration_changed", 0, 0.0),
)
"""Faults and other changes of the run, with their times in seconds."""


async def run_demo():
    """Run the schedule; return a sentence for each violated guarantee."""
    with tempfile.TemporaryDirectory(prefix="demo-") as folder:
        run = SoakRun(0, SECONDS, HOSTS, ENGINES, SCHEDULE, Path(folder))
        try:
            found = await run.run()
            print("\n".join(run.usage_lines()))
            return found
        finally:
            await run.stop()


def main():
    """Run the demo and return the exit code."""
    print(f"demo: {HOSTS} hosts, {ENGINES} engines, and a simulated platform")
    found = asyncio.run(run_demo())
    for sentence in found:
        print(f"BROKEN: {sentence}")
    if not found:
        print("no guarantee was violated")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
