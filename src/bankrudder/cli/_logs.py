"""Following an id through the logs of several hosts."""

import argparse
from collections.abc import Iterable, Mapping

import msgspec

from bankrudder.cli._exit import ExitCode
from bankrudder.cli._files import read_file
from bankrudder.cli._output import Output

ID_FIELDS = ("request", "batch", "sample", "call", "content")
"""Fields of a line that name what it is about."""

_SHOWN_FIRST = ("timestamp", "logged_by", "level", "event")

Line = Mapping[str, object]


async def find(arguments: argparse.Namespace, output: Output) -> ExitCode:
    """Print all lines about an id, and about the batch that it belongs to."""
    lines = [line for name in arguments.files for line in _lines_of(read_file(name))]
    found = lines_about(arguments.id, lines)
    output.value([dict(line) for line in found], [_shown(line) for line in found])
    return ExitCode.OK if found else ExitCode.FAILED


def lines_about(wanted: str, lines: Iterable[Line]) -> list[Line]:
    """Return the lines about `wanted` and its batch, in the order of their times.

    Lines about other samples of the batch are left out, and of the lines about the same
    content those about other requests.
    """
    lines = list(lines)
    direct = [line for line in lines if _is_about(line, wanted)]
    batches = {line["batch"] for line in direct if "batch" in line and "sample" in line}
    contents = {line["content"] for line in direct if "content" in line}
    whole = [line for line in lines if _is_of_all(line, batches, contents)]
    found = {id(line): line for line in [*direct, *whole]}
    return sorted(found.values(), key=lambda line: str(line.get("timestamp", "")))


def _is_about(line: Line, wanted: str) -> bool:
    return any(line.get(field) == wanted for field in ID_FIELDS)


def _is_of_all(line: Line, batches: set[object], contents: set[object]) -> bool:
    """Whether a line is about a whole batch, or about whoever asks a content."""
    if "sample" in line or "request" in line:
        return False
    return line.get("batch") in batches or line.get("content") in contents


def _lines_of(data: bytes) -> Iterable[Line]:
    for text in data.splitlines():
        # A collector may write something in front of the line.
        _, brace, rest = text.partition(b"{")
        if not brace:
            continue
        try:
            line = msgspec.json.decode(brace + rest)
        except msgspec.DecodeError:
            continue  # a line that was cut, or one of another program
        if isinstance(line, dict):
            yield line


def _shown(line: Line) -> str:
    first = " ".join(str(line.get(field, "-")) for field in _SHOWN_FIRST)
    rest = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in _SHOWN_FIRST
    )
    return f"{first} {rest}".rstrip()
