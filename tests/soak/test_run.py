"""A short soak, and each seed that ever failed, with the cause."""

import asyncio
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]

SEEDS = {
    1: "the first one that was played; it never failed",
    123: "the last outage outlasted the clients of the soak; they now end after it",
}
"""Seeds and why they are kept."""


LATER_SEEDS = {
    820: "the first one with endpoints that start again under their name, and with "
    "entries that cannot be read; it never failed",
}
"""The same, drawn from more kinds of faults."""

LATEST_SEEDS = {
    900: "the first one with requests that crash endpoints and suspended hosts",
}
"""The same, drawn from these kinds as well."""

DUTY_SEEDS = {
    1: "the first one with workspaces and duties; it never failed",
}
"""Seeds of keys that change, and of hosts that lose a duty in the middle of it."""


KEPT = [
    *(("first", seed) for seed in SEEDS),
    *(("second", seed) for seed in LATER_SEEDS),
    *(("third", seed) for seed in LATEST_SEEDS),
    *(("duties", seed) for seed in DUTY_SEEDS),
]
"""The kinds that a seed was drawn from, and the seed."""


@pytest.mark.timeout(180)
@pytest.mark.parametrize(("kinds", "seed"), KEPT)
async def test_the_promises_hold(kinds, seed):
    await play(seed, "--kinds", kinds)


async def play(seed, *options):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "soak",
        "--seed",
        str(seed),
        "--seconds",
        "6",
        "--strikes",
        "5",
        *options,
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    assert process.returncode == 0, output.decode()
