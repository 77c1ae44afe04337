"""Bounds on what callers may make one host hold."""

import msgspec


class RpcLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on requests of callers and trainers; operators have none.

    Attributes
    ----------
    max_requests, max_requests_per_caller : int
        Requests in progress, of all callers and of one.
    max_held_bytes, max_held_bytes_per_caller : int
        Bytes of requests in progress, of all callers and of one.
    """

    max_requests: int = 8192
    max_requests_per_caller: int = 4096
    max_held_bytes: int = 64 * 1024 * 1024
    max_held_bytes_per_caller: int = 32 * 1024 * 1024
