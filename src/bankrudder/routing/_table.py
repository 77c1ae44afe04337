"""Lookup of routes, services and workspace keys in a configuration."""

from collections.abc import Iterable

from bankrudder.routing._values import (
    Route,
    RouteKind,
    RoutingConfiguration,
    Service,
    ServiceName,
)
from bankrudder.workspaces import Admitted, ApiKey, Denial, KeyIndex


class RoutingTable:
    """An index of one configuration.

    Parameters
    ----------
    extra_routes : iterable of Route
        Routes in addition to those of the configuration, with other host names.

    Raises
    ------
    DuplicateKeyError
        If two workspaces have the same key.
    """

    def __init__(
        self, configuration: RoutingConfiguration, extra_routes: Iterable[Route] = ()
    ):
        self._configuration = configuration
        self._extra_routes = tuple(extra_routes)
        workspaces = configuration.workspaces
        self._keys = None if workspaces is None else KeyIndex(workspaces)
        self._services = {each.name: each for each in configuration.services}
        self._targets = {
            each.service for route in self.routes for each in route.services
        }
        self._routes: dict[tuple[str, str], Route] = {
            (route.host, route.path_prefix): route for route in self.routes
        }

    @property
    def configuration(self) -> RoutingConfiguration:
        """The indexed configuration."""
        return self._configuration

    @property
    def routes(self) -> tuple[Route, ...]:
        """Routes of the configuration, followed by the extra routes."""
        return self._configuration.routes + self._extra_routes

    @property
    def has_workspaces(self) -> bool:
        """Whether requests need a workspace key."""
        return self._keys is not None

    def admit(self, key: ApiKey | None, *, is_public: bool) -> Admitted | Denial:
        """Return the workspace that a request runs for, or why it is denied."""
        if self._keys is None:
            return Admitted()
        return self._keys.admit(key, is_public=is_public)

    def takes_public_batches(self) -> bool:
        """Whether any route takes batches without a workspace key."""
        return any(
            each.kind is RouteKind.ROLLOUT and each.is_public for each in self.routes
        )

    def service(self, name: ServiceName) -> Service | None:
        """Return a service, None if it is not configured."""
        return self._services.get(name)

    def serves(self, name: ServiceName) -> bool:
        """Whether a service is configured or is the target of a route."""
        return name in self._services or name in self._targets

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, None if no route matches.

        Prefixes of routes begin and end with a slash, so only such prefixes of the path
        are looked up.
        """
        host = host.partition(":")[0]
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: slash + 1]))
            if route is not None:
                return route
            end = slash
        return None
