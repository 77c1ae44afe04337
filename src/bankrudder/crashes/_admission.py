"""The decision whether a request may be sent, by the endpoints that crashed during it.

A request may crash each endpoint that begins to run it. Callers repeat the request and
every host treats the repetition as a new request, so the request crashes all endpoints
of a service, and crashes them again after they restart. All other requests that were in
progress at these endpoints fail too and look the same. With simulated endpoints, one
request that was made six times to a service of three endpoints caused 18 crashes; with
this policy it causes three.

A strike is recorded against a request content for each run of an endpoint that crashed
while processing it. Strikes are counted over all attempts and hosts, but crashes whose
attempts overlapped count once, since a common cause may crash many endpoints that work
on a popular request. The overlapping attempts of one hedged request count each:
otherwise a request that is hedged to three endpoints crashes five. After `CRASH_LIMIT`
crashes the content is refused for `BASE_PAUSE_S` and then sent to one endpoint at a
time. Each further crash doubles the pause. From `ALONE_THRESHOLD` crashes on, the
content is a suspect: it is not sent to an endpoint that works on another suspect, so
that the next crash distinguishes them.

The other requests that were in progress at crashed endpoints must not be refused. An
answer clears a content; a server error does not, because it may precede the crash. A
crash is not counted if another content explains it: one that was in progress there too
and has more strikes, at least `CRASH_LIMIT`. Two contents with the very same crashes
can only be distinguished by another attempt, so both are refused only for the shorter
`AMBIGUOUS_PAUSES_S`, and the next crash or answer decides.

A long request may be in progress at several of the endpoints that crash in a series
which it did not cause. If the crashes came at different points of its work, those of
the series without it are subtracted from those with it. If it also got well past the
first of them, or if most crashes of the series were without it, it is allowed one crash
more, the last one after `SERIES_PAUSE_S`.

A lost request whose endpoint may have restarted before it was probed is a doubtful
strike for `RESTART_DETECTION_S`, within which the restart is learned. Doubtful strikes
alone limit nothing, because lost answers are usually not crashes. They count in
addition to at least one certain strike: the content is then at one endpoint at a time,
or is refused until the doubt is resolved, if `CRASH_LIMIT` would be reached.

Samples and reward calls of accepted batches are owed: nobody else repeats them, and no
number of crashes proves that they caused any. `RefusalPolicy.BRIEF` therefore ends each
refusal after `MAX_BRIEF_PAUSE_S` at the latest. The content is then sent to one
endpoint at a time, so that one that does crash endpoints crashes one in each pause.
"""

from collections.abc import Collection, Iterable, Mapping

from bankrudder.crashes._attribution import (
    MIN_PROGRESS_EVENTS,
    StrikesByContent,
    crashed_at_varying_points,
    has_progressed,
    is_amid_series,
    progress,
    unrelated_crash_count,
)
from bankrudder.crashes._content import ContentId
from bankrudder.crashes._evidence import RESTART_DETECTION_S
from bankrudder.crashes._values import (
    FREE,
    Admission,
    AdmissionDecision,
    Crash,
    RefusalPolicy,
    Strike,
    UnixTime,
)
from bankrudder.fleet import EndpointRun

CRASH_LIMIT = 3
"""Number of crashes after which a content is refused. In a large fleet one endpoint
fails by chance every day, and occasionally two fail within a minute, so two crashes are
not enough evidence. A small service has no more than three endpoints, so a higher limit
would not protect it."""

SERIES_PAUSE_S = 3.0
"""Refusal period before the additional attempt of a content whose crashes may be by
chance. A series of crashes may end meanwhile, and restarted endpoints are listed again.
"""

ALONE_THRESHOLD = CRASH_LIMIT - 1
"""Number of crashes from which a content is sent to one endpoint at a time, because two
concurrent attempts could crash two more endpoints."""

BASE_PAUSE_S = 600.0
"""First refusal period of a content whose crashes no other content explains. Each
attempt may cost an endpoint a few seconds, so an attempt every ten minutes takes less
than a hundredth of its time."""

MAX_PAUSE_S = 6 * 3600.0
"""Longest refusal period, the time between two attempts."""

AMBIGUOUS_PAUSES_S = (0.0, 3.0, 60.0)
"""First refusal periods of a content if another content has the very same crashes, one
period for each crash from the limit on. The first is zero, because a request that
merely ran at the same time is repeated at once and must be served. The second lasts
until crashed endpoints have restarted."""

BRIEF_PAUSE_S = 2.0
"""First refusal period of owed work, in which most endpoints restart. Each further
crash lengthens it by half, up to `MAX_BRIEF_PAUSE_S`."""

MAX_BRIEF_PAUSE_S = 3.0
"""Longest refusal period of owed work. It is far below the twelve seconds of a step,
and leaves time to wait for an endpoint within the five seconds for which a sample may
be on no engine while there is room."""

MAX_CLOCK_LEAD_S = 0.5
"""Time by which the clock of the host that recorded a strike may be ahead of this
host's. Strikes from further ahead refuse no owed work, since it would be refused until
this host's clock has caught up."""

RETENTION_BELOW_LIMIT_S = 6 * 3600.0
"""Time after its last strike for which the strikes of a content are kept if there are
fewer than `CRASH_LIMIT`."""

RETENTION_S = 24 * 3600.0
"""Time after its last strike for which the strikes of a content are kept if there are
`CRASH_LIMIT` or more."""

NO_CRASHES: Mapping[EndpointRun, Crash] = {}


def decide_admission(
    content: ContentId,
    strikes: StrikesByContent,
    now: UnixTime,
    doubts: Iterable[Strike] = (),
    crashes: Mapping[EndpointRun, Crash] = NO_CRASHES,
    policy: RefusalPolicy = RefusalPolicy.LASTING,
) -> AdmissionDecision:
    """Return whether a request with this content may be sent now.

    Parameters
    ----------
    strikes : mapping
        The certain strikes of all contents.
    doubts : iterable of Strike
        The doubtful strikes of this content.
    crashes : mapping
        The recent crashes that are known, by run.
    policy : RefusalPolicy
        For how long the content may be refused.
    """
    if not strikes.get(content):
        return FREE
    recent = [each for each in doubts if doubt_left_s(each, now) > 0]
    decision = _decide(content, strikes, now, recent, crashes)
    if decision.admission is Admission.REFUSED and policy is RefusalPolicy.BRIEF:
        return _shortened(decision, [*strikes[content].values(), *recent], now)
    return decision


def doubt_left_s(strike: Strike, now: UnixTime) -> float:
    """Return the time for which a doubtful strike still counts, negative if none."""
    # A clock that is set back must not extend the time.
    return min(strike.lost_at + RESTART_DETECTION_S - now, RESTART_DETECTION_S)


def _shortened(
    refusal: AdmissionDecision, strikes: Iterable[Strike], now: UnixTime
) -> AdmissionDecision:
    """Return the decision on owed work that is otherwise refused for longer."""
    excess_count = max(refusal.strikes - CRASH_LIMIT, 0)
    pause_s = min(BRIEF_PAUSE_S * 1.5**excess_count, MAX_BRIEF_PAUSE_S)
    ages_s = [now - each.lost_at for each in strikes]
    known_s = [age_s for age_s in ages_s if age_s >= -MAX_CLOCK_LEAD_S]
    left_s = pause_s - max(min(known_s, default=pause_s), 0.0)
    left_s = min(left_s, refusal.retry_after_s)
    if left_s <= 0:
        return AdmissionDecision(Admission.ALONE, refusal.strikes)
    return AdmissionDecision(Admission.REFUSED, refusal.strikes, left_s)


def _decide(
    content: ContentId,
    strikes: StrikesByContent,
    now: UnixTime,
    recent: Collection[Strike],
    crashes: Mapping[EndpointRun, Crash],
) -> AdmissionDecision:
    """Decide without regard to whether the work is owed; ``recent`` are doubts."""
    certain = _decide_by_certain(content, strikes, now, crashes)
    if not recent or not certain.strikes or certain.admission is Admission.REFUSED:
        return certain
    unrelated = unrelated_crash_count(content, strikes, crashes, CRASH_LIMIT)
    limit = _limit(strikes[content], unrelated)
    count = _crash_count(content, strikes, unrelated, recent)
    if count < limit - 1:
        return certain
    if count < limit:
        return AdmissionDecision(Admission.ALONE, count)
    left_s = max(doubt_left_s(each, now) for each in recent)
    return AdmissionDecision(Admission.REFUSED, count, left_s)


def _decide_by_certain(
    content: ContentId,
    strikes: StrikesByContent,
    now: UnixTime,
    crashes: Mapping[EndpointRun, Crash],
) -> AdmissionDecision:
    own_strikes = strikes[content]
    counted = _unexplained_runs(content, strikes)
    if len(counted) < ALONE_THRESHOLD:
        return AdmissionDecision(Admission.FREE, len(counted))
    unrelated = unrelated_crash_count(content, strikes, crashes, CRASH_LIMIT)
    count = _crash_count(content, strikes, unrelated)
    limit = _limit(own_strikes, unrelated)
    if count < limit - 1 and crashed_at_varying_points(own_strikes.values()):
        return AdmissionDecision(Admission.FREE, count)
    pause_s = 0.0
    if count >= limit:
        is_unambiguous = _is_unambiguous(content, counted, strikes)
        pause_s = _pause_s(count - limit, is_unambiguous)
    elif count == CRASH_LIMIT:
        pause_s = SERIES_PAUSE_S
    last = max(own_strikes[run].lost_at for run in counted)
    # A clock that is set back must not extend the refusal period.
    left_s = min(last + pause_s - now, pause_s)
    if left_s <= 0:
        return AdmissionDecision(Admission.ALONE, count)
    return AdmissionDecision(Admission.REFUSED, count, left_s)


def _limit(own_strikes: Mapping[EndpointRun, Strike], unrelated_count: int) -> int:
    """Return the number of crashes after which a content is refused."""
    strikes = own_strikes.values()
    is_excused = has_progressed(strikes) or is_amid_series(strikes, unrelated_count)
    return CRASH_LIMIT + is_excused


def _crash_count(
    content: ContentId,
    strikes: StrikesByContent,
    unrelated_count: int,
    doubts: Iterable[Strike] = (),
) -> int:
    """Count the crashes that are attributed to a content, with its doubtful strikes."""
    own_strikes = strikes[content]
    counted = [own_strikes[run] for run in _unexplained_runs(content, strikes)]
    count = _sequential_count([*counted, *doubts])
    if crashed_at_varying_points(own_strikes.values()):
        count -= unrelated_count
    return max(count, 0)


def is_outdated(runs: Mapping[EndpointRun, Strike], now: UnixTime) -> bool:
    """Whether the strikes of a content are too old to be kept."""
    keep_s = RETENTION_S if len(runs) >= CRASH_LIMIT else RETENTION_BELOW_LIMIT_S
    return now - max(strike.lost_at for strike in runs.values()) > keep_s


def _sequential_count(strikes: Iterable[Strike]) -> int:
    """Count the crashes of which none has a cause in common with another one.

    These are crashes whose attempt was sent after the previously counted crash, or
    belongs to the same hedged request as a counted one.
    """
    count = 0
    last: UnixTime | None = None
    hedged_requests: set[str] = set()
    for strike in sorted(strikes, key=lambda each: each.lost_at):
        is_later = last is None or strike.sent_at >= last
        if is_later or strike.request in hedged_requests:
            count += 1
            last = strike.lost_at
            if strike.request:
                hedged_requests.add(strike.request)
    return count


def _unexplained_runs(
    content: ContentId, strikes: StrikesByContent
) -> frozenset[EndpointRun]:
    """Return the runs whose crash no other content explains.

    A content explains the crashes that it shares with `content` if it has more strikes
    than `content`, and at least `CRASH_LIMIT`. A content whose crashes came at varying
    points explains only those of other such contents.
    """
    own_strikes = strikes[content]
    is_varying = crashed_at_varying_points(own_strikes.values())
    left = set(own_strikes)
    for other, runs in strikes.items():
        if (
            other != content
            and len(runs) >= CRASH_LIMIT
            and len(runs) > len(own_strikes)
            and is_varying >= crashed_at_varying_points(runs.values())
        ):
            left -= runs.keys()
    return frozenset(left)


def _is_unambiguous(
    content: ContentId, counted: frozenset[EndpointRun], strikes: StrikesByContent
) -> bool:
    """Whether no other content has strikes for all of the counted runs.

    Another content does not count if it made more progress, which makes it less likely
    to be the cause, unless `content` itself got well past the first crash.
    """
    own_progress = progress(strikes[content].values())
    has_progressed_itself = own_progress >= MIN_PROGRESS_EVENTS
    return not any(
        other != content
        and counted <= runs.keys()
        and (has_progressed_itself or progress(runs.values()) <= own_progress)
        for other, runs in strikes.items()
    )


def _pause_s(excess_crash_count: int, is_unambiguous: bool) -> float:
    if not is_unambiguous and excess_crash_count < len(AMBIGUOUS_PAUSES_S):
        return AMBIGUOUS_PAUSES_S[excess_crash_count]
    return min(BASE_PAUSE_S * 2.0**excess_crash_count, MAX_PAUSE_S)
