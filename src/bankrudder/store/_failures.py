"""What troubles of the store mean to whoever asked for a change."""

from collections.abc import Iterator
from contextlib import contextmanager

from bankrudder.exceptions import NotRunError, OutcomeUnknownError
from bankrudder.failures import FailureReason
from bankrudder.store._errors import NotSettledError, StoreUnavailableError


@contextmanager
def told_as_failures(unsettled: str, retry_after_s: float) -> Iterator[None]:
    """Raise what the caller is to be told if the store does not serve the block.

    Parameters
    ----------
    unsettled : str
        What to say if the change may have been made.
    retry_after_s : float
        Seconds after which to come back.

    Raises
    ------
    NotRunError
        If nothing was changed and nothing will be.
    OutcomeUnknownError
        If that is not known.
    """
    reason = FailureReason.STORE_UNAVAILABLE
    try:
        yield
    except StoreUnavailableError as error:
        raise NotRunError(
            reason, error.trouble.value, retry_after_s=retry_after_s
        ) from None
    except NotSettledError:
        raise OutcomeUnknownError(
            reason, unsettled, retry_after_s=retry_after_s
        ) from None
