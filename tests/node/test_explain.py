"""The operations page names only log lines and metrics that the code writes."""

import asyncio
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
PARTS = (
    "calls|crashes|relay|batches|node|store|presence|leases|fleet|orders|gateway"
    "|overload"
)
EVENT = re.compile(f"`((?:{PARTS}): [a-z ]+)`")
METRIC = re.compile(r"`(bankrudder_[a-z_]+)`")


def sources():
    return "\n".join(
        path.read_text() for path in (ROOT / "src" / "bankrudder").glob("**/*.py")
    )


def test_every_line_of_the_page_is_logged_somewhere():
    text = sources()
    assert [event for event in EVENT.findall(PAGE) if f'"{event}"' not in text] == []


def test_every_metric_of_the_page_is_exported():
    text = sources()
    assert [name for name in METRIC.findall(PAGE) if f'"{name}"' not in text] == []


async def test_the_four_failures_are_explained_by_the_logs():
    process = await asyncio.create_subprocess_exec(
        sys.executable, str(ROOT / "bench" / "explain.py"), stdout=subprocess.PIPE
    )
    output, _ = await process.communicate()
    text = output.decode()
    assert process.returncode == 0
    refused, lost, crashed, late = text.split("\n== ")[1:]
    assert "outcome=refused: full" in refused
    assert "reason=full runs=0" in refused
    assert "outcome=lost: no_answer runs=1" in lost
    assert "reason=endpoint_failed runs=1" in lost
    assert "batches: taken over" in late
    assert "sample done" in late
    assert crashed.count("crashes: endpoint ended under a request") == 3
    assert "reason=crashes_endpoints runs=0" in crashed
