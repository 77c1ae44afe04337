"""All strikes that a host knows of, its own and those of other hosts."""

from collections.abc import Iterable, Iterator

from bankrudder.crashes._admission import is_outdated, judge
from bankrudder.crashes._content import ContentId
from bankrudder.crashes._values import FREE, Strike, UnixTime, Verdict
from bankrudder.fleet import EndpointRun

MAX_CONTENTS = 1000
"""Contents that are kept, the latest: 0.4 MB. A crash adds those that were in progress
at one endpoint, and most of them are answered elsewhere soon."""

MAX_RUNS = 12
"""Strikes of one content that are kept: by then it is tried a few times a day."""


class CrashBook:
    """Strikes by content, bounded; decides nothing but what to forget."""

    def __init__(self) -> None:
        self._strikes: dict[ContentId, dict[EndpointRun, Strike]] = {}

    def __len__(self) -> int:
        return len(self._strikes)

    def __contains__(self, content: ContentId) -> bool:
        return content in self._strikes

    def verdict(self, content: ContentId, now: UnixTime) -> Verdict:
        """Return whether a request of this content may be sent now."""
        if content not in self._strikes:
            return FREE
        return judge(content, self._strikes, now)

    def strikes(self, content: ContentId) -> Iterator[Strike]:
        """Yield the strikes of a content."""
        yield from self._strikes.get(content, {}).values()

    def add(self, strike: Strike) -> list[Strike]:
        """Take a strike; return those that were forgotten for it."""
        # The latest content stands last.
        runs = self._strikes.pop(strike.content, {})
        self._strikes[strike.content] = runs
        # Several requests may have been there: the first one tells of the run.
        runs.setdefault(strike.run, strike)
        forgotten = []
        if len(runs) > MAX_RUNS:
            oldest = min(runs, key=lambda run: runs[run].at)
            forgotten.append(runs.pop(oldest))
        if len(self._strikes) > MAX_CONTENTS:
            forgotten += self.clear(next(iter(self._strikes)))
        return forgotten

    def remove(self, content: ContentId, run: EndpointRun) -> bool:
        """Forget one strike; return whether it was there."""
        runs = self._strikes.get(content, {})
        was_there = runs.pop(run, None) is not None
        if was_there and not runs:
            del self._strikes[content]
        return was_there

    def clear(self, content: ContentId) -> list[Strike]:
        """Forget all strikes of a content, and return them."""
        strikes = list(self.strikes(content))
        self._strikes.pop(content, None)
        return strikes

    def clear_outdated(self, now: UnixTime) -> list[Strike]:
        """Forget what is too old, and return it."""
        old = [key for key, runs in self._strikes.items() if is_outdated(runs, now)]
        return [strike for content in old for strike in self.clear(content)]

    def verdicts(self, now: UnixTime) -> Iterable[Verdict]:
        """Return the verdict on each content."""
        return (judge(content, self._strikes, now) for content in self._strikes)
