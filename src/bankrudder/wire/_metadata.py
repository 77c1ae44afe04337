"""Metadata of calls, and size limits of requests."""

AUTHORIZATION_KEY = "authorization"
DATA_CLASS_KEY = "bankrudder-data-class"
TRACE_KEY = "traceparent"
BEARER_PREFIX = "Bearer "

MAX_REQUEST_BYTES = 8 * 1024 * 1024
"""Largest request that a node accepts and that the clients send."""

MAX_RECEIVED_BYTES = 2 * MAX_REQUEST_BYTES
"""Largest request that a node reads. Requests over `MAX_REQUEST_BYTES` up to this
size are refused with a typed failure; gRPC itself refuses larger ones."""

Metadata = tuple[tuple[str, str], ...]


def caller_metadata(token: str, data_class: str = "") -> Metadata:
    """Return the metadata for calls of the caller that has `token`.

    Parameters
    ----------
    data_class : str
        Data class of the payload, empty if the caller may use only one.
    """
    authorization = (AUTHORIZATION_KEY, f"{BEARER_PREFIX}{token}")
    if not data_class:
        return (authorization,)
    return (authorization, (DATA_CLASS_KEY, data_class))
