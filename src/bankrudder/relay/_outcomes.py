"""Handling of attempt outcomes: endpoint statistics, log texts and crash refusals."""

import structlog

from bankrudder.crashes import Admission, AdmissionDecision
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


def crash_refusal(decision: AdmissionDecision) -> NotRun | None:
    """Return the reply to a request that is refused for crashes, None if it is not."""
    if decision.admission is not Admission.REFUSED:
        return None
    return NotRun(RejectReason.CRASHES_ENDPOINTS, decision.retry_after_s)


def note_outcome(
    target: TrackedEndpoint, outcome: SendOutcome, sent_at: float, now: float
) -> None:
    """Record the outcome of an attempt in the statistics of its endpoint."""
    match outcome:
        case Answered():
            if outcome.load is not None:
                target.note_load(outcome.load, now)
            if outcome.status < 500 or not target.reports_slowdown:
                target.note_answer(now - sent_at, now)
            else:
                # Errors often come early. They would make the endpoint look fast.
                target.note_alive()
            target.note_connection(outcome.keep_alive_s, now)
        case Refused(reason=RefusalReason.FULL):
            if outcome.load is not None:
                target.note_load(outcome.load, now)
        case Refused(reason=RefusalReason.REJECTED):
            pass
        case Lost(reason=LossReason.ENDPOINT_RESTARTED):
            pass  # The endpoint's new run did not fail.
        case Lost(reason=LossReason.NO_MEMORY):
            target.note_alive()
        case _:
            was_suspended = target.is_suspended(now)
            seconds = target.note_failure(now)
            if was_suspended:
                # One line per suspension; a line per attempt would hide other lines.
                return
            _log.info(
                "relay: endpoint suspended",
                endpoint=target.endpoint.id,
                outcome=describe(outcome),
                seconds=seconds,
            )


def describe(outcome: SendOutcome) -> str:
    """Return the outcome of an attempt as a text for log lines and spans."""
    match outcome:
        case Answered(status=status):
            return f"status {status}"
        case Refused(reason=reason):
            return f"refused: {reason.value}"
        case Lost(reason=lost):
            return f"lost: {lost.value}"
