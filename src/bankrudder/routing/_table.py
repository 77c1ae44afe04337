"""Finding the route of a request."""

from bankrudder.routing._values import (
    Route,
    RoutingConfiguration,
    Service,
    ServiceName,
)


class RoutingTable:
    """An index of one configuration."""

    def __init__(self, configuration: RoutingConfiguration):
        self._configuration = configuration
        self._services = {each.name: each for each in configuration.services}
        self._routes: dict[tuple[str, str], Route] = {
            (route.host, route.path_prefix): route for route in configuration.routes
        }

    @property
    def configuration(self) -> RoutingConfiguration:
        """The configuration that this is an index of."""
        return self._configuration

    def service(self, name: ServiceName) -> Service | None:
        """Return a service, None if it is not configured."""
        return self._services.get(name)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, None without one.

        Prefixes begin and end with a slash, so only those are looked up.
        """
        host = host.partition(":")[0]
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: slash + 1]))
            if route is not None:
                return route
            end = slash
        return None
