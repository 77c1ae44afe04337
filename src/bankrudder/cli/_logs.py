"""Search for an identifier in the logs of several hosts.

A line that is not a JSON object, such as a truncated one, is skipped.
"""

import argparse
from collections.abc import Iterable, Mapping
from typing import Any

from bankrudder.cli._exit import ExitCode
from bankrudder.cli._files import read_file
from bankrudder.cli._output import Output
from bankrudder.decoding import UnreadableDocumentError, decode_json

ID_FIELDS = ("request", "batch", "sample", "call", "content")
"""Fields of a log line whose identifiers can be searched for.

The field ``content`` holds a digest that all requests with the same content share.
"""

_LEADING_FIELDS = ("timestamp", "logged_by", "level", "event")

Line = Mapping[str, object]


async def find(arguments: argparse.Namespace, output: Output) -> ExitCode:
    """Print the log lines about an identifier; fail if there are none."""
    lines = [line for name in arguments.files for line in _parse_lines(read_file(name))]
    found = lines_about(arguments.id, lines)
    output.value([dict(line) for line in found], [_format_line(line) for line in found])
    return ExitCode.OK if found else ExitCode.FAILED


def lines_about(searched_id: str, lines: Iterable[Line]) -> list[Line]:
    """Return the lines about `searched_id`, sorted by their timestamps.

    For a sample, they include the lines about its batch as a whole, but not those
    about other samples. For a request, they include the lines about its content, but
    not those about other requests with the same content.
    """
    lines = list(lines)
    matches = [line for line in lines if _is_about(line, searched_id)]
    batch_ids = {
        line["batch"] for line in matches if "batch" in line and "sample" in line
    }
    content_ids = {line["content"] for line in matches if "content" in line}
    shared = [line for line in lines if _is_shared(line, batch_ids, content_ids)]
    found = {id(line): line for line in [*matches, *shared]}
    return sorted(found.values(), key=lambda line: str(line.get("timestamp", "")))


def _is_about(line: Line, searched_id: str) -> bool:
    return any(line.get(field) == searched_id for field in ID_FIELDS)


def _is_shared(line: Line, batch_ids: set[object], content_ids: set[object]) -> bool:
    """Return whether a line is about one of the batches or contents as a whole.

    Such a line names no sample of the batch and no request with the content.
    """
    if "sample" in line or "request" in line:
        return False
    return line.get("batch") in batch_ids or line.get("content") in content_ids


def _parse_lines(data: bytes) -> Iterable[Line]:
    for text in data.splitlines():
        # Log collectors may put a prefix before the JSON object.
        _, brace, rest = text.partition(b"{")
        if not brace:
            continue
        try:
            yield decode_json(brace + rest, dict[str, Any])
        except UnreadableDocumentError:
            continue  # a truncated line, or one of another program


def _format_line(line: Line) -> str:
    first = " ".join(str(line.get(field, "-")) for field in _LEADING_FIELDS)
    rest = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in _LEADING_FIELDS
    )
    return f"{first} {rest}".rstrip()
