"""Workspaces and their API keys: which workspace a request belongs to."""

from bankrudder.workspaces._admission import (
    Admitted,
    Denial,
    DenialReason,
    KeyIndex,
)
from bankrudder.workspaces._keys import ApiKey, KeyDigest, parse_bearer
from bankrudder.workspaces._refreshing import UnknownKeyRefreshLimiter
from bankrudder.workspaces._values import DuplicateKeyError, WorkspaceKeys

__all__ = [
    "Admitted",
    "ApiKey",
    "Denial",
    "DenialReason",
    "DuplicateKeyError",
    "KeyDigest",
    "KeyIndex",
    "UnknownKeyRefreshLimiter",
    "WorkspaceKeys",
    "parse_bearer",
]
