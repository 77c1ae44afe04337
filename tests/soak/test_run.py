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


@pytest.mark.timeout(180)
@pytest.mark.parametrize("seed", SEEDS)
async def test_the_promises_hold(seed):
    await play(seed, "--kinds", "first")


@pytest.mark.timeout(180)
@pytest.mark.parametrize("seed", LATER_SEEDS)
async def test_the_promises_hold_while_endpoints_start_again(seed):
    await play(seed, "--kinds", "second")


@pytest.mark.timeout(180)
@pytest.mark.parametrize("seed", LATEST_SEEDS)
async def test_the_promises_hold_while_requests_crash_endpoints(seed):
    await play(seed, "--kinds", "third")


@pytest.mark.timeout(180)
@pytest.mark.parametrize("seed", DUTY_SEEDS)
async def test_the_promises_hold_while_keys_and_duties_change(seed):
    await play(seed, "--kinds", "duties")


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
