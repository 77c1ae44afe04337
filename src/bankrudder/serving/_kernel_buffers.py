"""Sizes of the buffers that the kernel has for connections."""

import socket
from contextlib import suppress

RECEIVE_BUFFER_BYTES = 16 << 10
SEND_BUFFER_BYTES = 64 << 10
"""Sizes of the kernel's buffers, which Linux doubles. Connections inherit them from the
listening socket. With a send buffer below the largest segment of a network, 64 KiB on a
loopback interface, each part would wait for its acknowledgement."""


def limit_kernel_buffers(limited: socket.socket) -> None:
    """Limit what the kernel holds for a socket, where the network allows it."""
    sizes = {
        socket.SO_RCVBUF: RECEIVE_BUFFER_BYTES,
        socket.SO_SNDBUF: SEND_BUFFER_BYTES,
    }
    for option, size_bytes in sizes.items():
        # Some networks have buffers of a fixed size.
        with suppress(OSError):
            limited.setsockopt(socket.SOL_SOCKET, option, size_bytes)
