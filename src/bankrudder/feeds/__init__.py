"""Relays changes of the store's tables to the hosts of a data centre."""

from bankrudder.feeds._cache import FeedCache
from bankrudder.feeds._messages import (
    FeedChanges,
    FeedHeartbeat,
    FeedMessage,
    RelayedRow,
    RowReference,
)
from bankrudder.feeds._publisher import FeedPublisher
from bankrudder.feeds._readers import ReaderElection
from bankrudder.feeds._store import FeedRole, RelayedStore

__all__ = [
    "FeedCache",
    "FeedChanges",
    "FeedHeartbeat",
    "FeedMessage",
    "FeedPublisher",
    "FeedRole",
    "ReaderElection",
    "RelayedRow",
    "RelayedStore",
    "RowReference",
]
