"""At-most-once execution of requests, whichever host receives a retry.

The record of the idempotency key is written before the request is sent. A retry at any
host finds the record and gets the recorded answer, or an error that says that the
outcome is unknown.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import msgspec
import structlog
import uuid_utils

from bankrudder.calls._records import CallRecords, StoredRecord
from bankrudder.calls._values import Answer, CallRecord, RecordState
from bankrudder.exceptions import (
    BankrudderError,
    ExpiredError,
    FailedError,
    InvalidError,
    NotRunError,
    OutcomeUnknownError,
)
from bankrudder.failures import FailureReason
from bankrudder.presence import Presence
from bankrudder.store import NotSettledError, RowVersion, StoreUnavailableError
from bankrudder.world import Clock

BEGIN_TIMEOUT_S = 1.0
"""Time limit for retries of a record's first write, for which the caller waits."""

REPLY_MARGIN_S = 0.1
"""Time before the deadline that is reserved for replying to the caller that the request
was not sent."""

RECORD_POLL_PAUSE_S = 0.1
"""Pause between two reads of a record whose request another attempt is sending: twice
the usual answer time."""

STORE_RETRY_AFTER_S = 0.5
"""Retry delay while this host cannot reach the store; another host may reach it."""

LATE_WRITE_WINDOW_S = 10.0
"""Time for which a record is looked for if the outcome of its first write is unknown:
the store may apply a write some seconds after it failed to reply."""

LATE_WRITE_POLL_PAUSE_S = 1.0

RequestSender = Callable[[], Awaitable[Answer]]

_log = structlog.get_logger("calls")


class AtMostOnceRunner:
    """Runs requests whose idempotency keys are recorded."""

    def __init__(self, records: CallRecords, presence: Presence, clock: Clock):
        self._records = records
        self._presence = presence
        self._clock = clock
        self._background: set[asyncio.Task[None]] = set()

    async def run(
        self, name: str, fingerprint: bytes, deadline: float, run: RequestSender
    ) -> tuple[Answer, bool]:
        """Return the answer for a key, and whether it comes from the record.

        Parameters
        ----------
        name : str
            Name of the key's record.
        deadline : float
            Monotonic time after which the caller no longer waits.
        run : callable
            Sends the request. A `NotRunError` means that the request certainly did
            not run.

        Raises
        ------
        BankrudderError
            If there is no answer; the type of the error tells what is known.
        """
        while True:
            record = CallRecord(
                fingerprint,
                self._presence.host,
                self._presence.lifetime,
                str(uuid_utils.uuid4()),
            )
            stored = await self._begin(name, record, deadline)
            if stored.is_ours:
                return await self._send(name, stored, run), False
            if stored.record.fingerprint != fingerprint:
                raise InvalidError(
                    FailureReason.KEY_REUSED,
                    "the key was already used for a different request",
                    field="key",
                )
            answer = await self._result_of_other_attempt(name, stored, deadline)
            if answer is not None:
                return answer, True

    async def _begin(
        self, name: str, record: CallRecord, deadline: float
    ) -> StoredRecord:
        left_s = deadline - self._clock.monotonic() - REPLY_MARGIN_S
        try:
            # The store client waits for an unreachable store without a time limit.
            async with asyncio.timeout(max(left_s, 0.0)):
                return await self._records.begin(
                    name, record, min(BEGIN_TIMEOUT_S, left_s)
                )
        except StoreUnavailableError as error:
            raise _key_not_recorded(error.error_kind.value) from None
        except (NotSettledError, TimeoutError):
            # The request is not sent, so a late write of the record must be undone.
            self._spawn(self._withdraw_late_write(name, record))
            raise _key_not_recorded("the store gave no reply") from None

    async def _send(
        self, name: str, stored: StoredRecord, run: RequestSender
    ) -> Answer:
        try:
            answer = await run()
        except NotRunError:
            await self._withdraw(name, stored.version)
            raise
        except FailedError as error:
            await self._finish(
                name, stored, RecordState.FAILED, detail=error.failure.detail
            )
            raise
        except BankrudderError as error:
            await self._finish(
                name, stored, RecordState.UNKNOWN, detail=error.failure.detail
            )
            raise
        except asyncio.CancelledError:
            # The request may have run, so a retry must get an unknown outcome.
            finishing = self._finish(
                name,
                stored,
                RecordState.UNKNOWN,
                detail="the call was cancelled",
            )
            self._spawn(finishing)
            raise
        # Recorded first, because a retry may come as soon as the caller has the answer.
        await self._finish(
            name,
            stored,
            RecordState.ANSWERED,
            body=answer.body,
            endpoint=answer.endpoint,
        )
        return answer

    async def _result_of_other_attempt(
        self, name: str, stored: StoredRecord, deadline: float
    ) -> Answer | None:
        """Return the answer of another attempt; None if its record was withdrawn."""
        found: StoredRecord | None = stored
        while found is not None:
            record = found.record
            match record.state:
                case RecordState.ANSWERED:
                    return await self._recorded_answer(record)
                case RecordState.FAILED:
                    raise FailedError(FailureReason.ENDPOINT_ERROR, record.detail)
                case RecordState.UNKNOWN:
                    raise OutcomeUnknownError(
                        FailureReason.ENDPOINT_TIMEOUT, record.detail
                    )
            if not self._presence.is_alive(record.host, record.lifetime):
                raise OutcomeUnknownError(
                    FailureReason.HOST_LOST,
                    f"host {record.host} stopped while it was sending the request",
                )
            if self._clock.monotonic() + RECORD_POLL_PAUSE_S >= deadline:
                raise ExpiredError(
                    FailureReason.DEADLINE_PASSED,
                    "another attempt with the same key is still running",
                )
            await asyncio.sleep(RECORD_POLL_PAUSE_S)
            found = await self._read(name)
        return None

    async def _read(self, name: str) -> StoredRecord | None:
        try:
            return await self._records.read(name)
        except StoreUnavailableError as error:
            raise _record_unreadable(error.error_kind.value) from None

    async def _recorded_answer(self, record: CallRecord) -> Answer:
        try:
            body = await self._records.body_of(record)
        except StoreUnavailableError as error:
            raise _record_unreadable(error.error_kind.value) from None
        if body is None:
            raise OutcomeUnknownError(
                FailureReason.KEY_EXPIRED,
                "the request ran, but its answer is no longer stored",
            )
        return Answer(body, record.endpoint)

    async def _finish(
        self, name: str, stored: StoredRecord, state: RecordState, **outcome_fields: Any
    ) -> None:
        record = msgspec.structs.replace(stored.record, state=state, **outcome_fields)
        try:
            await self._records.finish(name, stored.version, record)
        except (StoreUnavailableError, NotSettledError):
            # A retry then gets an unknown outcome, which is a correct reply.
            _log.warning("calls: outcome not recorded", record=name, state=state.value)

    async def _withdraw(self, name: str, version: RowVersion) -> None:
        try:
            await self._records.withdraw(name, version)
        except (StoreUnavailableError, NotSettledError):
            _log.warning("calls: record not withdrawn", record=name)

    async def _withdraw_late_write(self, name: str, record: CallRecord) -> None:
        """Remove the record of this attempt if the store applies the write late."""
        until = self._clock.monotonic() + LATE_WRITE_WINDOW_S
        while self._clock.monotonic() < until:
            await asyncio.sleep(LATE_WRITE_POLL_PAUSE_S)
            try:
                stored = await self._records.read(name)
            except StoreUnavailableError:
                continue  # read again after the pause
            if stored is not None:
                if stored.record.attempt == record.attempt:
                    await self._withdraw(name, stored.version)
                return

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def _key_not_recorded(error_kind: str) -> NotRunError:
    return NotRunError(
        FailureReason.STORE_UNAVAILABLE,
        f"the idempotency key cannot be recorded: {error_kind}",
        retry_after_s=STORE_RETRY_AFTER_S,
    )


def _record_unreadable(error_kind: str) -> OutcomeUnknownError:
    return OutcomeUnknownError(
        FailureReason.STORE_UNAVAILABLE,
        f"the record of the idempotency key cannot be read: {error_kind}",
        retry_after_s=STORE_RETRY_AFTER_S,
    )
