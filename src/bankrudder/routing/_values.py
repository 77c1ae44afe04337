"""What operators decide about routes, as the project holds it."""

from enum import Enum
from typing import NewType

import msgspec

from bankrudder.workspaces import WorkspaceKeys
from bankrudder.world import DataCentreName

ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
ModelName = NewType("ModelName", str)


class RouteKind(Enum):
    """How the requests of a route may be run."""

    IDEMPOTENT = "idempotent"
    """Running one twice does no harm."""

    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"
    """The answer is a series of events."""

    ROLLOUT = "rollout"
    """Batches of samples for a trainer."""


class WeightedService(msgspec.Struct, frozen=True):
    """A service and its share of a route's requests."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where requests of one host name and path prefix go, and on what terms.

    Attributes
    ----------
    services : tuple of WeightedService
        At least one.
    timeout_s : float
        Longest time for which a caller may be kept waiting.
    target_s : float
        Time within which an answer is most useful.
    result_target_s : float
        Time within which all results of a batch are due; 0 if it is not a rollout.
    retention_s : float
        Time after which a sample of a batch may be given up.
    max_attempts : int
        Most endpoints that one request may be sent to.
    priority : int
        0 is the most urgent.
    is_resumable : bool
        Whether a stream may go on at another endpoint.
    is_single_version : bool
        Whether one sample must be made by one version of the weights.
    data_centres : tuple of DataCentreName
        Where its requests may be processed; empty for anywhere.
    is_public : bool
        Whether its requests need no key of a workspace.
    """

    name: RouteName
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    target_s: float
    result_target_s: float = 0.0
    retention_s: float = 0.0
    max_attempts: int = 1
    priority: int = 0
    is_resumable: bool = False
    is_single_version: bool = False
    data_centres: tuple[DataCentreName, ...] = ()
    is_public: bool = False


class Scaling(msgspec.Struct, frozen=True):
    """How many endpoints of a service may be ordered, and what they cost.

    Attributes
    ----------
    least, most : int
        Bounds on the endpoints in each data centre.
    prices : dict
        Price of one endpoint for a second, by data centre, in any unit.
    """

    least: int
    most: int
    prices: dict[DataCentreName, float]


class Service(msgspec.Struct, frozen=True):
    """A group of endpoints that serve the same requests.

    Attributes
    ----------
    max_connections : int
        Connections that each endpoint takes from all hosts together.
    models : tuple of ModelName
        Models that its endpoints serve; none for plain services.
    scaling : Scaling or None
        None if the number of its endpoints is not ours to order.
    """

    name: ServiceName
    max_connections: int
    models: tuple[ModelName, ...] = ()
    scaling: Scaling | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 32 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingConfiguration(msgspec.Struct, frozen=True):
    """One whole configuration, as operators put it in force.

    Attributes
    ----------
    workspaces : tuple of WorkspaceKeys or None
        Who may send requests; None lets everybody.
    """

    revision: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[WorkspaceKeys, ...] | None = None
