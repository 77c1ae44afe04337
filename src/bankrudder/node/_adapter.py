"""Interface of an adapter, which connects a node to a platform."""

from typing import Protocol

from bankrudder.duties import DutyApi
from bankrudder.fleet import EndpointClient
from bankrudder.memory import MemoryBudget, ProcessLimits
from bankrudder.node._documents import Documents
from bankrudder.node._gateway import Gateway
from bankrudder.node._settings import NodeSettings
from bankrudder.store import Store
from bankrudder.world import Clock


class Listener(Protocol):
    """A server on one listening socket."""

    async def start(self) -> None:
        """Start listening; raises `OSError` if the address cannot be bound."""
        ...

    async def stop(self) -> None:
        """Stop listening and close the open connections."""
        ...


class RequestListener(Listener, Protocol):
    """A listener that counts its requests in progress."""

    def end_requests(self) -> None:
        """Answer the requests in progress at once; their outcome is unknown."""
        ...

    @property
    def in_progress(self) -> int:
        """Number of requests that are not answered yet."""
        ...

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        ...

    @property
    def closed_connection_count(self) -> int:
        """Number of connections that were closed for a limit, or not accepted."""
        ...

    @property
    def held_bytes(self) -> int:
        """Bytes of bodies that the host holds."""
        ...


class Adapter(Protocol):
    """The connections of a node to its platform."""

    @property
    def store(self) -> Store:
        """The client of the store."""
        ...

    @property
    def endpoints(self) -> EndpointClient:
        """The client for calls to endpoints."""
        ...

    @property
    def budget(self) -> MemoryBudget:
        """The memory for the data of callers and endpoints."""
        ...

    @property
    def limits(self) -> ProcessLimits:
        """The largest amounts that the parts of the process may use."""
        ...

    @property
    def duties(self) -> DutyApi | None:
        """The client of the platform's API for duties, None if it has none."""
        ...

    @property
    def documents(self) -> Documents:
        """The location and the decoding of the platform's documents."""
        ...

    def caller_listener(
        self, settings: NodeSettings, gateway: Gateway, clock: Clock
    ) -> RequestListener:
        """Create the listener for callers and trainers."""
        ...

    def readiness_listener(
        self, settings: NodeSettings, gateway: Gateway, clock: Clock
    ) -> Listener:
        """Create the listener for readiness checks of the load balancer."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...
