"""Versions of weights that trainers publish through the project's own interface."""

import msgspec
import structlog

from bankrudder.exceptions import InvalidError
from bankrudder.failures import FailureReason
from bankrudder.fleet import ModelState
from bankrudder.routing import ModelName
from bankrudder.store import (
    ABSENT,
    Conflict,
    Expectation,
    NotCommitted,
    Put,
    RowKey,
    RowVersion,
    Store,
    StoreUnavailableError,
    Transaction,
    commit_settled,
    told_as_failures,
)
from bankrudder.world import Clock, ModelVersion

NAMED_VERSIONS_TABLE = "versions"
"""One row for each model, with the newest version that was published."""

GIVE_UP_S = 3.0
"""Time for which a publication is tried again; the trainer may publish it again."""

RETRY_AFTER_S = 0.5

_log = structlog.get_logger("steps")


class VersionRegistry:
    """Keeps the newest version of each model; versions only grow."""

    def __init__(self, store: Store, clock: Clock):
        self._store = store
        self._clock = clock

    async def publish(self, model: ModelName, version: ModelVersion) -> ModelVersion:
        """Make a version the newest one; return the newest, which may be newer.

        Raises
        ------
        InvalidError
            If the version is below 1.
        NotRunError
            If the store does not take it.
        OutcomeUnknownError
            If it may have been published; it may be published again.
        """
        if version < 1:
            raise InvalidError(
                FailureReason.BAD_REQUEST, "allowed is 1 or more", field="version"
            )
        with told_as_failures("the store gave no reply", RETRY_AFTER_S):
            newest = await self._raise_to(model, version)
        _log.info("steps: version published", model=model, version=newest)
        return newest

    async def _raise_to(self, model: ModelName, version: ModelVersion) -> ModelVersion:
        key = RowKey(NAMED_VERSIONS_TABLE, "", model)
        value = msgspec.json.encode(ModelState(model, version))
        while True:
            newest, before = await self._read(model)
            if newest >= version:
                return newest
            outcome = await commit_settled(
                self._store,
                Transaction((Expectation(key, before),), (Put(key, value),)),
                lambda conflict: conflict.holds(value),
                self._clock,
                GIVE_UP_S,
            )
            match outcome:
                case Conflict():
                    continue  # another version was published meanwhile
                case NotCommitted(trouble=trouble):
                    raise StoreUnavailableError(trouble)
                case _:
                    return version

    async def _read(self, model: ModelName) -> tuple[ModelVersion, RowVersion]:
        page = await self._store.read(NAMED_VERSIONS_TABLE, "", model, model + "\0")
        if not page.rows:
            return ModelVersion(0), ABSENT
        row = page.rows[0]
        return decode_named_version(row.value).version, row.version


def decode_named_version(body: bytes) -> ModelState:
    """Decode a row of the table; raises `msgspec.DecodeError`."""
    return msgspec.json.decode(body, type=ModelState)
