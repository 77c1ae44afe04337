"""A stand-in for servers in trouble, whose answers have no end."""

import itertools
import socket
import threading
import time

BLOCK_BYTES = 1 << 16
SEND_BUFFER_BYTES = 1 << 16
"""The kernel is to take few bytes that the other side does not read."""

PAUSE_S = 0.02
"""Pause between the parts of a slow answer, shorter than any timeout of a read."""

CLOSE_WAIT_S = 10.0


class EndlessServer:
    """Answers each request with ``head`` and then ``unit`` again and again.

    ``%s`` in the head becomes the identifier of the request.

    It runs in a thread of its own, so that it also sends while the event loop of the
    other side is busy. ``sent_bytes`` counts what it sent and ``connections`` how many
    there were. With ``is_slow`` a unit is sent now and then, else as many as the other
    side takes.
    """

    def __init__(self, head=b"", unit=b"", *, is_slow=False):
        self._head = head
        self._unit = unit
        self._is_slow = is_slow
        self._stopped = threading.Event()
        self._closed = threading.Event()
        self.sent_bytes = 0
        self.connections = 0
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self._threads = []

    def send_next(self, head, unit):
        """Answer the next requests with another head and unit."""
        self._head, self._unit = head, unit

    def start(self):
        """Start to listen."""
        self._start_thread(self._accept)
        return self

    def stop(self):
        """Close all connections."""
        self._stopped.set()
        # A blocking accept does not notice that its socket is closed.
        with socket.create_connection(self._socket.getsockname()):
            pass
        for thread in self._threads:
            thread.join(CLOSE_WAIT_S)
        self._socket.close()

    def was_closed(self, timeout_s=0.0):
        """Whether the other side has closed a connection during an answer."""
        return self._closed.wait(timeout_s)

    def _start_thread(self, target, *args):
        thread = threading.Thread(target=target, args=args, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _accept(self):
        while not self._stopped.is_set():
            connection, _ = self._socket.accept()
            if not self._stopped.is_set():
                self._start_thread(self._serve, connection)

    def _serve(self, connection):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        connection.settimeout(0.5)
        with connection:
            request = b""
            while b"\r\n\r\n" not in request:
                received = connection.recv(BLOCK_BYTES)
                if not received:
                    return
                request += received
            self.connections += 1
            try:
                self._answer(connection, _identifier(request))
            except OSError:
                self._closed.set()

    def _answer(self, connection, identifier):
        self._send(connection, self._head.replace(b"%s", identifier))
        time.sleep(PAUSE_S)  # the head is to be read by itself
        for part in self._parts():
            if self._stopped.is_set():
                return
            self._send(connection, part)
            if self._is_slow:
                time.sleep(PAUSE_S)

    def _parts(self):
        count = 1 if self._is_slow else max(BLOCK_BYTES // len(self._unit), 1)
        return itertools.repeat(self._unit * count)

    def _send(self, connection, data):
        view = memoryview(data)
        while view and not self._stopped.is_set():
            try:
                sent = connection.send(view)
            except TimeoutError:
                continue  # the other side does not read at present
            self.sent_bytes += sent
            view = view[sent:]


def _identifier(request):
    for line in request.split(b"\r\n"):
        name, _, value = line.partition(b": ")
        if name.lower() == b"x-request-id":
            return value
    return b""
