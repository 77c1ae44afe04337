"""What a caller is told when it does not get an answer.

A failure is a value that crosses processes; the exceptions that carry one
within a process are in `bankrudder.exceptions`.
"""

from enum import Enum

import msgspec


class FailureKind(Enum):
    """What is known about the request that failed."""

    NOT_RUN = "not_run"
    """Nothing was run; the request may be made again."""

    OUTCOME_UNKNOWN = "outcome_unknown"
    """The request may have run; it will not be run again."""

    FAILED = "failed"
    """The request ran and the endpoint answered with an error."""

    EXPIRED = "expired"
    """The deadline passed; the answer is no longer useful."""

    INVALID = "invalid"
    """The request is wrong and would fail again."""

    @classmethod
    def _missing_(cls, value: object) -> "FailureKind":
        """Return the cautious kind for one of a newer version."""
        return FailureKind.OUTCOME_UNKNOWN


class FailureReason(Enum):
    """Why it failed."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    NOT_ALLOWED = "not_allowed"
    UNKNOWN_POOL = "unknown_pool"
    UNKNOWN_JOB = "unknown_job"
    UNKNOWN_DATA_CLASS = "unknown_data_class"
    WRONG_PLACE = "wrong_place"
    TOO_LARGE = "too_large"
    KEY_MISSING = "key_missing"
    KEY_MALFORMED = "key_malformed"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    KEY_FROM_FUTURE = "key_from_future"
    HOST_LOST = "host_lost"
    """The host that may have run it is gone."""

    STALE_CONFIGURATION = "stale_configuration"
    """The host cannot tell whether its configuration is the newest."""

    NO_CONFIGURATION = "no_configuration"
    NO_ENDPOINT = "no_endpoint"
    OVERLOADED = "overloaded"
    QUEUE_TIMEOUT = "queue_timeout"
    DEADLINE_PASSED = "deadline_passed"
    STOPPING = "stopping"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_UNREACHABLE = "endpoint_unreachable"
    ENDPOINT_ERROR = "endpoint_error"
    ENDPOINT_TIMEOUT = "endpoint_timeout"
    CRASHES_ENDPOINTS = "crashes_endpoints"
    """Endpoints ended under the same request before; it is not sent to another one."""

    ANSWER_BROKEN = "answer_broken"
    SAMPLES_GIVEN_UP = "samples_given_up"
    STEP_CONFLICT = "step_conflict"
    REVISION_CONFLICT = "revision_conflict"
    CONFIGURATION_WRONG = "configuration_wrong"
    NOT_YET_EVERYWHERE = "not_yet_everywhere"
    STORE_UNAVAILABLE = "store_unavailable"
    NODE_UNREACHABLE = "node_unreachable"
    INTERNAL = "internal"
    """Any other reason, also one that this version does not know."""

    @classmethod
    def _missing_(cls, value: object) -> "FailureReason":
        return FailureReason.INTERNAL


class Failure(msgspec.Struct, frozen=True):
    """A typed account of a failure, as a caller receives it.

    Attributes
    ----------
    detail : str
        One short sentence for a person; it carries no payload.
    field : str
        Path of the wrong field, for INVALID.
    retry_after_s : float or None
        Seconds after which it is worth coming back, None if it is not.
    allowed_addresses : tuple of str
        Entry addresses that may take the request, for WRONG_PLACE.
    """

    kind: FailureKind
    reason: FailureReason
    detail: str = ""
    field: str = ""
    retry_after_s: float | None = None
    allowed_addresses: tuple[str, ...] = ()
