"""Heads of answers, with the bytes that endpoints sent."""

from aiohttp.http import StreamWriter
from multidict import CIMultiDict


class HeadWriter(StreamWriter):
    """Writer that keeps the bytes of header values that are not UTF-8.

    The HTTP library decodes such bytes to surrogates, and drops these when it writes.
    """

    async def write_headers(
        self, status_line: str, headers: "CIMultiDict[str]"
    ) -> None:
        """Write a head; raises `ValueError` if it contains control characters."""
        await super().write_headers(status_line, headers)
        if not all(value.isascii() for value in headers.values()):
            fields = (f"{name}: {value}" for name, value in headers.items())
            text = "\r\n".join([status_line, *fields, "", ""])
            self._headers_buf = text.encode("utf-8", "surrogateescape")
