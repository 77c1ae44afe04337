"""What rows of the store mean, so that heartbeats need not be passed on whole."""

import msgspec

from bankrudder.node._documents import Documents, UnreadableDocumentError
from bankrudder.presence import HOSTS_TABLE, Heartbeat
from bankrudder.store import Row


class FeedRowFilter:
    """Tells what a row means without what changes with each heartbeat."""

    def __init__(self, documents: Documents):
        self._documents = documents

    def significant_content(self, row: Row) -> bytes:
        """Return what is the same for two rows that mean the same."""
        try:
            if row.key.table == self._documents.endpoints_table:
                endpoint = self._documents.endpoint(row.key.key, row.value)
                return msgspec.msgpack.encode(endpoint)
            if row.key.table == HOSTS_TABLE:
                beat = msgspec.json.decode(row.value, type=Heartbeat)
                return msgspec.msgpack.encode(msgspec.structs.replace(beat, count=0))
        except (msgspec.DecodeError, UnreadableDocumentError):
            return row.value  # whoever follows the table says what is wrong
        return row.value

    def relays_touches(self, table: str) -> bool:
        """Whether it must be known that a row was written again."""
        return table == HOSTS_TABLE
