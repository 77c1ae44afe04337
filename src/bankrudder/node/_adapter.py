"""What a node needs of the outside, as an adapter provides it."""

from typing import Protocol

from bankrudder.duties import DutyApi
from bankrudder.fleet import EndpointClient
from bankrudder.node._documents import Documents
from bankrudder.node._gateway import Gateway
from bankrudder.node._settings import NodeSettings
from bankrudder.store import Store
from bankrudder.world import Clock


class Listener(Protocol):
    """A socket that is served."""

    async def start(self) -> None:
        """Listen."""
        ...

    async def stop(self) -> None:
        """Stop listening and close what is left."""
        ...


class RequestListener(Listener, Protocol):
    """The listener for callers."""

    @property
    def in_progress(self) -> int:
        """Number of requests that are not answered yet."""
        ...


class Adapter(Protocol):
    """What connects a host to the outside."""

    @property
    def store(self) -> Store:
        """The client of the store."""
        ...

    @property
    def endpoints(self) -> EndpointClient:
        """The client of endpoints."""
        ...

    @property
    def duties(self) -> DutyApi | None:
        """The client of the interface for duties, None if there is none."""
        ...

    @property
    def documents(self) -> Documents:
        """Where documents are, and how they are decoded."""
        ...

    def caller_listener(
        self, settings: NodeSettings, gateway: Gateway, clock: Clock
    ) -> RequestListener:
        """Make the listener for callers."""
        ...

    def readiness_listener(self, settings: NodeSettings, gateway: Gateway) -> Listener:
        """Make the listener for the balancer."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...
