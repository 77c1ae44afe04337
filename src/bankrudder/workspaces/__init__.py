"""Workspaces and their API keys: which workspace a request belongs to."""

from bankrudder.workspaces._admission import (
    Admitted,
    Denial,
    KeyIndex,
    Refusal,
)
from bankrudder.workspaces._keys import ApiKey, KeyDigest, parse_bearer
from bankrudder.workspaces._refreshing import UnknownKeyRefresh
from bankrudder.workspaces._values import DuplicateKeyError, WorkspaceKeys

__all__ = [
    "Admitted",
    "ApiKey",
    "Denial",
    "DuplicateKeyError",
    "KeyDigest",
    "KeyIndex",
    "Refusal",
    "UnknownKeyRefresh",
    "WorkspaceKeys",
    "parse_bearer",
]
