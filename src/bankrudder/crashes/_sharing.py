"""The strikes in the store, as this host wrote or read them."""

from collections.abc import Iterable

from bankrudder.crashes._admission import doubt_left_s
from bankrudder.crashes._records import decode_strike, row_key
from bankrudder.crashes._values import Strike, UnixTime
from bankrudder.crashes._writing import StrikeWriter
from bankrudder.store import Row, RowKey, Store

ABANDONED_DOUBT_S = 60.0
"""Time after which a doubtful strike is removed whose host did not decide on it,
because it stopped. It is far longer than a host or its clock may lag."""


class SharedStrikes:
    """Keeps the rows of strikes up to date, without repeating writes."""

    def __init__(self, store: Store):
        self._writer = StrikeWriter(store)
        self._stored: dict[RowKey, Strike] = {}

    async def run(self) -> None:
        """Write changes until cancelled."""
        await self._writer.run()

    def has(self, strike: Strike) -> bool:
        """Whether a row exists for the run and content of a strike."""
        return row_key(strike) in self._stored

    def put(self, strike: Strike) -> None:
        """Write a strike unless its row exists in the same state."""
        key = row_key(strike)
        known = self._stored.get(key)
        if known is None or known.is_doubtful is not strike.is_doubtful:
            self._stored[key] = strike
            self._writer.put(strike)

    def remove(self, strikes: Iterable[Strike]) -> None:
        """Remove the rows of strikes that have one."""
        for strike in strikes:
            if self._stored.pop(row_key(strike), None) is not None:
                self._writer.remove(strike)

    def note_row(self, row: Row) -> Strike:
        """Record a row that was read; return its strike.

        Raises
        ------
        UnreadableDocumentError
            If the row is not a valid strike.
        """
        strike = decode_strike(row.value)
        self._stored[row.key] = strike
        return strike

    def note_removed(self, key: RowKey) -> Strike | None:
        """Record that a row was removed; return its strike if it was known."""
        return self._stored.pop(key, None)

    def abandoned_doubts(self, now: UnixTime) -> list[Strike]:
        """Return the doubtful strikes on which no host decided in time."""
        return [
            each
            for each in self._stored.values()
            if each.is_doubtful and doubt_left_s(each, now) < -ABANDONED_DOUBT_S
        ]
