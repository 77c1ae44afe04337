"""The durable store: its interface, and helpers that handle its failures."""

from bankrudder.store._errors import (
    HistoryLostError,
    NotSettledError,
    StoreUnavailableError,
    UnreadableRowError,
)
from bankrudder.store._failures import translate_store_errors
from bankrudder.store._following import TableFollower
from bankrudder.store._measured import MeasuredStore
from bankrudder.store._pace import ReadPace
from bankrudder.store._port import Store
from bankrudder.store._recovering import (
    PROBE_PAUSE_S,
    PROBE_SHARE,
    RecoveringStore,
)
from bankrudder.store._rows import (
    MAX_TRANSACTION_ROWS,
    decoding_row,
    read_all,
    remove_all,
)
from bankrudder.store._settling import commit_settled
from bankrudder.store._values import (
    ABSENT,
    Changes,
    CommitOutcome,
    Committed,
    CommitUnknown,
    Conflict,
    Expectation,
    NotCommitted,
    Page,
    Put,
    RemovedRow,
    Row,
    RowKey,
    RowVersion,
    StoreErrorKind,
    Transaction,
)

__all__ = [
    "ABSENT",
    "Changes",
    "CommitOutcome",
    "CommitUnknown",
    "Committed",
    "Conflict",
    "Expectation",
    "HistoryLostError",
    "MAX_TRANSACTION_ROWS",
    "MeasuredStore",
    "NotCommitted",
    "NotSettledError",
    "Page",
    "PROBE_PAUSE_S",
    "PROBE_SHARE",
    "Put",
    "ReadPace",
    "RecoveringStore",
    "RemovedRow",
    "Row",
    "RowKey",
    "RowVersion",
    "Store",
    "StoreErrorKind",
    "StoreUnavailableError",
    "TableFollower",
    "Transaction",
    "UnreadableRowError",
    "commit_settled",
    "decoding_row",
    "read_all",
    "remove_all",
    "translate_store_errors",
]
