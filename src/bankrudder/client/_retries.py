"""Retry policy of calls."""

import random

import msgspec

from bankrudder.exceptions import BankrudderError, error_from
from bankrudder.failures import Failure, FailureKind, FailureReason

FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0
MIN_ATTEMPT_S = 0.1
"""Least remaining time for a new attempt, in seconds.

A shorter attempt would end without an answer and turn NOT_RUN into OUTCOME_UNKNOWN.
"""

JITTER = 0.5
"""Largest random addition to a pause, as a share of the pause."""


class Retry(msgspec.Struct, frozen=True):
    """Decision to retry the call after a pause."""

    pause_s: float


class GiveUp(msgspec.Struct, frozen=True):
    """Decision to report `failure` to the user."""

    failure: Failure

    @property
    def error(self) -> BankrudderError:
        return error_from(self.failure)


class RetryPolicy:
    """Decides after each failed attempt of one call whether the call is retried.

    All attempts use the same key. Once an attempt may have run, NOT_RUN for a later
    attempt is reported as OUTCOME_UNKNOWN, because it concerns that attempt only.

    Parameters
    ----------
    deadline : float
        Monotonic time in seconds after which the call is not retried.
    """

    def __init__(self, deadline: float, rng: random.Random):
        self._deadline = deadline
        self._rng = rng
        self._may_have_run = False
        self._failure_count = 0

    def decide(self, failure: Failure, now: float) -> Retry | GiveUp:
        """Return whether to retry after an attempt that failed with `failure`."""
        self._failure_count += 1
        if failure.kind is FailureKind.OUTCOME_UNKNOWN:
            self._may_have_run = True
        pause_s = self._retry_pause_s(failure)
        if pause_s is None or now + pause_s + MIN_ATTEMPT_S >= self._deadline:
            return GiveUp(self._reported_failure(failure))
        return Retry(pause_s)

    def _retry_pause_s(self, failure: Failure) -> float | None:
        if failure.kind not in (FailureKind.NOT_RUN, FailureKind.OUTCOME_UNKNOWN):
            return None
        if failure.reason is FailureReason.WRONG_PLACE:
            return self._wrong_place_pause_s(failure)
        if failure.reason is FailureReason.NODE_UNREACHABLE:
            return self._jittered(self._backoff_s())
        if failure.retry_after_s is None:
            return None
        return self._jittered(failure.retry_after_s)

    def _wrong_place_pause_s(self, failure: Failure) -> float | None:
        if not failure.allowed_addresses:
            return None
        return 0.0 if self._failure_count == 1 else self._backoff_s()

    def _reported_failure(self, failure: Failure) -> Failure:
        if failure.kind is FailureKind.NOT_RUN and self._may_have_run:
            return msgspec.structs.replace(failure, kind=FailureKind.OUTCOME_UNKNOWN)
        return failure

    def _backoff_s(self) -> float:
        # The bound of the exponent avoids an overflow; MAX_PAUSE_S is reached earlier.
        return min(MAX_PAUSE_S, FIRST_PAUSE_S * 2.0 ** min(self._failure_count - 1, 8))

    def _jittered(self, pause_s: float) -> float:
        return pause_s * (1 + JITTER * self._rng.random())
