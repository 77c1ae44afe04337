"""Pools of endpoints, and the contract of each pool."""

from enum import Enum

import msgspec

from bankrudder.world._ids import PoolName


class PoolKind(Enum):
    """Kind of a pool's endpoints."""

    ENGINE = "engine"
    SERVICE = "service"


class Contract(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """Guarantees of a pool's endpoints, and limits of the calls to them.

    Attributes
    ----------
    idempotent : bool
        Whether a request whose outcome is unknown may be sent again.
    resumes : bool
        Whether a broken stream can be resumed from an event.
    retry_window_s : float
        Seconds for which the answer to an idempotency key is kept for retries.
    timeout_s : float
        Longest duration of one call in seconds.
    max_attempts : int
        Maximum number of endpoints to which one call is sent.
    """

    idempotent: bool = False
    resumes: bool = False
    retry_window_s: float = 900.0
    timeout_s: float = 30.0
    max_attempts: int = 3


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A set of interchangeable endpoints.

    Attributes
    ----------
    service : str
        Name under which its endpoints are listed; the pool's own name if empty.
    model : str
        Model that an engine pool serves, empty for a service pool.
    host, path : str
        Host name and path of the requests to its endpoints; the method of a call is
        appended to the path.
    """

    name: PoolName
    kind: PoolKind
    contract: Contract = Contract()
    service: str = ""
    model: str = ""
    host: str = ""
    path: str = "/"
