"""The route of a request is the one with the longest prefix."""

import pytest

from bankrudder.routing import (
    Route,
    RouteKind,
    RoutingConfiguration,
    RoutingTable,
    WeightedService,
)


def route(name, prefix, host="h.example"):
    services = (WeightedService("s", 1.0),)
    return Route(name, host, prefix, RouteKind.IDEMPOTENT, services, 1.0, 0.2)


@pytest.fixture
def table():
    routes = (
        route("all", "/"),
        route("a", "/a/"),
        route("a-b", "/a/b/"),
        route("other", "/a/", "other.example"),
    )
    return RoutingTable(RoutingConfiguration(1, routes, ()))


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("h.example", "/a/b/c", "a-b"),
        ("h.example", "/a/b/", "a-b"),
        ("h.example", "/a/b", "a"),
        ("h.example", "/a/bb/c", "a"),
        ("h.example", "/x", "all"),
        ("h.example:8080", "/a/x", "a"),
        ("other.example", "/a/b/c", "other"),
    ],
)
def test_the_longest_prefix_wins(table, host, path, name):
    assert table.match(host, path).name == name


@pytest.mark.parametrize(
    ("host", "path"), [("none.example", "/a/"), ("other.example", "/x"), ("h", "")]
)
def test_without_a_matching_prefix_there_is_no_route(table, host, path):
    assert table.match(host, path) is None
