"""Whether a request may be sent, by the endpoints that ended under it.

Pattern: a request crashes each endpoint that begins to run it. Callers repeat it, every
host takes the repeat for a new request, and so it ends all endpoints of a service, and
again once they are back. All other requests that were in progress at these endpoints
are lost too, and look the same. On stand-ins one request ended 18 endpoints in six
visits to a service of three; with this it ends three, once.

Answer: runs of endpoints that ended under a content are counted over all attempts and
hosts, one after the other: ends whose sends overlapped count once, since a common cause
may end many endpoints that work on a popular request. Once `LIMIT` ended, the content
is refused for `SURE_PAUSE_S`, then tried at one endpoint at a time; each further end
doubles the pause. From one end less on it goes to no endpoint that works on another
suspect, so that the next end tells them apart.

Who only was beside it must not pay. An answer clears a content; an error does not, as
it may come before what crashes. An end is not counted where another content explains
it, one that was there too and under which more endpoints ended. Where two contents were
at the very same ends, nothing tells them apart but a try: both wait for
`UNSURE_PAUSES_S` only; the next end or answer decides.
"""

from collections.abc import Iterable, Mapping

from bankrudder.crashes._content import ContentId
from bankrudder.crashes._values import FREE, Admission, Strike, UnixTime, Verdict
from bankrudder.fleet import EndpointRun

LIMIT = 3
"""Endpoints that may end under a content. One is lost by chance every day in a large
fleet, two in a row in a bad minute; a small service has no more than these."""

ALONE_FROM = LIMIT - 1
"""Ends from which a content is at one endpoint at a time: a second send beside the
first could end two more."""

SURE_PAUSE_S = 600.0
"""Time for which a content is refused that nothing else explains: each try may cost an
endpoint some seconds, so that one in ten minutes takes under a hundredth of it."""

MOST_PAUSE_S = 6 * 3600.0
"""Longest time between two tries."""

UNSURE_PAUSES_S = (0.0, 3.0, 60.0)
"""The same where another content was at the very same ends, after each such end
from the limit on. The first try is free: who only was beside it comes again at once,
and must be served. The second one waits until crashed endpoints are back."""

KEEP_FEW_S = 6 * 3600.0
KEEP_S = 24 * 3600.0
"""How long strikes are kept after the last one, below and from the limit on."""

Strikes = Mapping[ContentId, Mapping[EndpointRun, Strike]]


def judge(content: ContentId, strikes: Strikes, now: UnixTime) -> Verdict:
    """Return whether a request of this content may be sent now."""
    own = strikes.get(content)
    if not own:
        return FREE
    counted = _unexplained(content, strikes)
    if len(counted) < ALONE_FROM:
        return Verdict(Admission.FREE, len(counted))
    count = _in_succession(own[run] for run in counted)
    if count < LIMIT:
        return Verdict(Admission.ALONE, count)
    last = max(own[run].at for run in counted)
    pause_s = _pause_s(count - LIMIT, _is_sure(content, counted, strikes))
    # A clock that was set back must not make the pause longer than it is.
    left_s = min(last + pause_s - now, pause_s)
    if left_s <= 0:
        return Verdict(Admission.ALONE, count)
    return Verdict(Admission.REFUSED, count, left_s)


def is_outdated(runs: Mapping[EndpointRun, Strike], now: UnixTime) -> bool:
    """Whether the strikes of a content are too old to be kept."""
    keep_s = KEEP_S if len(runs) >= LIMIT else KEEP_FEW_S
    return now - max(strike.at for strike in runs.values()) > keep_s


def _in_succession(strikes: Iterable[Strike]) -> int:
    """Return the most ends of which each came under a send after the one before."""
    count = 0
    last: UnixTime | None = None
    for strike in sorted(strikes, key=lambda each: each.at):
        if last is None or strike.began >= last:
            count += 1
            last = strike.at
    return count


def _unexplained(content: ContentId, strikes: Strikes) -> frozenset[EndpointRun]:
    """Return the ends for which there is no worse content that was there too."""
    own = strikes[content]
    left = set(own)
    for other, runs in strikes.items():
        if other != content and len(runs) >= LIMIT and len(runs) > len(own):
            left -= runs.keys()
    return frozenset(left)


def _is_sure(
    content: ContentId, counted: frozenset[EndpointRun], strikes: Strikes
) -> bool:
    """Whether no other content was at all of these ends."""
    return not any(
        other != content and counted <= runs.keys() for other, runs in strikes.items()
    )


def _pause_s(tries: int, is_sure: bool) -> float:
    if not is_sure and tries < len(UNSURE_PAUSES_S):
        return UNSURE_PAUSES_S[tries]
    return min(SURE_PAUSE_S * 2.0**tries, MOST_PAUSE_S)
