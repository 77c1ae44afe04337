"""Whether a request may run, and for which workspace."""

from collections.abc import Iterable
from enum import Enum

import msgspec

from bankrudder.workspaces._keys import ApiKey, KeyDigest
from bankrudder.workspaces._values import DuplicateKeyError, WorkspaceKeys
from bankrudder.world import NO_WORKSPACE, WorkspaceName


class Admitted(msgspec.Struct, frozen=True):
    """The request may run for a workspace, `NO_WORKSPACE` if nobody's."""

    workspace: WorkspaceName = NO_WORKSPACE


class Refusal(Enum):
    """Why a request may not run."""

    NO_KEY = "no_key"
    UNKNOWN_KEY = "unknown_key"


class Denial(msgspec.Struct, frozen=True):
    """The request may not run by the configuration that was asked."""

    reason: Refusal


class KeyIndex:
    """The keys of one configuration, made anew with each one.

    Raises
    ------
    DuplicateKeyError
        If a name or a key stands at two workspaces.
    """

    def __init__(self, workspaces: Iterable[WorkspaceKeys]):
        self._names: set[WorkspaceName] = set()
        self._by_key: dict[KeyDigest, WorkspaceName] = {}
        for each in workspaces:
            self._add(each)

    def _add(self, workspace: WorkspaceKeys) -> None:
        if workspace.name in self._names:
            raise DuplicateKeyError("a workspace's name stands twice")
        self._names.add(workspace.name)
        for key in workspace.keys:
            if self._by_key.setdefault(key, workspace.name) != workspace.name:
                raise DuplicateKeyError("a key stands at two workspaces")

    def __len__(self) -> int:
        return len(self._by_key)

    def admit(self, key: ApiKey | None, *, is_public: bool) -> Admitted | Denial:
        """Decide on a request.

        Parameters
        ----------
        is_public : bool
            Whether its route is open to all. A known key still names the workspace
            there; an unknown one does no harm.
        """
        owner = self._by_key.get(key.digest) if key is not None else None
        if owner is not None:
            return Admitted(owner)
        if is_public:
            return Admitted()
        return Denial(Refusal.NO_KEY if key is None else Refusal.UNKNOWN_KEY)
