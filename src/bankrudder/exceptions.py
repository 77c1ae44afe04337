"""Exceptions that carry failures: one class for each kind of failure."""

from bankrudder.failures import Failure, FailureKind, FailureReason


class BankrudderError(Exception):
    """Base of all errors of this package.

    Attributes
    ----------
    failure : Failure
        The description of the failure that is sent to the caller.
    """

    kind = FailureKind.FAILED

    def __init__(
        self,
        reason: FailureReason,
        detail: str = "",
        *,
        field: str = "",
        retry_after_s: float | None = None,
        allowed_addresses: tuple[str, ...] = (),
    ):
        super().__init__(f"{reason.value}: {detail}")
        self.failure = Failure(
            self.kind, reason, detail, field, retry_after_s, allowed_addresses
        )


class NotRunError(BankrudderError):
    """The request was not run and may be retried."""

    kind = FailureKind.NOT_RUN


class OutcomeUnknownError(BankrudderError):
    """The request may have run and is not retried."""

    kind = FailureKind.OUTCOME_UNKNOWN


class FailedError(BankrudderError):
    """The request ran and the endpoint answered with an error."""

    kind = FailureKind.FAILED


class ExpiredError(BankrudderError):
    """The deadline passed before the answer arrived."""

    kind = FailureKind.EXPIRED


class InvalidError(BankrudderError):
    """The request is invalid and would fail again."""

    kind = FailureKind.INVALID


_ERROR_CLASS_BY_KIND: dict[FailureKind, type[BankrudderError]] = {
    error.kind: error
    for error in (
        NotRunError,
        OutcomeUnknownError,
        FailedError,
        ExpiredError,
        InvalidError,
    )
}


def error_from(failure: Failure) -> BankrudderError:
    """Return the exception that carries `failure`."""
    error = _ERROR_CLASS_BY_KIND[failure.kind](failure.reason, failure.detail)
    error.failure = failure
    return error
