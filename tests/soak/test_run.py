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


@pytest.mark.timeout(180)
@pytest.mark.parametrize("seed", SEEDS)
async def test_the_promises_hold(seed):
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
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    assert process.returncode == 0, output.decode()
