"""What becomes of a send, for later choices, for log lines, and for refusals."""

import structlog

from bankrudder.crashes import Admission, Verdict
from bankrudder.fleet import (
    Answered,
    LossReason,
    Lost,
    RefusalReason,
    Refused,
    SendOutcome,
    TrackedEndpoint,
)
from bankrudder.relay._values import NotRun, RejectReason

_log = structlog.get_logger("relay")


def refusal_of(verdict: Verdict) -> NotRun | None:
    """Return the reply to a request that may not be sent, None if it may."""
    if verdict.admission is not Admission.REFUSED:
        return None
    return NotRun(RejectReason.CRASHES_ENDPOINTS, verdict.retry_after_s)


def note_outcome(
    target: TrackedEndpoint, outcome: SendOutcome, began: float, now: float
) -> None:
    """Let what became of a send count in the later choices of its endpoint."""
    match outcome:
        case Answered():
            if outcome.load is not None:
                target.note_load(outcome.load, now)
            target.note_answer(now - began)
            target.note_connection(outcome.kept_s, now)
        case Refused(reason=RefusalReason.FULL):
            if outcome.load is not None:
                target.note_load(outcome.load, now)
        case Refused(reason=RefusalReason.REJECTED):
            pass
        case Lost(reason=LossReason.ENDPOINT_RESTARTED):
            pass  # its later run did not fail
        case _:
            was_left_out = target.is_suspended(now)
            seconds = target.note_failure(now)
            if was_left_out:
                return  # a line for each send there hides the lines that matter
            _log.info(
                "relay: endpoint left out",
                endpoint=target.endpoint.id,
                outcome=describe(outcome),
                seconds=seconds,
            )


def describe(outcome: SendOutcome) -> str:
    """Return what became of a send, for a log line."""
    match outcome:
        case Answered(status=status):
            return f"status {status}"
        case Refused(reason=reason):
            return f"refused: {reason.value}"
        case Lost(reason=lost):
            return f"lost: {lost.value}"
