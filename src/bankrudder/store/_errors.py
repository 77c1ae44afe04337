"""Exceptions of calls to the store."""

from bankrudder.store._values import StoreErrorKind


class StoreUnavailableError(Exception):
    """The store gave no result; ``error_kind`` tells why."""

    def __init__(self, error_kind: StoreErrorKind):
        super().__init__(f"store call gave no result: {error_kind.value}")
        self.error_kind = error_kind


class UnreadableRowError(StoreUnavailableError):
    """A row holds no value of the expected kind, so a repeated read does not help."""

    def __init__(self) -> None:
        super().__init__(StoreErrorKind.UNREADABLE)


class HistoryLostError(Exception):
    """The store no longer keeps the requested changes; all rows must be read again."""


class NotSettledError(Exception):
    """The outcome of a transaction was still unknown when the time limit passed."""
