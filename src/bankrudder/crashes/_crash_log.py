"""The recent crashes of endpoints, independent of the requests in progress there."""

from collections.abc import Mapping

from bankrudder.crashes._values import Crash, Strike
from bankrudder.fleet import EndpointRun

MAX_CRASHES = 500
"""Maximum number of crashes that are kept; the oldest are evicted."""


class CrashLog:
    """A bounded collection of the crashes that were learned from strikes.

    A crash outlasts its strikes, which are removed when their requests are answered.
    """

    def __init__(self) -> None:
        self._crashes: dict[EndpointRun, Crash] = {}

    @property
    def crashes(self) -> Mapping[EndpointRun, Crash]:
        """The crashes by run."""
        return self._crashes

    def note(self, strike: Strike) -> None:
        """Record the crash to which a strike belongs."""
        self._crashes.setdefault(strike.run, Crash(strike.service, strike.lost_at))
        if len(self._crashes) > MAX_CRASHES:
            del self._crashes[next(iter(self._crashes))]

    def withdraw(self, run: EndpointRun) -> None:
        """Remove the crash of a run that was found to be alive."""
        self._crashes.pop(run, None)
