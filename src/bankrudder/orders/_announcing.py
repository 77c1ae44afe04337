"""Telling the owners of batches which versions engines have loaded.

The platform's list shows a loaded version with the engine's next heartbeat, more than a
second later; until then samples that need it would wait. The host that gives the orders
asks the engines anyway, and writes what it learns to a small table that owners follow
while they work.
"""

import msgspec
import structlog

from bankrudder.fleet import EndpointDirectory, EndpointId
from bankrudder.routing import ModelName
from bankrudder.store import Committed, Put, Row, RowKey, Store, Transaction
from bankrudder.world import ModelVersion

LOADED_TABLE = "loaded"
"""One row for each engine, replaced with each load."""

_log = structlog.get_logger("orders")


class LoadedVersion(msgspec.Struct, frozen=True):
    """A version that an engine has loaded."""

    model: ModelName
    version: ModelVersion


class LoadAnnouncer:
    """Writes and reads the versions that engines have loaded."""

    def __init__(self, store: Store, directory: EndpointDirectory):
        self._store = store
        self._directory = directory

    async def announce(self, engine: EndpointId, loaded: LoadedVersion) -> None:
        """Tell all owners; failing to only delays them until the next heartbeat."""
        key = RowKey(LOADED_TABLE, "", engine)
        put = Put(key, msgspec.json.encode(loaded))
        outcome = await self._store.commit(Transaction(puts=(put,)))
        if not isinstance(outcome, Committed):
            _log.info("orders: load not announced", endpoint=engine)

    def take(self, row: Row) -> None:
        """Take a row that was written by whoever gave the order."""
        loaded = msgspec.json.decode(row.value, type=LoadedVersion)
        engine = self._directory.get(EndpointId(row.key.key))
        if engine is not None:
            engine.note_version(loaded.model, loaded.version)

    async def forget(self, engine: EndpointId) -> None:
        """Remove the row of an engine that is gone."""
        key = RowKey(LOADED_TABLE, "", engine)
        await self._store.commit(Transaction(removals=(key,)))
