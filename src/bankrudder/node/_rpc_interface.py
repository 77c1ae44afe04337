"""The gRPC interface of a node for callers, trainers and operators.

It uses the same components as the listeners for the platform. The module is imported
only if the settings give the interface an address, because gRPC takes about twenty
megabytes of memory.
"""

import asyncio
from collections.abc import Callable

from bankrudder.batches import BatchReader, BatchRepository
from bankrudder.calls import (
    CLEANING_PAUSE_S,
    AdmissionController,
    AtMostOnceRunner,
    CallRecordCleaner,
    CallRecords,
    CallService,
)
from bankrudder.config import (
    ConfigurationIndex,
    ConfigurationService,
    PlacementGuard,
    job_routes,
)
from bankrudder.node._components import NodeComponents
from bankrudder.node._settings import NodeSettings, RpcSettings
from bankrudder.rpc import (
    CallsServicer,
    OperatorsServicer,
    RpcContext,
    RpcServer,
    StatusReporter,
    TrainersServicer,
    server_credentials,
)
from bankrudder.steps import (
    PUBLISHED_VERSIONS_TABLE,
    StepService,
    VersionRegistry,
    decode_published_version,
)
from bankrudder.store import Row, TableFollower
from bankrudder.usage import UsageRows
from bankrudder.v1 import bankrudder_pb2_grpc as pb_grpc
from bankrudder.world import Clock

STOP_GRACE_S = 0.5
"""Time for calls in progress to finish after everything else has stopped."""


class RpcInterface:
    """Serves callers, trainers and operators over gRPC.

    Parameters
    ----------
    drain : callable
        Requests the planned stop of the node.
    max_connections : int
        Largest number of connections of clients.
    """

    def __init__(
        self,
        settings: NodeSettings,
        rpc: RpcSettings,
        components: NodeComponents,
        clock: Clock,
        drain: Callable[[], None],
        max_connections: int,
    ):
        self._settings = settings
        self._components = components
        self._clock = clock
        self._configuration = ConfigurationService(
            components.store, components.presence, clock, self._on_configuration
        )
        self._placement = PlacementGuard(
            settings.data_centre, components.presence.heartbeats
        )
        self._records = CallRecords(components.store, clock)
        self._cleaner = CallRecordCleaner(
            self._records, components.lease, self._max_retry_window_s, clock
        )
        self._versions = TableFollower(
            components.store,
            PUBLISHED_VERSIONS_TABLE,
            clock,
            on_row=self._on_version,
            on_removed=lambda _: None,
        )
        self._context = RpcContext(
            self._configuration,
            rpc.operator_token_sha256,
            rpc.limits,
            components.budget,
        )
        credentials = server_credentials(rpc.tls) if rpc.tls is not None else None
        self._server = RpcServer.from_config(rpc.address, credentials, max_connections)
        self._add_services(drain)

    async def start(self) -> None:
        """Start listening; raises `OSError` if the address cannot be bound."""
        try:
            await self._server.start()
        except RuntimeError as error:
            raise OSError(str(error)) from None

    async def run(self) -> None:
        """Follow configuration and published versions, and remove old call records."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._configuration.run())
            group.create_task(self._versions.run())
            group.create_task(self._clean())

    async def _clean(self) -> None:
        await self._components.while_lease_held(
            "cleaning of calls", CLEANING_PAUSE_S, self._cleaner.clean
        )()

    def leave(self) -> None:
        """Refuse new calls and steps from now on."""
        self._context.refuse_new_requests()

    @property
    def in_progress(self) -> int:
        """Number of requests that are not answered yet."""
        return self._context.limiter.request_count

    def end_requests(self) -> None:
        """End the requests in progress with a failure of unknown outcome."""
        self._server.end_requests()

    async def stop(self) -> None:
        """Stop listening, and cancel calls that exceed `STOP_GRACE_S`."""
        await self._server.stop(STOP_GRACE_S)

    def _add_services(self, drain: Callable[[], None]) -> None:
        components = self._components
        server = self._server.grpc_server
        calls = CallsServicer.from_config(
            self._context,
            self._make_call_service(),
            components.tracer,
            components.instruments.metrics,
            self._clock,
        )
        pb_grpc.add_CallsServicer_to_server(calls, server)  # type: ignore[no-untyped-call]
        trainers = TrainersServicer(
            self._context,
            self._make_step_service(),
            VersionRegistry(components.store, self._clock),
            components.tracer,
        )
        pb_grpc.add_TrainersServicer_to_server(trainers, server)  # type: ignore[no-untyped-call]
        status_reporter = StatusReporter(
            components.presence, components.directory, self._is_serving, self._clock
        )
        operators = OperatorsServicer(
            self._context,
            status_reporter,
            components.tracer,
            UsageRows(components.store, self._clock),
            drain,
        )
        pb_grpc.add_OperatorsServicer_to_server(operators, server)  # type: ignore[no-untyped-call]

    def _make_call_service(self) -> CallService:
        components = self._components
        return CallService(
            self._configuration,
            self._placement,
            AdmissionController(
                components.directory,
                self._clock,
                rejects_hopeless=components.lines is not None,
            ),
            components.forwarder,
            components.streams,
            AtMostOnceRunner(self._records, components.presence, self._clock),
            self._clock,
        )

    def _make_step_service(self) -> StepService:
        components = self._components
        repository: BatchRepository = components.repository
        return StepService(
            self._configuration,
            self._placement,
            components.batches,
            BatchReader(repository, self._clock),
            repository,
            lambda: self._context.stopping,
            self._clock,
        )

    def _is_serving(self) -> bool:
        return bool(self._configuration.revision) and not self._context.stopping

    def _on_configuration(self, index: ConfigurationIndex) -> None:
        self._components.platform_state.set_job_routes(job_routes(index))

    def _on_version(self, row: Row) -> None:
        self._components.platform_state.update_named_version(
            decode_published_version(row.value)
        )

    def _max_retry_window_s(self) -> float:
        pools = self._configuration.known_index.configuration.pools
        return max((each.contract.retry_window_s for each in pools), default=0.0)
