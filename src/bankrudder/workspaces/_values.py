"""Workspaces in the form in which operators configure them."""

import msgspec

from bankrudder.workspaces._keys import KeyDigest
from bankrudder.world import WorkspaceName


class WorkspaceKeys(msgspec.Struct, frozen=True):
    """The keys of one workspace.

    Attributes
    ----------
    keys : tuple of KeyDigest
        Each of them is accepted. Empty after all keys have been revoked.
    priority : int or None
        Overrides the priority of a route, 0 being the most urgent. None leaves the
        route's priority in effect.
    """

    name: WorkspaceName
    keys: tuple[KeyDigest, ...] = ()
    priority: int | None = None


class DuplicateKeyError(Exception):
    """Two workspaces share a name or a key, so requests cannot be told apart."""
