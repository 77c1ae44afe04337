"""Telling the owners of batches which versions engines load and have loaded.

The platform's list shows a loaded version with the engine's next heartbeat, more than a
second later; until then samples that need it would wait. And an engine that loads
refuses samples of its model for a second, which each owner would find out by sending it
a dozen of them each tenth of a second. The host that gives the orders knows both, and
writes it to a small table that owners follow while they work. What is lost or late
costs no more than that.
"""

import msgspec
import structlog

from bankrudder.fleet import EndpointDirectory, EndpointId
from bankrudder.routing import ModelName
from bankrudder.store import Committed, Put, Row, RowKey, Store, Transaction
from bankrudder.world import Clock, ModelVersion

LOADED_TABLE = "loaded"
"""One row for each engine, replaced with each load."""

_log = structlog.get_logger("orders")


class EngineVersion(msgspec.Struct, frozen=True, omit_defaults=True):
    """A version that an engine has loaded, or has begun to load."""

    model: ModelName
    version: ModelVersion
    is_loading: bool = False


class LoadAnnouncer:
    """Writes and reads the versions that engines have loaded."""

    def __init__(self, store: Store, directory: EndpointDirectory, clock: Clock):
        self._store = store
        self._directory = directory
        self._clock = clock

    async def announce(self, engine: EndpointId, state: EngineVersion) -> None:
        """Tell all owners; failing to only delays them until the next heartbeat."""
        key = RowKey(LOADED_TABLE, "", engine)
        put = Put(key, msgspec.json.encode(state))
        outcome = await self._store.commit(Transaction(puts=(put,)))
        if not isinstance(outcome, Committed):
            _log.info("orders: load not announced", endpoint=engine)

    def take(self, row: Row) -> None:
        """Take a row that was written by whoever gave the order."""
        try:
            state = msgspec.json.decode(row.value, type=EngineVersion)
        except msgspec.DecodeError as error:
            _log.warning(
                "orders: load not understood", endpoint=row.key.key, reason=str(error)
            )
            return
        engine = self._directory.get(EndpointId(row.key.key))
        if engine is None:
            return
        if state.is_loading:
            now = self._clock.monotonic()
            engine.note_loading(state.model, state.version, now)
        else:
            engine.note_version(state.model, state.version)

    async def forget(self, engine: EndpointId) -> None:
        """Remove the row of an engine that is gone."""
        key = RowKey(LOADED_TABLE, "", engine)
        await self._store.commit(Transaction(removals=(key,)))
