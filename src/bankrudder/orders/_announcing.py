"""Announces to the owners of batches which versions engines load and have loaded.

The platform's list shows a loaded version only with the engine's next heartbeat, more
than a second later. Until then, samples that need the version would wait. An engine
that loads refuses samples of its model for a second, and each owner would learn this
only by sending it a dozen samples every tenth of a second. The host that gives the
orders knows both facts and writes them to a small table, which owners follow while they
run batches. A row that is lost or late causes only these waits and refusals.
"""

import msgspec
import structlog

from bankrudder.decoding import UnreadableDocumentError, decode_json
from bankrudder.fleet import (
    EndpointDirectory,
    EndpointId,
    EndpointRun,
    StartTime,
    TrackedEndpoint,
)
from bankrudder.routing import ModelName
from bankrudder.store import Committed, Put, Row, RowKey, Store, Transaction
from bankrudder.world import Clock, ModelVersion

LOADED_TABLE = "loaded"
"""Table with one row for each engine; each load replaces the row of its engine."""

_log = structlog.get_logger("orders")


class EngineVersion(msgspec.Struct, frozen=True, omit_defaults=True):
    """A version that an engine has loaded, or has begun to load."""

    model: ModelName
    version: ModelVersion
    is_loading: bool = False
    born: StartTime | None = None
    """Start time of the engine's run that received the order, if known."""


class LoadAnnouncer:
    """Writes and reads the versions that engines have loaded."""

    def __init__(self, store: Store, directory: EndpointDirectory, clock: Clock):
        self._store = store
        self._directory = directory
        self._clock = clock

    async def announce(self, run: EndpointRun, state: EngineVersion) -> None:
        """Write an engine's version for all owners.

        If that fails, owners see the version with the engine's next heartbeat.
        """
        state = msgspec.structs.replace(state, born=run.born)
        key = RowKey(LOADED_TABLE, "", run.endpoint)
        put = Put(key, msgspec.json.encode(state))
        outcome = await self._store.commit(Transaction(puts=(put,)))
        if not isinstance(outcome, Committed):
            _log.info("orders: load not announced", endpoint=run.endpoint)

    def apply_row(self, row: Row) -> None:
        """Apply a row that the host that gave the order has written."""
        try:
            state = decode_json(row.value, EngineVersion)
        except UnreadableDocumentError as error:
            _log.warning(
                "orders: load not understood", endpoint=row.key.key, reason=error.reason
            )
            return
        engine = self._engine_of(EndpointRun(EndpointId(row.key.key), state.born))
        if engine is None:
            return
        if state.is_loading:
            now = self._clock.monotonic()
            engine.note_loading(state.model, state.version, now)
        else:
            engine.note_version(state.model, state.version)

    def _engine_of(self, run: EndpointRun) -> TrackedEndpoint | None:
        """Return the engine of a run, None unless the run is the engine's latest."""
        engine = self._directory.note_run(run)
        if engine is None or engine.run != run:
            _log.info(
                "orders: load of another run passed over",
                endpoint=run.endpoint,
                born=run.born,
            )
            return None
        return engine

    async def remove_row(self, engine: EndpointId) -> None:
        """Remove the row of an engine that is no longer listed."""
        key = RowKey(LOADED_TABLE, "", engine)
        await self._store.commit(Transaction(removals=(key,)))
