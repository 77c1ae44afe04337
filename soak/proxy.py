"""A TCP proxy on loopback that can delay, drop or refuse traffic."""

import asyncio
from contextlib import suppress
from enum import Enum
from typing import Any

CHUNK_BYTES = 65536


class LinkMode(Enum):
    """What the proxy does with received bytes."""

    OPEN = "open"
    DELAYED = "delayed"
    SILENT = "silent"
    """Bytes are dropped in both directions, and connections stay open."""

    NO_REPLIES = "no_replies"
    """Requests are forwarded, replies are dropped."""


class Proxy:
    """Forwards connections to one address."""

    def __init__(self, target, delay_s=0.15):
        self.mode = LinkMode.OPEN
        self.address = ""
        self._target = target
        self._delay_s = delay_s
        self._server: Any = None
        self._writers = set()
        self._tasks = set()

    async def start(self):
        """Listen on loopback: first on a free port, after a restart on the same one."""
        _, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", int(port or 0)
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def stop(self):
        """Stop listening and close all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        self.reset_all()

    def refuse(self):
        """Reset all connections and refuse new ones until the next `start`."""
        self._server.close()
        self.reset_all()

    def reset_all(self):
        """Reset all open connections; new ones are treated according to the mode."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        host, _, port = self._target.rpartition(":")
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream_writer}
        self._run(self._forward(reader, upstream_writer, is_reply=False))
        self._run(self._forward(upstream_reader, writer, is_reply=True))

    def _run(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(self, reader, writer, is_reply):
        with suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                match self.mode:
                    case LinkMode.SILENT:
                        continue
                    case LinkMode.NO_REPLIES if is_reply:
                        continue
                    case LinkMode.DELAYED:
                        await asyncio.sleep(self._delay_s)
                writer.write(chunk)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()
