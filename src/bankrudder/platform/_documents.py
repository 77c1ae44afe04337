"""Decoding of the documents that the platform keeps in its store.

Programs other than the platform's own write them as well, so each decoder accepts only
valid documents of its type and raises `UnreadableDocumentError` for anything else.
"""

import math
import re
from typing import Annotated

import msgspec

from bankrudder.decoding import (
    MAX_INT,
    NonNegativeInt,
    UnreadableDocumentError,
    decode_json,
)
from bankrudder.fleet import Endpoint, EndpointId, ModelState, Readiness, StartTime
from bankrudder.platform._load_reports import MAX_REQUEST_COUNT
from bankrudder.routing import (
    CallerLimits,
    ModelName,
    Route,
    RouteKind,
    RouteName,
    RoutingConfiguration,
    Scaling,
    Service,
    ServiceName,
    WeightedService,
)
from bankrudder.workspaces import ApiKey, DuplicateKeyError, KeyIndex, WorkspaceKeys
from bankrudder.world import (
    Address,
    DataCentreName,
    ModelVersion,
    WorkspaceName,
    address_error,
)

_ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
    "rollout": RouteKind.ROLLOUT,
}


_READINESS_STATES = {"ready": Readiness.READY, "draining": Readiness.DRAINING}

_ENDPOINT_NAME = re.compile("[!-~]+")

_NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
_NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]


class _WireBackend(msgspec.Struct):
    service: str
    weight: _NonNegativeFloat = 1.0


class _WireRoute(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: _NonNegativeFloat = 10_000.0
    target_latency_ms: _NonNegativeFloat = 1_000.0
    result_target_ms: _NonNegativeFloat = 0.0
    retention_s: _NonNegativeFloat = 60.0
    priority: NonNegativeInt = 5
    max_attempts: NonNegativeInt = 1
    service: str = ""
    backends: list[_WireBackend] = []
    resumable: bool = False
    single_version: bool = False
    public: bool = False

    def __post_init__(self) -> None:
        total_weight = sum(each.weight for each in self.backends)
        if self.backends and not 0 < total_weight < math.inf:
            raise ValueError(f"the weights of the backends add up to {total_weight}")


class _WireModel(msgspec.Struct):
    name: str
    version: NonNegativeInt = 0


class _WireEngine(msgspec.Struct):
    models: list[_WireModel] = []


class _WireScaling(msgspec.Struct):
    min: NonNegativeInt
    max: NonNegativeInt
    zone_prices: dict[str, _NonNegativeFloat]

    def __post_init__(self) -> None:
        if self.min > self.max:
            raise ValueError(f"min {self.min} is more than max {self.max}")


class _WireService(msgspec.Struct):
    name: str
    max_connections: NonNegativeInt = 100
    engine: _WireEngine | None = None
    scaling: _WireScaling | None = None


class _WireWorkspace(msgspec.Struct):
    name: _NonEmptyText
    api_keys: list[_NonEmptyText] = []
    priority: NonNegativeInt | None = None


class _WireLimits(msgspec.Struct):
    max_header_bytes: NonNegativeInt = 16384
    max_body_bytes: NonNegativeInt = 32 << 20
    header_timeout_ms: _NonNegativeFloat = 3_000.0
    idle_timeout_ms: _NonNegativeFloat = 15_000.0


class _WireConfiguration(msgspec.Struct):
    version: NonNegativeInt
    routes: list[_WireRoute] = []
    services: list[_WireService] = []
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)
    tenants: list[_WireWorkspace] | msgspec.UnsetType = msgspec.UNSET


class _WireEndpoint(msgspec.Struct):
    """An entry of the list of endpoints.

    ``version`` is the software version; the weight versions are in ``models``.
    ``sequence`` counts heartbeats or orders and is not used. ``born`` is the start time
    of the endpoint's run in Unix milliseconds.
    """

    service: _NonEmptyText
    address: _NonEmptyText
    zone: _NonEmptyText
    version: str
    slot_count: Annotated[int, msgspec.Meta(ge=1, le=MAX_REQUEST_COUNT)]
    state: str
    cold_ms: float
    sequence: NonNegativeInt
    models: list[_WireModel] = []
    born: StartTime | msgspec.UnsetType = msgspec.UNSET

    def __post_init__(self) -> None:
        if self.state not in _READINESS_STATES:
            raise ValueError(f"unknown state {self.state!r}")
        if problem := address_error(self.address):
            raise ValueError(f"address {self.address!r}: {problem}")


class _WireNamedVersion(msgspec.Struct):
    model: _NonEmptyText
    version: Annotated[int, msgspec.Meta(ge=1, le=MAX_INT)]


def decode_configuration(body: bytes) -> RoutingConfiguration:
    """Decode a configuration; routes of an unknown kind are left out.

    Raises
    ------
    UnreadableDocumentError
        If the body is not a valid configuration.
    """
    wire = decode_json(body, _WireConfiguration)
    return RoutingConfiguration(
        revision=wire.version,
        routes=tuple(_route(each) for each in wire.routes if each.kind in _ROUTE_KINDS),
        services=tuple(_service(each) for each in wire.services),
        limits=CallerLimits(
            wire.limits.max_header_bytes,
            wire.limits.max_body_bytes,
            wire.limits.header_timeout_ms / 1000,
            wire.limits.idle_timeout_ms / 1000,
        ),
        workspaces=_workspaces(wire.tenants),
    )


def decode_endpoint(endpoint_id: str, body: bytes) -> Endpoint:
    """Decode an entry of the list of endpoints.

    Raises
    ------
    UnreadableDocumentError
        If the body is not a valid entry, or the name cannot be sent in a header.
    """
    if not _ENDPOINT_NAME.fullmatch(endpoint_id):
        raise UnreadableDocumentError("the name is empty or not of visible ASCII")
    wire = decode_json(body, _WireEndpoint)
    return Endpoint(
        id=EndpointId(endpoint_id),
        service=ServiceName(wire.service),
        address=Address(wire.address),
        data_centre=DataCentreName(wire.zone),
        slots=wire.slot_count,
        readiness=_READINESS_STATES[wire.state],
        models=tuple(model_state(each) for each in wire.models),
        born=None if wire.born is msgspec.UNSET else wire.born,
    )


def decode_named_version(body: bytes) -> ModelState:
    """Decode the weight version that a trainer named for a model.

    Raises
    ------
    UnreadableDocumentError
        If the body is not a valid document of a version.
    """
    wire = decode_json(body, _WireNamedVersion)
    return ModelState(ModelName(wire.model), ModelVersion(wire.version))


def model_state(wire: _WireModel) -> ModelState:
    """Convert a model and its version to the project's type."""
    return ModelState(ModelName(wire.name), ModelVersion(wire.version))


def _workspaces(
    wire: list[_WireWorkspace] | msgspec.UnsetType,
) -> tuple[WorkspaceKeys, ...] | None:
    if isinstance(wire, msgspec.UnsetType):
        return None
    workspaces = tuple(_workspace(each) for each in wire)
    try:
        KeyIndex(workspaces)
    except DuplicateKeyError as error:
        raise UnreadableDocumentError(str(error)) from None
    return workspaces


def _workspace(wire: _WireWorkspace) -> WorkspaceKeys:
    keys = tuple(ApiKey(each).digest for each in wire.api_keys)
    return WorkspaceKeys(WorkspaceName(wire.name), keys, wire.priority)


def _route(wire: _WireRoute) -> Route:
    backends = wire.backends or [_WireBackend(wire.service)]
    return Route(
        name=RouteName(wire.name),
        host=wire.host,
        path_prefix=wire.path_prefix,
        kind=_ROUTE_KINDS[wire.kind],
        services=tuple(
            WeightedService(ServiceName(each.service), each.weight) for each in backends
        ),
        timeout_s=wire.timeout_ms / 1000,
        target_latency_s=wire.target_latency_ms / 1000,
        result_target_s=wire.result_target_ms / 1000,
        retention_s=wire.retention_s,
        max_attempts=max(wire.max_attempts, 1),
        priority=wire.priority,
        is_resumable=wire.resumable,
        is_single_version=wire.single_version,
        is_public=wire.public,
    )


def _service(wire: _WireService) -> Service:
    models = wire.engine.models if wire.engine is not None else []
    return Service(
        name=ServiceName(wire.name),
        max_connections=wire.max_connections,
        models=tuple(ModelName(each.name) for each in models),
        scaling=_scaling(wire.scaling),
    )


def _scaling(wire: _WireScaling | None) -> Scaling | None:
    if wire is None:
        return None
    prices = {DataCentreName(name): price for name, price in wire.zone_prices.items()}
    return Scaling(wire.min, wire.max, prices)
