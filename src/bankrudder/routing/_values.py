"""Values of the routing configuration, independent of the format it arrives in."""

from enum import Enum
from typing import NewType

import msgspec

from bankrudder.workspaces import WorkspaceKeys
from bankrudder.world import DataCentreName

ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
ModelName = NewType("ModelName", str)


class RouteKind(Enum):
    """How a route's requests may be executed."""

    IDEMPOTENT = "idempotent"
    """Requests may be executed more than once."""

    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"
    """The response is a stream of events."""

    ROLLOUT = "rollout"
    """Batches of samples for a trainer."""


class WeightedService(msgspec.Struct, frozen=True):
    """A service and its share of a route's requests."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Target services and limits for requests with one host name and path prefix.

    Attributes
    ----------
    services : tuple of WeightedService
        Target services, at least one.
    timeout_s : float
        Longest time that a caller may wait for a response.
    target_latency_s : float
        Latency within which a response is most useful.
    result_target_s : float
        Time within which all results of a batch are due; 0 if the route is not a
        rollout.
    retention_s : float
        Time after which an unfinished sample of a batch is given up; 0 if not set.
    max_attempts : int
        Largest number of endpoints that a request may be sent to. A sample of a batch
        is given up after as many runs that ended with an error status.
    priority : int
        Priority of the requests; 0 is the most urgent.
    is_resumable : bool
        Whether a stream may be resumed on another endpoint.
    is_single_version : bool
        Whether each sample must be generated with a single version of the weights.
    data_centres : tuple of DataCentreName
        Data centres that may process the requests; empty for all.
    is_public : bool
        Whether requests need no workspace key.
    """

    name: RouteName
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    target_latency_s: float
    result_target_s: float = 0.0
    retention_s: float = 0.0
    max_attempts: int = 1
    priority: int = 0
    is_resumable: bool = False
    is_single_version: bool = False
    data_centres: tuple[DataCentreName, ...] = ()
    is_public: bool = False


class Scaling(msgspec.Struct, frozen=True):
    """How many endpoints of a service may be ordered, and their prices.

    Attributes
    ----------
    least, most : int
        Bounds on the endpoints in each data centre.
    prices : dict
        Price of one endpoint per second, by data centre, in any unit.
    """

    least: int
    most: int
    prices: dict[DataCentreName, float]


class Service(msgspec.Struct, frozen=True):
    """A group of endpoints that serve the same requests.

    Attributes
    ----------
    max_connections : int
        Connections that each endpoint accepts from all hosts together.
    models : tuple of ModelName
        Models that the endpoints serve; empty for plain services.
    scaling : Scaling or None
        Bounds and prices for ordering endpoints; None if no endpoints may be ordered.
    """

    name: ServiceName
    max_connections: int
    models: tuple[ModelName, ...] = ()
    scaling: Scaling | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size of a caller's requests, and on its delays and idle time."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 32 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingConfiguration(msgspec.Struct, frozen=True):
    """One complete configuration, as operators put it in force.

    Attributes
    ----------
    workspaces : tuple of WorkspaceKeys or None
        Workspaces that may send requests; None if requests need no key.
    """

    revision: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[WorkspaceKeys, ...] | None = None
