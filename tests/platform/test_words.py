"""Nothing outside the adapter knows the platform's names."""

import re
from pathlib import Path

import pytest

from bankrudder.platform import _names

PACKAGES = (
    "batches",
    "calls",
    "cli",
    "client",
    "config",
    "feeds",
    "duties",
    "fleet",
    "leases",
    "logs",
    "node",
    "observe",
    "orders",
    "presence",
    "relay",
    "routing",
    "rpc",
    "steps",
    "store",
    "supply",
    "tls",
    "usage",
    "wire",
    "workspaces",
    "world",
)
"""All packages but the adapter."""

ROOT = Path(__file__).parents[2] / "src" / "bankrudder"
FILES = sorted(path for name in PACKAGES for path in (ROOT / name).glob("*.py"))

WIRE_FIELDS = (
    "slot_count",
    "num_waiting",
    "num_running",
    "kv_used",
    "kv_total",
    "tombstone",
    "set_keys",
    "now_ms",
    "total_count",
    "target_latency_ms",
    "result_target_ms",
    "heartbeat_ms",
    "backends",
    "session_affinity",
)
"""Fields of the platform that the project names otherwise."""


def names():
    return [
        value
        for name, value in vars(_names).items()
        if name.isupper() and isinstance(value, str) and len(value) > 7
    ]


@pytest.mark.parametrize(
    "path", FILES, ids=lambda path: f"{path.parent.name}/{path.name}"
)
def test_no_name_of_the_platform_stands_outside_the_adapter(path):
    text = path.read_text()
    found = [name for name in names() if name in text]
    found += [field for field in WIRE_FIELDS if re.search(rf"\b{field}\b", text)]
    assert found == []


@pytest.mark.parametrize(
    "path", FILES, ids=lambda path: f"{path.parent.name}/{path.name}"
)
def test_nothing_but_the_program_imports_the_adapter(path):
    assert "bankrudder.platform" not in path.read_text()
