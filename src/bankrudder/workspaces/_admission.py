"""Admission of requests by API key, and the workspace that each belongs to."""

from collections.abc import Iterable
from enum import Enum

import msgspec

from bankrudder.workspaces._keys import ApiKey, KeyDigest
from bankrudder.workspaces._values import DuplicateKeyError, WorkspaceKeys
from bankrudder.world import NO_WORKSPACE, WorkspaceName


class Admitted(msgspec.Struct, frozen=True):
    """The request may run, for `NO_WORKSPACE` if it has no known key.

    Attributes
    ----------
    priority : int or None
        Priority of the workspace's requests, None for that of their route.
    """

    workspace: WorkspaceName = NO_WORKSPACE
    priority: int | None = None


class DenialReason(Enum):
    """Why a request may not run."""

    NO_KEY = "no_key"
    UNKNOWN_KEY = "unknown_key"


class Denial(msgspec.Struct, frozen=True):
    """The request may not run according to the configuration that decided it."""

    reason: DenialReason


class KeyIndex:
    """The keys of one configuration, rebuilt for each new configuration.

    Raises
    ------
    DuplicateKeyError
        If two workspaces have the same name or the same key.
    """

    def __init__(self, workspaces: Iterable[WorkspaceKeys]):
        self._workspace_names: set[WorkspaceName] = set()
        self._by_key: dict[KeyDigest, WorkspaceName] = {}
        self._priorities: dict[WorkspaceName, int] = {}
        for each in workspaces:
            self._add(each)

    def _add(self, workspace: WorkspaceKeys) -> None:
        if workspace.name in self._workspace_names:
            raise DuplicateKeyError("two workspaces have the same name")
        self._workspace_names.add(workspace.name)
        if workspace.priority is not None:
            self._priorities[workspace.name] = workspace.priority
        for key in workspace.keys:
            if self._by_key.setdefault(key, workspace.name) != workspace.name:
                raise DuplicateKeyError("two workspaces have the same key")

    def __len__(self) -> int:
        return len(self._by_key)

    def admit(self, key: ApiKey | None, *, is_public: bool) -> Admitted | Denial:
        """Decide whether a request may run, and for which workspace.

        Parameters
        ----------
        is_public : bool
            Whether the request's route is public. On a public route a known key still
            determines the workspace, and an unknown key is ignored.
        """
        owner = self._by_key.get(key.digest) if key is not None else None
        if owner is not None:
            return Admitted(owner, self._priorities.get(owner))
        if is_public:
            return Admitted()
        return Denial(DenialReason.NO_KEY if key is None else DenialReason.UNKNOWN_KEY)
