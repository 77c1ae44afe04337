"""The main job on the stand-ins of the users' platform, judged.

Starts daemons as processes on loopback, lets two trainers and three callers use them,
stops one host as planned, kills another, changes the configuration, takes away a key of
one of two workspaces, and checks what all sides saw. At the end it prints what each
workspace used. The exit code is 1 if a promise was broken.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "src"), str(ROOT / "tests")]

from soak.__main__ import SoakRun  # noqa: E402
from soak.faults import Strike  # noqa: E402

HOSTS = 4
ENGINES = 3
SECONDS = 8.0

STORY = (
    Strike(2.0, "configuration_changed", 0, 0.0),
    Strike(3.0, "stop", 1, 0.0),
    Strike(4.0, "key_taken_away", 0, 1.0),
    Strike(5.0, "kill", 2, 1.0),
    Strike(7.0, "configuration_changed", 0, 0.0),
)
"""What happens, and when in seconds."""


async def play():
    """Play the story; return the broken promises."""
    with tempfile.TemporaryDirectory(prefix="demo-") as folder:
        run = SoakRun(0, SECONDS, HOSTS, ENGINES, STORY, Path(folder))
        try:
            found = await run.run()
            print("\n".join(run.usage_lines()))
            return found
        finally:
            await run.stop()


def main():
    """Run the demo and return the exit code."""
    print(f"demo: {HOSTS} hosts, {ENGINES} engines, and their stand-ins")
    found = asyncio.run(play())
    for sentence in found:
        print(f"BROKEN: {sentence}")
    if not found:
        print("every promise held")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
