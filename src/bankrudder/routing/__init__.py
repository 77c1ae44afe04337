"""Routing configuration, and lookup of the route of a request."""

from bankrudder.routing._table import RoutingTable
from bankrudder.routing._values import (
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

__all__ = [
    "CallerLimits",
    "ModelName",
    "Route",
    "RouteKind",
    "RouteName",
    "RoutingConfiguration",
    "RoutingTable",
    "Scaling",
    "Service",
    "ServiceName",
    "WeightedService",
]
