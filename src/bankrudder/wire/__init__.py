"""Wire conventions that nodes and their clients share: metadata and failures."""

from bankrudder.wire._failures import (
    FAILURE_METADATA_KEY,
    failure_from_proto,
    failure_from_trailer,
    failure_to_proto,
)
from bankrudder.wire._metadata import (
    AUTHORIZATION_KEY,
    BEARER_PREFIX,
    DATA_CLASS_KEY,
    MAX_RECEIVED_BYTES,
    MAX_REQUEST_BYTES,
    TRACE_KEY,
    caller_metadata,
)

__all__ = [
    "AUTHORIZATION_KEY",
    "BEARER_PREFIX",
    "DATA_CLASS_KEY",
    "FAILURE_METADATA_KEY",
    "MAX_RECEIVED_BYTES",
    "MAX_REQUEST_BYTES",
    "TRACE_KEY",
    "caller_metadata",
    "failure_from_proto",
    "failure_from_trailer",
    "failure_to_proto",
]
