"""A stand-in for any server, whose answers are given byte by byte."""

import asyncio
from contextlib import suppress


class CannedServer:
    """Sends ``answer`` to each request, and closes the connection.

    ``next_answers`` holds other answers to the next requests. ``%s`` in an answer
    becomes the identifier of the request. ``requests`` holds the first line of each
    request. With ``parts`` each byte is sent by itself.
    """

    def __init__(self, answer=b""):
        self.answer = answer
        self.next_answers = []
        self.parts = False
        self.requests = []
        self.address = ""
        self._server = None

    async def start(self):
        """Listen on a free port of the loopback interface."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def stop(self):
        """Stop listening."""
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, reader, writer):
        with suppress(asyncio.IncompleteReadError, OSError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            self.requests.append(head.partition("\r\n")[0])
            fields = dict(
                line.lower().split(": ", 1) for line in head.split("\r\n")[1:-2]
            )
            await reader.readexactly(int(fields.get("content-length", 0)))
            identifier = fields.get("x-request-id", "").encode()
            template = self.next_answers.pop(0) if self.next_answers else self.answer
            answer = template.replace(b"%s", identifier)
            for part in _bytes_of(answer) if self.parts else [answer]:
                writer.write(part)
                await writer.drain()
                if self.parts:
                    await asyncio.sleep(0)
        writer.close()


def _bytes_of(data):
    return [data[number : number + 1] for number in range(len(data))]
