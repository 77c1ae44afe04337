"""Callers, their classes, and the jobs that trainers run."""

from enum import Enum

import msgspec

from bankrudder.world._ids import (
    NO_WORKSPACE,
    CallerClassName,
    CallerName,
    DataClassName,
    JobName,
    PoolName,
    WorkspaceName,
)


class CallerRole(Enum):
    """Role of a caller, which determines the operations that it may use."""

    CALLER = "caller"
    TRAINER = "trainer"
    OPERATOR = "operator"


class CallerClass(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """A class of callers with the same priority and limits under load.

    Attributes
    ----------
    priority : int
        Requests of a class with a lower number are served first.
    queue_limit : int
        Maximum number of requests of this class that wait for one pool on one host.
    queue_timeout_s : float
        Longest wait of a request, in seconds, after which it is refused.
    reserved : int
        Slots on each endpoint that classes of lower priority may not use.
    """

    name: CallerClassName
    priority: int
    queue_limit: int = 256
    queue_timeout_s: float = 5.0
    reserved: int = 0


class Workspace(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """Callers whose usage is counted together; endpoints receive the name."""

    name: WorkspaceName


class Caller(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """A caller: its class, its permissions and the hash of its token.

    ``token_sha256`` is the hexadecimal SHA-256 of the bearer token. ``workspace`` is
    the workspace that the caller belongs to, empty for none.
    """

    name: CallerName
    caller_class: CallerClassName
    token_sha256: str
    data_classes: tuple[DataClassName, ...]
    roles: tuple[CallerRole, ...] = (CallerRole.CALLER,)
    workspace: WorkspaceName = NO_WORKSPACE


class Job(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A rollout job: one trainer's demand for samples from one pool.

    Attributes
    ----------
    adapter : str
        Adapter whose versions the trainer publishes; ``base`` is the pool's
        own model.
    max_staleness : int
        Maximum number of versions by which a sample may be older than the newest
        version at the time when the step is opened.
    max_tokens : int
        Maximum number of tokens in one sample.
    sample_timeout_s : float
        Time in seconds after which an unfinished sample of a step is abandoned.
    """

    name: JobName
    pool: PoolName
    data_class: DataClassName
    trainer: CallerName
    caller_class: CallerClassName
    max_staleness: int = 1
    max_tokens: int = 64
    sample_timeout_s: float = 60.0
    adapter: str = "base"
