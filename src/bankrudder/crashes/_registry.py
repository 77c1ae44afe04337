"""The registry of strikes that a host knows, its own and those of other hosts."""

from collections.abc import Iterable, Iterator

from bankrudder.crashes._admission import decide_admission, is_outdated
from bankrudder.crashes._content import ContentId
from bankrudder.crashes._crash_log import CrashLog
from bankrudder.crashes._values import (
    FREE,
    AdmissionDecision,
    RefusalPolicy,
    Strike,
    UnixTime,
)
from bankrudder.fleet import EndpointRun

MAX_CONTENTS = 1000
"""Number of contents that are kept, the latest ones; they take 0.4 MB. A crash adds the
contents in progress at one endpoint, most of which are soon answered elsewhere."""

MAX_RUNS = 12
"""Number of strikes that are kept for one content. A content with this many strikes is
sent only a few times a day."""


class StrikeRegistry:
    """A bounded collection of strikes by content, which evicts the oldest."""

    def __init__(self) -> None:
        self._strikes: dict[ContentId, dict[EndpointRun, Strike]] = {}
        self._crash_log = CrashLog()

    def __len__(self) -> int:
        return len(self._strikes)

    def __contains__(self, content: ContentId) -> bool:
        return content in self._strikes

    def has(self, content: ContentId, run: EndpointRun) -> bool:
        """Whether a strike of the content for this run is present."""
        return run in self._strikes.get(content, {})

    def decision(
        self,
        content: ContentId,
        now: UnixTime,
        doubts: Iterable[Strike] = (),
        policy: RefusalPolicy = RefusalPolicy.LASTING,
    ) -> AdmissionDecision:
        """Return whether a request with this content may be sent now."""
        if content not in self._strikes:
            return FREE
        return decide_admission(
            content, self._strikes, now, doubts, self._crash_log.crashes, policy
        )

    def strikes(self, content: ContentId) -> Iterator[Strike]:
        """Yield the strikes of a content."""
        yield from self._strikes.get(content, {}).values()

    def add(self, strike: Strike) -> list[Strike]:
        """Add a strike; return the strikes that were evicted for it."""
        # Reinsertion keeps the contents in order of their latest strike.
        runs = self._strikes.pop(strike.content, {})
        self._strikes[strike.content] = runs
        # Several requests with the content may have been in progress at this run: the
        # first strike is kept.
        runs.setdefault(strike.run, strike)
        self._crash_log.note(strike)
        evicted = []
        if len(runs) > MAX_RUNS:
            oldest = min(runs, key=lambda run: runs[run].lost_at)
            evicted.append(runs.pop(oldest))
        if len(self._strikes) > MAX_CONTENTS:
            evicted += self.clear(next(iter(self._strikes)))
        return evicted

    def remove(self, content: ContentId, run: EndpointRun) -> bool:
        """Remove a strike; return whether it was present."""
        runs = self._strikes.get(content, {})
        was_present = runs.pop(run, None) is not None
        if was_present and not runs:
            del self._strikes[content]
        return was_present

    def withdraw(self, content: ContentId, run: EndpointRun) -> bool:
        """Remove a strike whose endpoint is alive; return whether it was present."""
        self._crash_log.withdraw(run)
        return self.remove(content, run)

    def clear(self, content: ContentId) -> list[Strike]:
        """Remove all strikes of a content and return them."""
        strikes = list(self.strikes(content))
        self._strikes.pop(content, None)
        return strikes

    def all(self) -> Iterator[Strike]:
        """Yield all strikes; the registry may be changed meanwhile."""
        for content in list(self._strikes):
            yield from list(self.strikes(content))

    def clear_outdated(self, now: UnixTime) -> list[Strike]:
        """Remove the strikes of contents past their retention and return them."""
        old = [key for key, runs in self._strikes.items() if is_outdated(runs, now)]
        return [strike for content in old for strike in self.clear(content)]

    def decisions(self, now: UnixTime) -> Iterable[AdmissionDecision]:
        """Return the decision on each content, as for requests of callers."""
        return (self.decision(content, now) for content in self._strikes)
