"""Requests that run at most once, whatever is repeated where.

The record of the key is begun before the request is sent. So a repeat, at any host,
finds it, and is given its answer, or is told that nobody knows what became of it.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import msgspec
import structlog
import uuid_utils

from bankrudder.calls._records import CallRecords, Kept
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

BEGIN_GIVE_UP_S = 1.0
"""Time for which the beginning of a record is tried again: a caller waits for it."""

REPLY_MARGIN_S = 0.1
"""Time kept for telling a caller that its request was not sent."""

POLL_S = 0.1
"""Pause between two looks at a key that another attempt is sending: twice a usual
answer."""

STORE_RETRY_AFTER_S = 0.5
"""When to come back while the store takes no record here; another host may reach it."""

LATE_WRITE_S = 10.0
"""Time for which a record is looked for whose beginning is not settled: the store may
carry a write out some seconds after it gave no answer."""

LATE_PAUSE_S = 1.0

Run = Callable[[], Awaitable[Answer]]

_log = structlog.get_logger("calls")


class OnceRunner:
    """Runs requests under records of their keys."""

    def __init__(self, records: CallRecords, presence: Presence, clock: Clock):
        self._records = records
        self._presence = presence
        self._clock = clock
        self._background: set[asyncio.Task[None]] = set()

    async def run(
        self, name: str, fingerprint: bytes, deadline: float, run: Run
    ) -> tuple[Answer, bool]:
        """Return the answer to a key, and whether it was recorded before.

        Parameters
        ----------
        name : str
            Name of the key's record.
        deadline : float
            Monotonic time after which the caller no longer waits.
        run : callable
            Sends the request. Its `NotRunError` means that it surely did not run.

        Raises
        ------
        BankrudderError
            What became of the request, or why it was not sent.
        """
        while True:
            record = CallRecord(
                fingerprint,
                self._presence.host,
                self._presence.lifetime,
                str(uuid_utils.uuid4()),
            )
            kept = await self._begin(name, record, deadline)
            if kept.is_ours:
                return await self._send(name, kept, run), False
            if kept.record.fingerprint != fingerprint:
                raise InvalidError(
                    FailureReason.KEY_REUSED,
                    "the key stands for another request",
                    field="key",
                )
            answer = await self._result_of_other(name, kept, deadline)
            if answer is not None:
                return answer, True

    async def _begin(self, name: str, record: CallRecord, deadline: float) -> Kept:
        left_s = deadline - self._clock.monotonic() - REPLY_MARGIN_S
        try:
            # A call to a store that is away waits for its return, however long.
            async with asyncio.timeout(max(left_s, 0.0)):
                return await self._records.begin(
                    name, record, min(BEGIN_GIVE_UP_S, left_s)
                )
        except StoreUnavailableError as error:
            raise _not_recorded(error.trouble.value) from None
        except (NotSettledError, TimeoutError):
            # It will not be sent, so a record that appears yet must go again.
            self._spawn(self._withdraw_late(name, record))
            raise _not_recorded("no reply") from None

    async def _send(self, name: str, kept: Kept, run: Run) -> Answer:
        try:
            answer = await run()
        except NotRunError:
            await self._withdraw(name, kept.version)
            raise
        except FailedError as error:
            await self._finish(
                name, kept, RecordState.FAILED, detail=error.failure.detail
            )
            raise
        except BankrudderError as error:
            await self._finish(
                name, kept, RecordState.UNKNOWN, detail=error.failure.detail
            )
            raise
        except asyncio.CancelledError:
            # The caller left while it may have run: a repeat must be told so.
            finishing = self._finish(
                name, kept, RecordState.UNKNOWN, detail="the caller left"
            )
            self._spawn(finishing)
            raise
        # A repeat may come as soon as the caller has the answer, so it is kept first.
        await self._finish(
            name,
            kept,
            RecordState.ANSWERED,
            body=answer.body,
            endpoint=answer.endpoint,
        )
        return answer

    async def _result_of_other(
        self, name: str, kept: Kept, deadline: float
    ) -> Answer | None:
        """Return what another attempt made of a key; None if it was withdrawn."""
        found: Kept | None = kept
        while found is not None:
            record = found.record
            match record.state:
                case RecordState.ANSWERED:
                    return await self._replayed(record)
                case RecordState.FAILED:
                    raise FailedError(FailureReason.ENDPOINT_ERROR, record.detail)
                case RecordState.UNKNOWN:
                    raise OutcomeUnknownError(
                        FailureReason.ENDPOINT_TIMEOUT, record.detail
                    )
            if not self._presence.is_alive(record.host, record.lifetime):
                raise OutcomeUnknownError(
                    FailureReason.HOST_LOST, f"{record.host}, which sent it, ended"
                )
            if self._clock.monotonic() + POLL_S >= deadline:
                raise ExpiredError(
                    FailureReason.DEADLINE_PASSED, "another attempt is still running"
                )
            await asyncio.sleep(POLL_S)
            found = await self._read(name)
        return None

    async def _read(self, name: str) -> Kept | None:
        try:
            return await self._records.read(name)
        except StoreUnavailableError as error:
            raise _not_known(error.trouble.value) from None

    async def _replayed(self, record: CallRecord) -> Answer:
        try:
            body = await self._records.body_of(record)
        except StoreUnavailableError as error:
            raise _not_known(error.trouble.value) from None
        if body is None:
            raise OutcomeUnknownError(
                FailureReason.KEY_EXPIRED, "it ran, and its answer is no longer kept"
            )
        return Answer(body, record.endpoint)

    async def _finish(
        self, name: str, kept: Kept, state: RecordState, **what: Any
    ) -> None:
        record = msgspec.structs.replace(kept.record, state=state, **what)
        try:
            await self._records.finish(name, kept.version, record)
        except (StoreUnavailableError, NotSettledError):
            # A repeat will be told that nobody knows, which is true for it.
            _log.warning("calls: outcome not kept", record=name, state=state.value)

    async def _withdraw(self, name: str, version: RowVersion) -> None:
        try:
            await self._records.withdraw(name, version)
        except (StoreUnavailableError, NotSettledError):
            _log.warning("calls: record not withdrawn", record=name)

    async def _withdraw_late(self, name: str, record: CallRecord) -> None:
        """Remove a record that this attempt may have begun, once it appears."""
        until = self._clock.monotonic() + LATE_WRITE_S
        while self._clock.monotonic() < until:
            await asyncio.sleep(LATE_PAUSE_S)
            try:
                kept = await self._records.read(name)
            except StoreUnavailableError:
                continue  # looked for again after the pause
            if kept is not None:
                if kept.record.attempt == record.attempt:
                    await self._withdraw(name, kept.version)
                return

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def _not_recorded(trouble: str) -> NotRunError:
    return NotRunError(
        FailureReason.STORE_UNAVAILABLE,
        f"the key cannot be recorded: {trouble}",
        retry_after_s=STORE_RETRY_AFTER_S,
    )


def _not_known(trouble: str) -> OutcomeUnknownError:
    return OutcomeUnknownError(
        FailureReason.STORE_UNAVAILABLE,
        f"the key's record cannot be read: {trouble}",
        retry_after_s=STORE_RETRY_AFTER_S,
    )
