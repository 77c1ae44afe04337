"""Output of the command: text, or JSON with ``--json``."""

import sys
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec

from bankrudder.client import (
    Applied,
    EndpointReport,
    EndpointSpeedReport,
    NodeReport,
    UsageReport,
)
from bankrudder.config import ConfigurationDifference
from bankrudder.failures import Failure
from bankrudder.world import Configuration

BYTES_PER_MIB = 1024 * 1024
COLUMN_GAP = "  "
NODE_COLUMNS = (
    "HOST",
    "DATA CENTRE",
    "ADDRESS",
    "REVISION",
    "STATE",
    "MIB",
    "VERSION",
)
USAGE_COLUMNS = ("WINDOW", "STATE", "WORKSPACE", "REQUESTS")
ENDPOINT_COLUMNS = ("ENDPOINT", "STATE", "IN FLIGHT", "SLOTS", "VERSION")
SPEED_COLUMNS = ("LATENCY MS", "GAP MS", "SLOWDOWN", "REPORT AGE S")


class Output:
    """Writes results to standard output and errors to standard error."""

    def __init__(self, as_json: bool):
        self._as_json = as_json

    def value(self, value: Any, lines: Iterable[str]) -> None:
        """Write a result: `value` with ``--json``, otherwise `lines`."""
        if self._as_json:
            print(msgspec.json.encode(value).decode())
            return
        for line in lines:
            print(line)

    def text(self, text: str) -> None:
        """Write a document unchanged."""
        sys.stdout.write(text)

    def note(self, value: Any, line: str) -> None:
        """Write a message that is not part of the result to standard error."""
        text = msgspec.json.encode(value).decode() if self._as_json else line
        print(text, file=sys.stderr)

    def failure(self, failure: Failure) -> None:
        """Write why the command failed."""
        if self._as_json:
            print(msgspec.json.encode(failure).decode(), file=sys.stderr)
            return
        lines = [f"bankrudder: {failure.kind.value}: {failure.reason.value}"]
        if failure.detail:
            lines += failure.detail.split("; ")
        if failure.retry_after_s is not None:
            lines.append(f"retry in {failure.retry_after_s:g} s")
        print("\n  ".join(lines), file=sys.stderr)


def applied_lines(applied: Applied) -> list[str]:
    """Return the text for the result of an apply."""
    if applied.accepted:
        return [f"revision {applied.revision} accepted"]
    return [
        f"revision {applied.revision} is written, but not accepted yet",
        f"pending hosts: {', '.join(applied.pending_hosts)}",
    ]


def difference_lines(change: ConfigurationDifference) -> list[str]:
    """Return one line for each entry that is new, changed or removed."""
    lines = []
    for section in Configuration.__struct_fields__:
        for name in getattr(change.removed, section):
            lines.append(f"- {section} {name}")
        for entry in getattr(change.changed, section):
            lines.append(f"+ {section} {msgspec.json.encode(entry).decode()}")
    return lines or ["no difference"]


def status_lines(nodes: Sequence[NodeReport], endpoints: bool) -> list[str]:
    """Return a table of nodes; if `endpoints` is true, add one of endpoints.

    Only the node that answers the request reports its endpoints.
    """
    lines = _format_table([NODE_COLUMNS, *(_node_row(node) for node in nodes)])
    if endpoints:
        lines += ["", *_endpoint_lines(nodes)]
    return lines


def usage_table_lines(windows: Sequence[UsageReport]) -> list[str]:
    """Return a table with a row for each window and workspace."""
    rows: list[tuple[str, ...]] = []
    for usage_window in windows:
        counts = sorted(usage_window.counts.items()) or [("", 0)]
        rows += [
            (str(usage_window.window), usage_window.state, workspace, str(count))
            for workspace, count in counts
        ]
    return _format_table([USAGE_COLUMNS, *rows])


def _node_row(node: NodeReport) -> tuple[str, ...]:
    return (
        node.host,
        node.data_centre,
        node.rpc_address,
        str(node.revision),
        _state(node),
        str(node.memory_bytes // BYTES_PER_MIB) if node.memory_bytes else "",
        node.version,
    )


def _state(node: NodeReport) -> str:
    if node.unreachable:
        return node.unreachable
    if node.stopping:
        return "stopping"
    return "running" if node.serving else "waiting"


def _endpoint_lines(nodes: Sequence[NodeReport]) -> list[str]:
    """Return a table of endpoints, with their speed if one of them has any."""
    endpoints = [endpoint for node in nodes for endpoint in node.endpoints]
    if not any(endpoint.speed for endpoint in endpoints):
        return _format_table([ENDPOINT_COLUMNS, *map(_endpoint_row, endpoints)])
    rows = [
        (*_endpoint_row(endpoint), *_speed_row(endpoint.speed))
        for endpoint in endpoints
    ]
    return _format_table([(*ENDPOINT_COLUMNS, *SPEED_COLUMNS), *rows])


def _endpoint_row(endpoint: EndpointReport) -> tuple[str, ...]:
    return (
        endpoint.name,
        endpoint.state,
        str(endpoint.in_flight),
        str(endpoint.slots),
        str(endpoint.version),
    )


def _speed_row(speed: EndpointSpeedReport | None) -> tuple[str, ...]:
    if speed is None:
        return ("",) * len(SPEED_COLUMNS)
    return (
        f"{1000 * speed.latency_s:.1f}" if speed.latency_s else "",
        f"{1000 * speed.gap_s:.1f}" if speed.gap_s else "",
        f"{speed.slowdown:.2f}",
        f"{speed.report_age_s:.1f}",
    )


def _format_table(rows: Sequence[Sequence[str]]) -> list[str]:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
