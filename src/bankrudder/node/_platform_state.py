"""The platform's state as a host knows it: configuration, endpoints, model versions."""

import asyncio
from collections.abc import Iterable, Mapping

import structlog

from bankrudder.decoding import UnreadableDocumentError
from bankrudder.fleet import (
    RELISTING_WAIT_S,
    EndpointDirectory,
    EndpointId,
    ModelState,
)
from bankrudder.node._documents import Documents
from bankrudder.routing import ModelName, Route, RoutingConfiguration, RoutingTable
from bankrudder.store import ReadPace, Row, RowKey, Store, TableFollower
from bankrudder.world import Clock, ModelVersion

MIN_ENDPOINTS_PAUSE_S = 0.25
"""Shortest pause between two reads of the list of endpoints, which heartbeats change
many times a second. The pause delays a change by at most an eighth of the two seconds
after which a draining endpoint must not get new requests."""

ENDPOINTS_READS_SHARE = 0.4
"""Share of the store's reads that the list of endpoints may take: the largest share,
because the list is read the most often."""

CONFIGURATION_READS_SHARE = 0.2
"""Share of the store's reads for following the configuration."""

MIN_CONFIGURATION_WAIT_S = 0.8
"""Shortest time for which the store may hold a read of the configuration while nothing
changes. This time plus the time to detect a silent connection is below the two seconds
within which a new configuration must be in force."""

EXPIRY_CHECK_INTERVAL_S = 0.2
"""Interval between two checks for endpoints that were not listed again in time: a tenth
of `RELISTING_WAIT_S`."""

NO_CONFIGURATION = RoutingConfiguration(0, (), ())
"""The configuration in force before the platform's first one is known."""

_log = structlog.get_logger("node")


class PlatformState:
    """Follows the platform's tables, and applies each change."""

    def __init__(
        self,
        store: Store,
        documents: Documents,
        directory: EndpointDirectory,
        clock: Clock,
        pace: ReadPace,
    ):
        self._documents = documents
        self._directory = directory
        self._clock = clock
        self._routes: RoutingTable | None = None
        self._job_routes: tuple[Route, ...] = ()
        self._named_versions: dict[ModelName, ModelVersion] = {}
        self._configuration = TableFollower(
            store,
            documents.configuration_table,
            clock,
            on_row=self._on_document,
            on_removed=self._on_document_removed,
            wait_s=pace.pause(CONFIGURATION_READS_SHARE, MIN_CONFIGURATION_WAIT_S),
        )
        self._endpoints = TableFollower(
            store,
            documents.endpoints_table,
            clock,
            on_row=self._on_endpoint,
            on_removed=self._on_endpoint_removed,
            pause_s=pace.pause(ENDPOINTS_READS_SHARE, MIN_ENDPOINTS_PAUSE_S),
        )

    @property
    def routes(self) -> RoutingTable | None:
        """The routes of the configuration and of jobs; None until either is known."""
        return self._routes

    @property
    def named_versions(self) -> Mapping[ModelName, ModelVersion]:
        """Newest version that a trainer named or published, by model."""
        return self._named_versions

    @property
    def is_complete(self) -> bool:
        """Whether any routes and the list of endpoints are known."""
        return self._routes is not None and self._endpoints.is_loaded

    def endpoints_current_for_s(self) -> float:
        """Return the seconds for which no read of the list of endpoints has failed."""
        return self._endpoints.failure_free_s()

    def set_job_routes(self, routes: Iterable[Route]) -> None:
        """Replace the routes of jobs, which operators configure over gRPC."""
        self._job_routes = tuple(routes)
        configuration = NO_CONFIGURATION
        if self._routes is not None:
            configuration = self._routes.configuration
        self._routes = RoutingTable(configuration, self._job_routes)

    def table_ages_s(self) -> dict[str, float]:
        """Return the seconds since the last read of each table."""
        now = self._clock.monotonic()
        followers = {
            self._documents.configuration_table: self._configuration,
            self._documents.endpoints_table: self._endpoints,
        }
        return {
            table: now - each.last_read_at
            for table, each in followers.items()
            if each.last_read_at is not None
        }

    async def refresh_configuration(self) -> None:
        """Read and apply the newest configuration without waiting for the follower.

        Raises
        ------
        StoreUnavailableError
            If it cannot be read.
        """
        documents = self._documents
        key = RowKey(documents.configuration_table, "", documents.configuration_key)
        await self._configuration.refresh_row(key)

    async def run(self) -> None:
        """Follow until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._configuration.run())
            group.create_task(self._endpoints.run())
            group.create_task(self._remove_expired_endpoints())

    async def _remove_expired_endpoints(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            if self._endpoints.failing_since is None:
                self._directory.remove_expired()

    def _on_document(self, row: Row) -> None:
        key = row.key.key
        try:
            if key == self._documents.configuration_key:
                self._apply_configuration(self._documents.configuration(row.value))
            elif key.startswith(self._documents.named_version_prefix):
                self.update_named_version(self._documents.named_version(row.value))
        except UnreadableDocumentError as error:
            # The document that was decoded before stays in force.
            _log.error("node: document not understood", key=key, reason=error.reason)

    def _apply_configuration(self, configuration: RoutingConfiguration) -> None:
        before = self._routes.configuration.revision if self._routes else 0
        if configuration.revision <= before:
            _log.warning(
                "node: older configuration passed over",
                revision=configuration.revision,
                in_force=before,
            )
            return
        self._routes = RoutingTable(configuration, self._job_routes)
        _log.info(
            "node: configuration in force",
            revision=configuration.revision,
            before=before,
            routes=len(configuration.routes),
        )

    def update_named_version(self, named: ModelState) -> None:
        """Apply a version that a trainer named or published if it is the newest."""
        if named.version > self._named_versions.get(named.model, 0):
            self._named_versions[named.model] = named.version
            _log.info("node: version named", model=named.model, version=named.version)

    def _on_document_removed(self, key: RowKey) -> None:
        # The removed document stays in force: there is none to replace it.
        _log.warning("node: document removed", key=key.key)

    def _on_endpoint(self, row: Row) -> None:
        try:
            endpoint = self._documents.endpoint(row.key.key, row.value)
        except UnreadableDocumentError as error:
            self._directory.put_unreadable(EndpointId(row.key.key), error.reason)
        else:
            self._directory.put(endpoint)

    def _on_endpoint_removed(self, key: RowKey) -> None:
        recovered_at = self._endpoints.recovered_at
        if self._endpoints.failing_since is not None:
            recovered_at = self._clock.monotonic()
        keep_until = 0.0 if recovered_at is None else recovered_at + RELISTING_WAIT_S
        self._directory.remove(EndpointId(key.key), keep_until)
