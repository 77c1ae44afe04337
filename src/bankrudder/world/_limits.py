"""Limits on the requests that callers may have in progress on one host."""

import msgspec


class RpcLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on the requests of callers and trainers; operators have none.

    Attributes
    ----------
    max_requests, max_requests_per_caller : int
        Number of requests in progress, of all callers together and of each caller.
    max_held_bytes, max_held_bytes_per_caller : int
        Size of the requests in progress in bytes, of all callers together and of each
        caller.
    """

    max_requests: int = 8192
    max_requests_per_caller: int = 4096
    max_held_bytes: int = 64 * 1024 * 1024
    max_held_bytes_per_caller: int = 32 * 1024 * 1024
