"""What a node says of itself, and what it knows of the others."""

from collections.abc import Callable, Iterable

import msgspec

from bankrudder import __version__
from bankrudder.fleet import EndpointDirectory, TrackedEndpoint
from bankrudder.observe import memory_bytes
from bankrudder.presence import Heartbeat, Lifetime, Presence
from bankrudder.world import (
    Address,
    Clock,
    DataCentreName,
    HostId,
    ModelVersion,
    Revision,
)

SILENT = "its heartbeats stopped"


class EndpointState(msgspec.Struct, frozen=True):
    """An endpoint as a node sees it.

    Attributes
    ----------
    in_flight : int
        Requests of this node that are in progress on it.
    version : ModelVersion
        Newest weights that it is known to serve, 0 for a plain service.
    """

    name: str
    state: str
    in_flight: int
    slots: int
    version: ModelVersion = ModelVersion(0)


class NodeState(msgspec.Struct, frozen=True):
    """A node's account of itself, or what its heartbeats tell of it.

    Attributes
    ----------
    unreachable : str
        Why it is taken for dead, empty if it is not.
    serving : bool
        Whether it takes calls.
    endpoints, memory_bytes, version
        Known only of the node that is asked.
    """

    host: HostId
    lifetime: Lifetime
    data_centre: DataCentreName
    rpc_address: Address
    revision: Revision
    stopping: bool = False
    serving: bool = True
    unreachable: str = ""
    endpoints: tuple[EndpointState, ...] = ()
    memory_bytes: int = 0
    version: str = ""


class StatusBoard:
    """Answers for this node, and for the others from their heartbeats.

    Parameters
    ----------
    own_heartbeat : callable
        What this node tells the others.
    is_serving : callable
        Whether this node takes calls.
    """

    def __init__(
        self,
        presence: Presence,
        directory: EndpointDirectory,
        is_serving: Callable[[], bool],
        clock: Clock,
    ):
        self._presence = presence
        self._directory = directory
        self._is_serving = is_serving
        self._clock = clock

    def states(self, all_hosts: bool) -> tuple[NodeState, ...]:
        """Return this node's state, or that of every host that is known."""
        if not all_hosts:
            return (self._own(),)
        beats = self._presence.heartbeats()
        beats.pop(self._presence.host, None)
        live = set(self._presence.live_hosts())
        others = (
            _state(host, beat, is_live=host in live or beat.is_leaving)
            for host, beat in sorted(beats.items())
        )
        return (self._own(), *others)

    def _own(self) -> NodeState:
        beat = self._presence.own_heartbeat()
        return msgspec.structs.replace(
            _state(self._presence.host, beat, is_live=True),
            serving=self._is_serving(),
            endpoints=tuple(self._endpoints()),
            memory_bytes=memory_bytes(),
            version=__version__,
        )

    def _endpoints(self) -> Iterable[EndpointState]:
        now = self._clock.monotonic()
        for each in self._directory.all():
            yield EndpointState(
                each.endpoint.id,
                _endpoint_state(each, now),
                each.in_flight,
                each.endpoint.slots,
                _newest_version(each),
            )


def _state(host: HostId, beat: Heartbeat, *, is_live: bool) -> NodeState:
    return NodeState(
        host,
        beat.lifetime,
        beat.data_centre,
        beat.rpc_address,
        beat.revision,
        stopping=beat.is_leaving,
        serving=is_live and not beat.is_leaving,
        unreachable="" if is_live else SILENT,
    )


def _newest_version(each: TrackedEndpoint) -> ModelVersion:
    known = (each.version_of(state.model) for state in each.endpoint.models)
    return max((version for version in known if version), default=ModelVersion(0))


def _endpoint_state(each: TrackedEndpoint, now: float) -> str:
    if each.is_suspended(now):
        return "suspended"
    return each.endpoint.readiness.value
