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

PROCESS_MB = 72.0
"""Memory that the process takes without callers, in megabytes. It includes connections
of monitoring, readiness checks and subscribers."""

RPC_MB = 132.0
"""Memory of the gRPC interface without its connections, in megabytes: its library,
the messages that are received at the same time, and the requests that wait for that."""

CALLERS_MEMORY_SHARE = 1 / 4
"""Share of the remaining memory that connections of callers may use."""

ENDPOINTS_MEMORY_SHARE = 1 / 12
"""Share of the remaining memory that connections to endpoints may use. Data uses the
rest."""

CALLER_CONNECTION_BYTES = 368 << 10
"""Memory that a connection of a caller may take besides counted data: objects, a head,
the first bytes of a body, and unread and unsent bytes in the process and in the kernel,
also those of the connection to an endpoint on which its answer arrives."""

ENDPOINT_CONNECTION_BYTES = 32 << 10
"""Memory that a connection to an endpoint may take besides. Answers that no caller
holds up are read at once, and what is not sent of a request counts as data."""

MIN_CONNECTIONS = 32
MIN_DATA_MB = 8.0
"""Smallest limits, with which ordinary requests are still served."""

OWN_DESCRIPTORS = 96
"""Descriptors for the store, monitoring, readiness checks, duties, files, pipes and
listeners."""

MAX_SUBSCRIBERS = 64
"""Largest number of connections to the feed of a host, which reads the store for the
other hosts of a data centre. A host that finds no place reads the store itself."""

SUBSCRIBERS_SHARE = 0.25
"""Largest share of the other descriptors that subscribers may use."""

CALLERS_DESCRIPTORS_SHARE = 0.5
"""Share of what then remains that connections of callers may use; connections to
endpoints use the rest."""

RPC_CONNECTIONS_SHARE = 0.5
"""Share of the connections of callers that the gRPC interface may have."""


class ProcessLimits(msgspec.Struct, frozen=True):
    """Largest amounts that the parts of a process may use.

    Attributes
    ----------
    caller_connections, rpc_connections, endpoint_connections : int
        Connections that are open at the same time: of callers by HTTP and by gRPC, and
        to endpoints.
    subscribers : int
        Connections of hosts that subscribe to what this one reads.
    data_bytes : int
        Counted bytes of requests, answers and batches.
    """

    caller_connections: int
    rpc_connections: int
    endpoint_connections: int
    subscribers: int
    data_bytes: int

    @classmethod
    def from_config(
        cls,
        memory_mb: float | None,
        max_descriptors: int,
        *,
        has_rpc: bool = False,
        has_feeds: bool = False,
    ) -> Self:
        """Divide the memory, in megabytes, and the descriptors of a process.

        Parameters
        ----------
        has_rpc : bool
            Whether the process serves the gRPC interface.
        has_feeds : bool
            Whether the process may read the store for other hosts.
        """
        if memory_mb is None:
            memory_mb = ASSUMED_MEMORY_MB
        process_mb = PROCESS_MB + (RPC_MB if has_rpc else 0.0)
        free_bytes = max(memory_mb - process_mb, 0.0) * BYTES_PER_MB
        data_share = 1 - CALLERS_MEMORY_SHARE - ENDPOINTS_MEMORY_SHARE
        free_descriptors = max(max_descriptors - OWN_DESCRIPTORS, 2 * MIN_CONNECTIONS)
        subscribers = 0
        if has_feeds:
            subscribers = min(
                int(SUBSCRIBERS_SHARE * free_descriptors), MAX_SUBSCRIBERS
            )
            free_descriptors -= subscribers
        caller_descriptors = int(CALLERS_DESCRIPTORS_SHARE * free_descriptors)
        callers = _connection_count(
            caller_descriptors,
            CALLERS_MEMORY_SHARE * free_bytes,
            CALLER_CONNECTION_BYTES,
        )
        rpc_connections = int(RPC_CONNECTIONS_SHARE * callers) if has_rpc else 0
        return cls(
            caller_connections=callers - rpc_connections,
            rpc_connections=rpc_connections,
            endpoint_connections=_connection_count(
                free_descriptors - caller_descriptors,
                ENDPOINTS_MEMORY_SHARE * free_bytes,
                ENDPOINT_CONNECTION_BYTES,
            ),
            subscribers=subscribers,
            data_bytes=int(max(data_share * free_bytes, MIN_DATA_MB * BYTES_PER_MB)),
        )


def _connection_count(
    descriptors: int, memory_bytes: float, connection_bytes: int
) -> int:
    """Return how many connections the descriptors and the memory allow."""
    return min(descriptors, max(int(memory_bytes / connection_bytes), MIN_CONNECTIONS))
