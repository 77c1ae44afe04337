"""Only the adapter uses the platform's paths, header names and field names."""

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
"""Packages that must not use the platform's names."""

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
"""Fields of the platform's formats for which the project has other names."""


def platform_names():
    return [
        value
        for name, value in vars(_names).items()
        if name.isupper() and isinstance(value, str) and len(value) > 7
    ]


@pytest.mark.parametrize(
    "path", FILES, ids=lambda path: f"{path.parent.name}/{path.name}"
)
def test_other_packages_use_no_names_of_the_platform(path):
    text = path.read_text()
    found = [name for name in platform_names() if name in text]
    found += [field for field in WIRE_FIELDS if re.search(rf"\b{field}\b", text)]
    assert found == []


@pytest.mark.parametrize(
    "path", FILES, ids=lambda path: f"{path.parent.name}/{path.name}"
)
def test_other_packages_do_not_import_the_adapter(path):
    assert "bankrudder.platform" not in path.read_text()
