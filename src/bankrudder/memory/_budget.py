"""A budget for the data that a host holds while it is transferred.

Load pattern: hundreds of callers read large answers slowly, or send large requests
slowly. A host that holds the data of all of them exceeds its memory and is killed, with
every request that it works on.

All data that is being transferred counts against one budget, apart from the first bytes
of each transfer: callers of small requests must not fail because of large ones. Batches
that this host works on count, too. Neither requests nor answers may use all of the
budget, so that neither takes the room of the other. If data does not fit, the slowest
transfers are ended until it does.

A transfer that makes progress is not ended before `MIN_ENDED_AGE_S`, nor for an older
one that is slower. One that stands still may be ended for any other. A request that has
been read may run and is not ended: it stays held until it is answered. An answer that
does not fit is broken off while it is read. One that was read stays held until it is
sent, or until nothing refers to it, so that it is delivered even if the budget is used
up meanwhile.
"""

from collections.abc import Callable
from enum import Enum
from typing import Self

import structlog

from bankrudder.memory._process_limits import ProcessLimits
from bankrudder.world import Clock, SystemClock

KIND_RESERVE_SHARE = 0.25
KIND_RESERVE_BYTES = 4 << 20
"""Part of the budget that requests leave to answers, and answers to requests: the
smaller one of a share and a size."""

UNCOUNTED_BYTES = 16 << 10
"""Bytes of each transfer that do not count. Usual requests and answers are smaller, and
a thousand transfers take only 16 MB so."""

MIN_ENDED_AGE_S = 1.0
"""Age from which a transfer may be ended. A caller that reads at once has received an
answer of megabytes by then."""

STALLED_S = 0.25
"""Time without any progress from which a transfer stands still: several retransmissions
on a link between data centres."""

_log = structlog.get_logger("memory")


class TransferKind(Enum):
    """What is transferred."""

    REQUEST = "request"
    """A request that is received or in progress, or a batch that is worked on."""

    ANSWER = "answer"


class Holding:
    """The data of one transfer that is in progress.

    Parameters
    ----------
    transferred_bytes : callable
        Returns how many bytes the other side has sent or received so far.
    end : callable
        Ends the transfer by closing its connection.
    uncounted_bytes : int
        Number of bytes that do not count.
    """

    def __init__(
        self,
        budget: "MemoryBudget",
        kind: TransferKind,
        began_at: float,
        transferred_bytes: Callable[[], int],
        end: Callable[[], None],
        uncounted_bytes: int,
    ):
        self._budget = budget
        self._uncounted_bytes = uncounted_bytes
        self._kind = kind
        self._began_at = began_at
        self._transferred_bytes = transferred_bytes
        self._end = end
        self._size_bytes = 0
        self._held_bytes = 0
        self._is_ended = False
        self._is_received = False
        self._progress_at = began_at
        self._progress_bytes = 0

    @property
    def is_ended(self) -> bool:
        """Whether the transfer was ended for the memory that it held."""
        return self._is_ended

    @property
    def is_received(self) -> bool:
        """Whether all data is here, so that the other side cannot be too slow."""
        return self._is_received

    @property
    def kind(self) -> TransferKind:
        """What is transferred."""
        return self._kind

    @property
    def size_bytes(self) -> int:
        """Bytes of the transfer so far."""
        return self._size_bytes

    @property
    def held_bytes(self) -> int:
        """Bytes that count against the budget."""
        return self._held_bytes

    def age_s(self, now: float) -> float:
        """Return the time since the transfer began."""
        return now - self._began_at

    def bytes_per_s(self, now: float) -> float:
        """Return the mean rate of the transfer so far."""
        return self._transferred_bytes() / max(self.age_s(now), 0.001)

    def stalled_s(self, now: float) -> float:
        """Return the time since progress was last seen, by calls of this method."""
        transferred_bytes = self._transferred_bytes()
        if transferred_bytes != self._progress_bytes:
            self._progress_bytes = transferred_bytes
            self._progress_at = now
        return now - self._progress_at

    def grow(self, count: int, *, is_required: bool = False) -> bool:
        """Hold more bytes; return whether there is room for them.

        Parameters
        ----------
        is_required : bool
            Whether the bytes are held even if there is no room, because they are in
            memory already and must be delivered.
        """
        size_bytes = self._size_bytes + count
        added_bytes = max(size_bytes - self._uncounted_bytes, 0) - self._held_bytes
        if not self._budget.take(self, added_bytes, is_required=is_required):
            return False
        self._size_bytes = size_bytes
        self._held_bytes += added_bytes
        return True

    def note_received(self) -> None:
        """Record that all data is here; it stays held and is not ended any more."""
        self._is_received = True

    def begin_sending(
        self, transferred_bytes: Callable[[], int], end: Callable[[], None]
    ) -> None:
        """Begin to transfer data that was received, and that stays held, to a caller.

        Parameters
        ----------
        transferred_bytes : callable
            Returns how many bytes the caller has received so far.
        end : callable
            Ends the transfer by closing the caller's connection.
        """
        self._began_at = self._budget.now
        self._progress_at = self._began_at
        self._progress_bytes = 0
        self._transferred_bytes = transferred_bytes
        self._end = end
        self._is_received = False

    def end(self) -> None:
        """End the transfer and release its bytes."""
        self._is_ended = True
        self.release()
        self._end()

    def release(self) -> None:
        """Release all bytes, at the end of the transfer."""
        self._budget.discard(self)
        self._held_bytes = 0


class HeldData:
    """Keeps the data of a transfer held until nothing refers to it.

    It goes with the data, as data is dropped in many places: an answer is refused, or
    another one came first, or its caller has left.
    """

    def __init__(self, holding: Holding):
        self._holding = holding

    def __del__(self) -> None:
        self._holding.release()

    @property
    def holding(self) -> Holding:
        """The transfer that the data belongs to."""
        return self._holding


class MemoryBudget:
    """The memory that all transfers of a host may use together.

    Parameters
    ----------
    limit_bytes : int
        Largest number of counted bytes that are held at the same time.
    uncounted_bytes : int
        Bytes of each transfer that do not count.
    """

    def __init__(
        self, limit_bytes: int, clock: Clock, uncounted_bytes: int = UNCOUNTED_BYTES
    ):
        self._limit_bytes = limit_bytes
        self._uncounted_bytes = uncounted_bytes
        self._clock = clock
        self._held_bytes = dict.fromkeys(TransferKind, 0)
        self._holdings: set[Holding] = set()

    @classmethod
    def from_config(cls, limits: ProcessLimits, clock: Clock) -> Self:
        """Create the budget of a process."""
        return cls(limits.data_bytes, clock)

    @classmethod
    def of_unknown_process(cls) -> Self:
        """Create the budget of a process whose memory is not known."""
        return cls.from_config(ProcessLimits.from_config(None, 0), SystemClock())

    @property
    def now(self) -> float:
        """The monotonic time by which the ages of transfers are measured."""
        return self._clock.monotonic()

    @property
    def limit_bytes(self) -> int:
        """Largest number of bytes that are held at the same time."""
        return self._limit_bytes

    @property
    def uncounted_bytes(self) -> int:
        """Bytes of each transfer that do not count."""
        return self._uncounted_bytes

    @property
    def max_transfer_bytes(self) -> int:
        """Size of the largest transfer that fits while there is no other one."""
        return self._kind_limit_bytes + self._uncounted_bytes

    @property
    def _kind_limit_bytes(self) -> int:
        reserve_bytes = min(
            int(KIND_RESERVE_SHARE * self._limit_bytes), KIND_RESERVE_BYTES
        )
        return self._limit_bytes - reserve_bytes

    @property
    def held_bytes(self) -> int:
        """Counted bytes that are held at present."""
        return sum(self._held_bytes.values())

    def hold(
        self,
        kind: TransferKind,
        transferred_bytes: Callable[[], int],
        end: Callable[[], None],
    ) -> Holding:
        """Begin a transfer, which holds no bytes yet."""
        return self._begin(kind, transferred_bytes, end, self._uncounted_bytes)

    def hold_work(self) -> Holding:
        """Begin to hold data that is here and is worked on; all of it counts.

        It is not ended for transfers.
        """
        holding = self._begin(TransferKind.REQUEST, lambda: 0, lambda: None, 0)
        holding.note_received()
        return holding

    def _begin(
        self,
        kind: TransferKind,
        transferred_bytes: Callable[[], int],
        end: Callable[[], None],
        uncounted_bytes: int,
    ) -> Holding:
        holding = Holding(self, kind, self.now, transferred_bytes, end, uncounted_bytes)
        self._holdings.add(holding)
        return holding

    def discard(self, holding: Holding) -> None:
        """Forget a transfer that has ended, and free what it held."""
        if holding in self._holdings:
            self._holdings.remove(holding)
            self._held_bytes[holding.kind] -= holding.held_bytes

    def take(self, holding: Holding, count: int, *, is_required: bool = False) -> bool:
        """Count more bytes of a transfer; return whether they are counted."""
        if holding not in self._holdings:
            return False
        if not self._make_room(holding, count) and not is_required:
            return False
        self._held_bytes[holding.kind] += count
        return True

    def _make_room(self, holding: Holding, count: int) -> bool:
        """End slower transfers until `count` more bytes fit; return whether they do."""
        held_of_kind = self._held_bytes[holding.kind]
        missing_bytes = self.held_bytes + count - self._limit_bytes
        missing_of_kind = held_of_kind + count - self._kind_limit_bytes
        if count <= 0 or max(missing_bytes, missing_of_kind) <= 0:
            return True
        ended = self._slower_transfers(holding, missing_bytes, missing_of_kind)
        for each in ended:
            self._log_end(each, holding, count)
            each.end()
        return bool(ended)

    def _slower_transfers(
        self, holding: Holding, missing_bytes: int, missing_of_kind: int
    ) -> list[Holding]:
        """Return the slowest transfers that hold the missing bytes, none if too few."""
        ended = []
        for each in self._transfers_to_end(holding):
            if missing_bytes <= 0 and each.kind is not holding.kind:
                continue
            ended.append(each)
            missing_bytes -= each.held_bytes
            if each.kind is holding.kind:
                missing_of_kind -= each.held_bytes
            if max(missing_bytes, missing_of_kind) <= 0:
                return ended
        return []

    def _transfers_to_end(self, holding: Holding) -> list[Holding]:
        """Return the transfers that may be ended for another one, the slowest first."""
        now = self._clock.monotonic()
        own_rate = holding.bytes_per_s(now)
        is_new = holding.age_s(now) < MIN_ENDED_AGE_S

        def may_end(each: Holding) -> bool:
            if each is holding or not each.held_bytes or each.is_received:
                return False
            if each.stalled_s(now) >= STALLED_S:
                return True
            is_old = each.age_s(now) >= MIN_ENDED_AGE_S
            return is_old and (is_new or each.bytes_per_s(now) < own_rate)

        return sorted(
            filter(may_end, self._holdings), key=lambda each: each.bytes_per_s(now)
        )

    def _log_end(self, ended: Holding, holding: Holding, count: int) -> None:
        now = self._clock.monotonic()
        _log.warning(
            "memory: slow transfer ended",
            kind=ended.kind.value,
            held_bytes=ended.held_bytes,
            bytes_per_s=round(ended.bytes_per_s(now)),
            seconds=round(ended.age_s(now), 2),
            needed_bytes=count,
            needed_for=holding.kind.value,
            budget_bytes=self._limit_bytes,
        )
