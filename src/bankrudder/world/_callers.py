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
    """What a caller may do besides calling."""

    CALLER = "caller"
    TRAINER = "trainer"
    OPERATOR = "operator"


class CallerClass(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """A class of callers that are treated alike under load.

    Attributes
    ----------
    priority : int
        A class with a lower number is served first.
    queue_limit : int
        Most requests of this class that wait for one pool on one host.
    queue_timeout_s : float
        Longest wait in seconds before a request is given up on.
    reserved : int
        Places on each endpoint that lower classes may not take.
    """

    name: CallerClassName
    priority: int
    queue_limit: int = 256
    queue_timeout_s: float = 5.0
    reserved: int = 0


class Workspace(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """Callers that share an account of usage; endpoints are told its name."""

    name: WorkspaceName


class Caller(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """An identity: its class, what it may do, and the hash of its token.

    ``token_sha256`` is the hexadecimal SHA-256 of the bearer token, ``workspace`` the
    one that the caller belongs to, empty for none.
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
        Most versions by which a sample may lag the newest one at the step's opening.
    max_tokens : int
        Most tokens of one sample.
    sample_timeout_s : float
        Time in seconds after which a sample of a step is given up.
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
