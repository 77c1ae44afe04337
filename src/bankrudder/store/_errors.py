"""Failures of reads from the store."""

from bankrudder.store._values import StoreTrouble


class StoreUnavailableError(Exception):
    """The store did not answer a read; the reader knows nothing new."""

    def __init__(self, trouble: StoreTrouble):
        super().__init__(f"the store gave no result: {trouble.value}")
        self.trouble = trouble


class HistoryLostError(Exception):
    """The changes that were asked for are no longer kept: read all anew."""


class NotSettledError(Exception):
    """A transaction's outcome could not be found out in time."""
