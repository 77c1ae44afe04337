"""Files that the command reads and writes."""

import sys
from pathlib import Path

from bankrudder.exceptions import InvalidError
from bankrudder.failures import FailureReason

STANDARD_STREAM = "-"


def read_file(path: str) -> bytes:
    """Return the bytes of a file, or of standard input for ``-``.

    Raises
    ------
    InvalidError
        If the file cannot be read.
    """
    if path == STANDARD_STREAM:
        return sys.stdin.buffer.read()
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise _file_error(path, error) from error


def write_file(path: str, text: str) -> None:
    """Write a file.

    Raises
    ------
    InvalidError
        If the file cannot be written.
    """
    try:
        Path(path).write_text(text)
    except OSError as error:
        raise _file_error(path, error) from error


def read_token(path: str | None) -> str:
    """Return the token in a file, without surrounding white space.

    Raises
    ------
    InvalidError
        If no file is named, or it holds no printable ASCII token.
    """
    if path is None:
        raise InvalidError(
            FailureReason.UNAUTHENTICATED,
            "--token-file is required",
            field="token-file",
        )
    token = read_file(path).decode(errors="replace").strip()
    if not token or not token.isascii() or not token.isprintable():
        raise InvalidError(
            FailureReason.UNAUTHENTICATED,
            f"{path} must hold a token of printable ASCII characters",
            field="token-file",
        )
    return token


def _file_error(path: str, error: OSError) -> InvalidError:
    return InvalidError(
        FailureReason.BAD_REQUEST, f"cannot use {path}: {error.strerror}", field=path
    )
