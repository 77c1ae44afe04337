"""Shares of a process's memory and descriptors.

A process that exceeds its memory is killed, and one without free descriptors answers
nobody. So the largest amounts that all parts may use add up to less than the process
has.
"""

from typing import Self

import msgspec

BYTES_PER_MB = 1 << 20

ASSUMED_MEMORY_MB = 512.0
"""Memory of a process whose settings state none, in megabytes."""

PROCESS_MB = 80.0
"""Memory that the process takes without callers, in megabytes."""

RPC_MB = 84.0
"""Memory of the gRPC interface, in megabytes: its library, and the messages that are
received at the same time."""

CONNECTIONS_SHARE = 0.25
"""Share of the remaining memory that connections of callers may use."""

CONNECTION_BYTES = 224 << 10
"""Memory that one connection may take besides counted data: objects, a head, unread
bytes in the process and in the kernel, the first bytes of a body, and what waits on the
connection to an endpoint."""

MIN_CONNECTIONS = 32
MIN_DATA_MB = 8.0
"""Smallest limits, with which ordinary requests are still served."""

OWN_DESCRIPTORS = 96
"""Descriptors for the store, monitoring, readiness checks, duties, files, pipes and
listeners."""

CALLERS_SHARE = 0.5
"""Share of the other descriptors that connections of callers may use; connections to
endpoints use the rest."""


class ProcessLimits(msgspec.Struct, frozen=True):
    """Largest amounts that the parts of a process may use.

    Attributes
    ----------
    caller_connections, endpoint_connections : int
        Connections that are open at the same time.
    data_bytes : int
        Counted bytes of requests, answers and batches.
    """

    caller_connections: int
    endpoint_connections: int
    data_bytes: int

    @classmethod
    def from_config(
        cls, memory_mb: float | None, max_descriptors: int, *, has_rpc: bool = False
    ) -> Self:
        """Divide the memory, in megabytes, and the descriptors of a process.

        Parameters
        ----------
        has_rpc : bool
            Whether the process serves the gRPC interface.
        """
        if memory_mb is None:
            memory_mb = ASSUMED_MEMORY_MB
        process_mb = PROCESS_MB + (RPC_MB if has_rpc else 0.0)
        free_mb = max(memory_mb - process_mb, 0.0)
        connections_bytes = CONNECTIONS_SHARE * free_mb * BYTES_PER_MB
        data_mb = max((1 - CONNECTIONS_SHARE) * free_mb, MIN_DATA_MB)
        free_descriptors = max(max_descriptors - OWN_DESCRIPTORS, 2 * MIN_CONNECTIONS)
        by_descriptors = int(CALLERS_SHARE * free_descriptors)
        by_memory = max(int(connections_bytes / CONNECTION_BYTES), MIN_CONNECTIONS)
        return cls(
            caller_connections=min(by_descriptors, by_memory),
            endpoint_connections=free_descriptors - by_descriptors,
            data_bytes=int(data_mb * BYTES_PER_MB),
        )
