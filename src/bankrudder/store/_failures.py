"""Translation of store errors into the errors that a caller receives."""

from collections.abc import Iterator
from contextlib import contextmanager

from bankrudder.exceptions import NotRunError, OutcomeUnknownError
from bankrudder.failures import FailureReason
from bankrudder.store._errors import NotSettledError, StoreUnavailableError


@contextmanager
def translate_store_errors(unknown_detail: str, retry_after_s: float) -> Iterator[None]:
    """Translate store errors of the ``with`` block into errors for the caller.

    Parameters
    ----------
    unknown_detail : str
        Detail of the error if the change may have been made.
    retry_after_s : float
        Seconds after which the caller may retry.

    Raises
    ------
    NotRunError
        If the change was not made and will not be.
    OutcomeUnknownError
        If it is unknown whether the change was made.
    """
    reason = FailureReason.STORE_UNAVAILABLE
    try:
        yield
    except StoreUnavailableError as error:
        raise NotRunError(
            reason, error.error_kind.value, retry_after_s=retry_after_s
        ) from None
    except NotSettledError:
        raise OutcomeUnknownError(
            reason, unknown_detail, retry_after_s=retry_after_s
        ) from None
