"""Non-blocking output of log lines."""

import os
from typing import Any

MAX_BUFFERED_BYTES = 256 * 1024
"""Size of the buffer for lines that the reader has not read yet. Further lines are
dropped and counted. The buffer holds some thousand lines and takes a small part of a
host's memory."""


class NonBlockingSink:
    """A text stream on a file descriptor that drops lines instead of blocking.

    Parameters
    ----------
    descriptor : int
        Open for writing; it is switched to non-blocking mode.
    """

    def __init__(self, descriptor: int):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._dropped_count = 0

    @property
    def dropped_count(self) -> int:
        """Number of drops since the start.

        A line that does not fit into the buffer counts as one drop, and so does a whole
        buffer that is discarded because the descriptor cannot be written.
        """
        return self._dropped_count

    def write(self, text: str) -> int:
        """Write a line, or buffer it until the reader is ready.

        The line is dropped if it does not fit into the buffer.
        """
        line = text.encode("utf-8", "replace")
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self._dropped_count += 1
        else:
            self._buffer += line
        self.flush()
        return len(text)

    def flush(self, *_: Any) -> None:
        """Write as much of the buffer as the descriptor takes without blocking."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, and there is no other place to log to.
                self._dropped_count += 1
                self._buffer.clear()
                return
            del self._buffer[:written]
