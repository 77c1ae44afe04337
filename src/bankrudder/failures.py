"""Failures of requests, as they are reported to callers.

A failure is a value that is sent between processes; the exceptions that carry a
failure within a process are in `bankrudder.exceptions`.
"""

from enum import Enum

import msgspec


class FailureKind(Enum):
    """Whether a failed request ran, and whether it may be retried."""

    NOT_RUN = "not_run"
    """The request did not run and may be retried."""

    OUTCOME_UNKNOWN = "outcome_unknown"
    """The request may have run; it is not retried."""

    FAILED = "failed"
    """The request ran and the endpoint answered with an error."""

    EXPIRED = "expired"
    """The deadline passed; the answer is no longer useful."""

    INVALID = "invalid"
    """The request is invalid and would fail again."""

    @classmethod
    def _missing_(cls, value: object) -> "FailureKind":
        """Return `OUTCOME_UNKNOWN`, the safe kind, for a kind of a newer version."""
        return FailureKind.OUTCOME_UNKNOWN


class FailureReason(Enum):
    """Reason of a failure."""

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
    """The host that may have run the request is lost."""

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
    """The same request crashed endpoints before, so it is not sent to another one."""

    ANSWER_BROKEN = "answer_broken"
    SAMPLES_GIVEN_UP = "samples_given_up"
    STEP_CONFLICT = "step_conflict"
    REVISION_CONFLICT = "revision_conflict"
    CONFIGURATION_WRONG = "configuration_wrong"
    NOT_YET_EVERYWHERE = "not_yet_everywhere"
    STORE_UNAVAILABLE = "store_unavailable"
    NODE_UNREACHABLE = "node_unreachable"
    INTERNAL = "internal"
    """Any other reason, including a reason that this version does not know."""

    @classmethod
    def _missing_(cls, value: object) -> "FailureReason":
        return FailureReason.INTERNAL


class Failure(msgspec.Struct, frozen=True):
    """A failure with its kind and reason, as a caller receives it.

    Attributes
    ----------
    detail : str
        One short sentence for a person, without any payload.
    field : str
        Path of the invalid field, for INVALID.
    retry_after_s : float or None
        Seconds after which a retry is useful, None if it is not.
    allowed_addresses : tuple of str
        Entry addresses that may accept the request, for WRONG_PLACE.
    """

    kind: FailureKind
    reason: FailureReason
    detail: str = ""
    field: str = ""
    retry_after_s: float | None = None
    allowed_addresses: tuple[str, ...] = ()
