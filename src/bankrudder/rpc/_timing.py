"""Histogram of the duration of calls, by pool and outcome."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Self

from bankrudder.exceptions import BankrudderError
from bankrudder.failures import FailureKind
from bankrudder.observe import Histogram, Metrics
from bankrudder.world import Clock

UNKNOWN_POOL = "unknown"
"""Label for pools that are not configured. Callers may name any pool; one label for
all unknown names bounds the number of time series."""

ANSWERED = "answered"
CANCELLED = "cancelled"


class CallTimer:
    """Measures calls from their arrival to the end of the answer or the failure."""

    def __init__(self, latency: Histogram, clock: Clock):
        self._latency = latency
        self._clock = clock

    @classmethod
    def from_config(cls, metrics: Metrics, clock: Clock) -> Self:
        """Make a timer whose histogram is registered in `metrics`."""
        latency = metrics.histogram(
            "bankrudder_call_seconds",
            "Seconds from a call's arrival to its end, by pool and outcome.",
        )
        return cls(latency, clock)

    @contextmanager
    def timing(self, pool: str) -> Iterator[None]:
        """Record the duration of the block as that of one call."""
        started = self._clock.monotonic()
        outcome = ANSWERED
        try:
            yield
        except BankrudderError as error:
            outcome = error.failure.kind.value
            raise
        except (asyncio.CancelledError, GeneratorExit):
            outcome = CANCELLED
            raise
        except Exception:
            outcome = FailureKind.OUTCOME_UNKNOWN.value
            raise
        finally:
            elapsed_s = self._clock.monotonic() - started
            self._latency.observe(elapsed_s, pool=pool, outcome=outcome)
