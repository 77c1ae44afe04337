"""Decides which writes of a row are relayed in full to the hosts of a data centre.

Heartbeats rewrite rows without a significant change; such writes need not be relayed in
full.
"""

import msgspec

from bankrudder.decoding import UnreadableDocumentError, decode_json
from bankrudder.node._documents import Documents
from bankrudder.presence import HOSTS_TABLE, Heartbeat
from bankrudder.store import Row


class FeedRowFilter:
    """Tells significant changes of rows from mere heartbeats."""

    def __init__(self, documents: Documents):
        self._documents = documents

    def significant_content(self, row: Row) -> bytes:
        """Return a row's content without the fields that each heartbeat changes."""
        try:
            if row.key.table == self._documents.endpoints_table:
                endpoint = self._documents.endpoint(row.key.key, row.value)
                return msgspec.msgpack.encode(endpoint)
            if row.key.table == HOSTS_TABLE:
                heartbeat = decode_json(row.value, Heartbeat)
                return msgspec.msgpack.encode(
                    msgspec.structs.replace(heartbeat, count=0)
                )
        except UnreadableDocumentError:
            return row.value  # the table's follower logs what is invalid
        return row.value

    def relays_touches(self, table: str) -> bool:
        """Whether subscribers must learn that a row was rewritten without a change."""
        return table == HOSTS_TABLE
