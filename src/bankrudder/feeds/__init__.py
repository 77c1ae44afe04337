"""Passing changes of the store's tables on within a data centre."""

from bankrudder.feeds._cache import FeedCache
from bankrudder.feeds._messages import (
    FeedBeat,
    FeedChanges,
    FeedMessage,
    RelayedRow,
    TouchedRow,
)
from bankrudder.feeds._publisher import FeedPublisher
from bankrudder.feeds._readers import ReaderElection
from bankrudder.feeds._store import FeedRole, RelayedStore

__all__ = [
    "FeedBeat",
    "FeedCache",
    "FeedChanges",
    "FeedMessage",
    "FeedPublisher",
    "FeedRole",
    "ReaderElection",
    "RelayedRow",
    "RelayedStore",
    "TouchedRow",
]
