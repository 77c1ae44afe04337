"""Status of this node, and of the other hosts from their heartbeats."""

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

HEARTBEATS_STOPPED = "its heartbeats stopped"


class EndpointSpeed(msgspec.Struct, frozen=True):
    """What a node measured of an endpoint that reports the slowdown of its machine.

    Attributes
    ----------
    latency_s, gap_s : float
        Latency of answers and time between stream events without momentary slowness,
        0 if unknown.
    slowdown : float
        Expected duration of work at present, as a multiple of the lasting one.
    report_age_s : float
        Time since the endpoint's last report.
    """

    latency_s: float
    gap_s: float
    slowdown: float
    report_age_s: float


class EndpointState(msgspec.Struct, frozen=True):
    """Status of an endpoint, as the node that reports it knows it.

    Attributes
    ----------
    in_flight : int
        Requests from this node that are in progress on the endpoint.
    version : ModelVersion
        Newest version of weights that the endpoint serves as far as the node
        knows, 0 if it knows of none, as for a service.
    speed : EndpointSpeed or None
        Speed of the endpoint, None unless it reports the slowdown of its machine.
    """

    name: str
    state: str
    in_flight: int
    slots: int
    version: ModelVersion = ModelVersion(0)
    speed: EndpointSpeed | None = None


class NodeState(msgspec.Struct, frozen=True):
    """Status of a node, from the node itself or from its heartbeats.

    Attributes
    ----------
    unreachable : str
        Why the node is considered dead, empty if it is not.
    serving : bool
        Whether the node accepts calls.
    endpoints, memory_bytes, version
        Endpoints, memory use and program version of the node. Known only for the
        node that serves the request.
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


class StatusReporter:
    """Reports the status of this node, and of others from their heartbeats.

    Parameters
    ----------
    is_serving : callable
        Returns whether this node accepts calls.
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
        """Return the state of this node, or of all known hosts with this one first."""
        if not all_hosts:
            return (self._own_state(),)
        heartbeats_by_host = self._presence.heartbeats()
        heartbeats_by_host.pop(self._presence.host, None)
        live = set(self._presence.live_hosts())
        others = (
            _state_from_heartbeat(
                host, heartbeat, is_live=host in live or heartbeat.is_leaving
            )
            for host, heartbeat in sorted(heartbeats_by_host.items())
        )
        return (self._own_state(), *others)

    def _own_state(self) -> NodeState:
        heartbeat = self._presence.own_heartbeat()
        return msgspec.structs.replace(
            _state_from_heartbeat(self._presence.host, heartbeat, is_live=True),
            serving=self._is_serving(),
            endpoints=tuple(self._endpoint_states()),
            memory_bytes=memory_bytes(),
            version=__version__,
        )

    def _endpoint_states(self) -> Iterable[EndpointState]:
        now = self._clock.monotonic()
        for tracked in self._directory.all():
            yield EndpointState(
                tracked.endpoint.id,
                _endpoint_state_name(tracked, now),
                tracked.in_flight,
                tracked.endpoint.slots,
                _newest_version(tracked),
                _speed(tracked, now),
            )


def _state_from_heartbeat(
    host: HostId, heartbeat: Heartbeat, *, is_live: bool
) -> NodeState:
    return NodeState(
        host,
        heartbeat.lifetime,
        heartbeat.data_centre,
        heartbeat.rpc_address,
        heartbeat.revision,
        stopping=heartbeat.is_leaving,
        serving=is_live and not heartbeat.is_leaving,
        unreachable="" if is_live else HEARTBEATS_STOPPED,
    )


def _newest_version(tracked: TrackedEndpoint) -> ModelVersion:
    known = (tracked.version_of(state.model) for state in tracked.endpoint.models)
    return max((version for version in known if version), default=ModelVersion(0))


def _endpoint_state_name(tracked: TrackedEndpoint, now: float) -> str:
    if tracked.is_suspended(now):
        return "suspended"
    return tracked.endpoint.readiness.value


def _speed(tracked: TrackedEndpoint, now: float) -> EndpointSpeed | None:
    speed = tracked.speed
    if speed is None:
        return None
    return EndpointSpeed(
        speed.latency_s or 0.0,
        speed.gap_s or 0.0,
        speed.slowdown(now),
        speed.report_age_s(now),
    )
