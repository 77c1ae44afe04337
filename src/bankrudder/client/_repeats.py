"""Whether a call is made again after a failure, and when."""

import random

import msgspec

from bankrudder.exceptions import BankrudderError, error_from
from bankrudder.failures import Failure, FailureKind, FailureReason

FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0
MIN_ATTEMPT_S = 0.1
"""No attempt is begun with less time than this left: it would end without an answer,
and the caller could no longer be told that nothing ran."""

JITTER = 0.5
"""Largest share of a pause that is added at random."""


class Repeat(msgspec.Struct, frozen=True):
    """Make the call again after a pause."""

    pause_s: float


class GiveUp(msgspec.Struct, frozen=True):
    """Tell the user `failure`."""

    failure: Failure

    @property
    def error(self) -> BankrudderError:
        return error_from(self.failure)


class Repeats:
    """What the failures of one call's attempts allow.

    All attempts bear the same key. Once an attempt may have run, a NOT_RUN to a later
    one is no longer passed on: it speaks of that attempt alone.

    Parameters
    ----------
    deadline : float
        Monotonic time in seconds after which nothing is repeated.
    """

    def __init__(self, deadline: float, rng: random.Random):
        self._deadline = deadline
        self._rng = rng
        self._may_have_run = False
        self._failures = 0

    def after(self, failure: Failure, now: float) -> Repeat | GiveUp:
        """Return what to do after an attempt that ended with `failure`."""
        self._failures += 1
        if failure.kind is FailureKind.OUTCOME_UNKNOWN:
            self._may_have_run = True
        pause_s = self._pause_after(failure)
        if pause_s is None or now + pause_s + MIN_ATTEMPT_S >= self._deadline:
            return GiveUp(self._truthful(failure))
        return Repeat(pause_s)

    def _pause_after(self, failure: Failure) -> float | None:
        if failure.kind not in (FailureKind.NOT_RUN, FailureKind.OUTCOME_UNKNOWN):
            return None
        if failure.reason is FailureReason.WRONG_PLACE:
            return self._misplaced_pause_s(failure)
        if failure.reason is FailureReason.NODE_UNREACHABLE:
            return self._jittered(self._backoff_s())
        if failure.retry_after_s is None:
            return None
        return self._jittered(failure.retry_after_s)

    def _misplaced_pause_s(self, failure: Failure) -> float | None:
        if not failure.allowed_addresses:
            return None
        return 0.0 if self._failures == 1 else self._backoff_s()

    def _truthful(self, failure: Failure) -> Failure:
        if failure.kind is FailureKind.NOT_RUN and self._may_have_run:
            return msgspec.structs.replace(failure, kind=FailureKind.OUTCOME_UNKNOWN)
        return failure

    def _backoff_s(self) -> float:
        return min(MAX_PAUSE_S, FIRST_PAUSE_S * 2.0 ** min(self._failures - 1, 8))

    def _jittered(self, pause_s: float) -> float:
        return pause_s * (1 + JITTER * self._rng.random())
