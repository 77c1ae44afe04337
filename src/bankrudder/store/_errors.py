"""Exceptions of calls to the store."""

from bankrudder.store._values import StoreTrouble


class StoreUnavailableError(Exception):
    """The store gave no result; ``trouble`` tells why."""

    def __init__(self, trouble: StoreTrouble):
        super().__init__(f"store call gave no result: {trouble.value}")
        self.trouble = trouble


class HistoryLostError(Exception):
    """The store no longer keeps the requested changes; all rows must be read again."""


class NotSettledError(Exception):
    """The outcome of a transaction was still unknown when the time limit passed."""
