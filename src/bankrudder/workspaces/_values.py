"""Workspaces as operators configure them."""

import msgspec

from bankrudder.workspaces._keys import KeyDigest
from bankrudder.world import WorkspaceName


class WorkspaceKeys(msgspec.Struct, frozen=True):
    """The keys of one workspace.

    Attributes
    ----------
    keys : tuple of KeyDigest
        Any of them will do; none while all were taken away.
    priority : int or None
        Goes before that of a route, 0 is the most urgent; None leaves the route's.
    """

    name: WorkspaceName
    keys: tuple[KeyDigest, ...] = ()
    priority: int | None = None


class DuplicateKeyError(Exception):
    """A name or a key stands at two workspaces, so nobody could tell them apart."""
