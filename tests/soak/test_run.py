"""Short soak runs with kept seeds.

Kept are the first seed of each set of fault kinds, and each seed that has failed, with
its cause.
"""

import asyncio
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]

FIRST_SEEDS = {
    1: "the first seed of this set; it never failed",
    123: "the last outage outlasted the clients of the soak, which now stop after it",
}
"""Seeds drawn from the first set of fault kinds, and why they are kept."""

SECOND_SEEDS = {
    820: "the first seed with endpoints that restart under their name, and with "
    "unreadable entries; it never failed",
}
"""Seeds drawn from the second set of fault kinds, and why they are kept."""

THIRD_SEEDS = {
    900: "the first seed with requests that crash endpoints, and with suspended hosts",
}
"""Seeds drawn from the third set of fault kinds, and why they are kept."""

DUTY_SEEDS = {
    1: "the first seed with workspaces and duties; it never failed",
}
"""Seeds drawn from the fault kinds of workspaces and duties, and why they are kept."""

BROKEN_ANSWER_SEEDS = {
    8: "the first seed with bytes that are no answer, and with stops beside slow "
    "endpoints; it never failed",
}
"""Seeds drawn from the fault kinds of broken answers, and why they are kept."""

KEPT_SEEDS = [
    *(("first", seed) for seed in FIRST_SEEDS),
    *(("second", seed) for seed in SECOND_SEEDS),
    *(("third", seed) for seed in THIRD_SEEDS),
    *(("duties", seed) for seed in DUTY_SEEDS),
    *(("broken_answers", seed) for seed in BROKEN_ANSWER_SEEDS),
]
"""Pairs of a set of fault kinds and a seed."""


@pytest.mark.timeout(180)
@pytest.mark.parametrize(("kinds", "seed"), KEPT_SEEDS)
async def test_a_kept_seed_breaks_no_guarantee(kinds, seed):
    await run_soak(seed, "--kinds", kinds)


async def run_soak(seed, *options):
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
