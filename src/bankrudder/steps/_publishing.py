"""Weight versions that trainers publish over the gRPC interface."""

import msgspec
import structlog

from bankrudder.decoding import decode_json
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
    UnreadableRowError,
    commit_settled,
    decoding_row,
    translate_store_errors,
)
from bankrudder.world import Clock, ModelVersion

PUBLISHED_VERSIONS_TABLE = "versions"
"""Table with one row for each model, which holds the newest published version."""

PUBLISH_TIMEOUT_S = 3.0
"""Time limit for retries of a publication; the trainer may repeat it afterwards."""

RETRY_AFTER_S = 0.5

_log = structlog.get_logger("steps")


class VersionRegistry:
    """Stores the newest version of each model; the version never decreases."""

    def __init__(self, store: Store, clock: Clock):
        self._store = store
        self._clock = clock

    async def publish(self, model: ModelName, version: ModelVersion) -> ModelVersion:
        """Publish a version; return the newest version, which may be a later one.

        Raises
        ------
        InvalidError
            If the version is below 1.
        NotRunError
            If the store does not accept the write.
        OutcomeUnknownError
            If the version may have been published; the trainer may publish it again.
        """
        if version < 1:
            raise InvalidError(
                FailureReason.BAD_REQUEST,
                f"version is {version}, must be at least 1",
                field="version",
            )
        with translate_store_errors("the store gave no reply", RETRY_AFTER_S):
            newest = await self._write_if_newer(model, version)
        _log.info("steps: version published", model=model, version=newest)
        return newest

    async def _write_if_newer(
        self, model: ModelName, version: ModelVersion
    ) -> ModelVersion:
        key = RowKey(PUBLISHED_VERSIONS_TABLE, "", model)
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
                PUBLISH_TIMEOUT_S,
            )
            match outcome:
                case Conflict():
                    continue  # another version was published concurrently
                case NotCommitted(error_kind=error_kind):
                    raise StoreUnavailableError(error_kind)
                case _:
                    return version

    async def _read(self, model: ModelName) -> tuple[ModelVersion, RowVersion]:
        page = await self._store.read(PUBLISHED_VERSIONS_TABLE, "", model, model + "\0")
        if not page.rows:
            return ModelVersion(0), ABSENT
        row = page.rows[0]
        try:
            with decoding_row(row.key):
                return decode_published_version(row.value).version, row.version
        except UnreadableRowError:
            return ModelVersion(0), row.version  # the next publication replaces it


def decode_published_version(body: bytes) -> ModelState:
    """Decode a row of `PUBLISHED_VERSIONS_TABLE`.

    Raises
    ------
    UnreadableDocumentError
        If the row is not a valid version of a model.
    """
    return decode_json(body, ModelState)
