"""Work that merely runs while endpoints crash in a series is not held back for long.

The tests guard against a failure in which samples were refused for ten minutes, in all
batches and at every host, because three of the endpoints that crashed one after the
other had been running them. Their steps ran out of time while the endpoints were idle.
"""

import asyncio
import itertools
import json
import time

import aiohttp
import pytest

from outside.crashing import CrashingService, add_third_scorer
from outside.site import ENGINES, SCORERS, Site, batch, check_results, until
from outside.trainer_calls import submission

ENGINE_COUNT = 8
EVENT_COUNT = 120
EVENT_GAP_S = 0.02

EVENTS_PER_ATTEMPT = 12
"""Number of events after which the engine that runs the request is crashed."""

MAX_PAUSE_S = 5.0
"""Time after a series of crashes within which a sample must be on an engine again."""

SAMPLE = "b1-s0"
REWARD_CALL = "b1-r0"

STEP_LIMIT_S = 12.0
"""Time within which a sample must be complete after a series of crashes: that of a
step, of which the sample itself takes up to a fifth here."""


@pytest.fixture
async def site(tmp_path):
    """A site whose engines generate long texts and restart after crashes."""
    site = Site(tmp_path, engines=ENGINE_COUNT, events=EVENT_COUNT)
    try:
        await site.start()
        for engine in site.engines:
            engine.event_gap_s = EVENT_GAP_S
        scorers = await add_third_scorer(site)
        services = [
            CrashingService(site, ENGINES, site.engines, keeps_names=True),
            CrashingService(site, SCORERS, scorers, keeps_names=True),
        ]
        # Hosts take the first listing of a start time for a restart.
        await asyncio.sleep(1.0)
        yield site
        for service in services:
            await service.stop()
    finally:
        await site.stop()


class Attempts:
    """The attempts of a request, whose latest endpoint can be crashed."""

    def __init__(self, site, prefix):
        self._site = site
        self._prefix = prefix
        self._seen_count = 0

    @property
    def count(self):
        """Number of attempts so far."""
        return len(self._list())

    def _list(self):
        return sorted(
            (
                (arrived_at, engine)
                for engine in (*self._site.engines, *self._site.scorers)
                for arrived_at, request_id in engine.arrival_times
                if request_id.startswith(self._prefix)
            ),
            key=lambda each: each[0],
        )

    @property
    def latest_at(self):
        """Time at which the latest attempt reached its engine."""
        return self._list()[-1][0]

    async def crash_next(self, event_count=EVENTS_PER_ATTEMPT):
        """Crash the endpoint of the next attempt after it sent some events."""
        await until(lambda: len(self._list()) > self._seen_count)
        self._seen_count = len(self._list())
        await asyncio.sleep(event_count * EVENT_GAP_S)
        self._list()[-1][1].crash()

    def crash_another(self):
        """Crash an engine that runs other requests."""
        own = self._list()[-1][1]
        others = [each for each in self._site.engines if each is not own]
        next(each for each in others if each.busy and not each.has_crashed).crash()


async def test_a_sample_at_each_crash_of_a_series_runs_again_in_time(site):
    """Guards against a sample that no engine gets after three unrelated crashes."""
    assert await site.submit(site.hosts[0], "b1", samples=1, target_groups=1) == 202
    attempts = Attempts(site, SAMPLE)
    for _ in range(3):
        await attempts.crash_next()
    crashed_at = time.monotonic()
    check_results(await site.read_all("b1", 1), "b1", 1, EVENT_COUNT)
    assert attempts.latest_at - crashed_at < MAX_PAUSE_S


async def test_a_sample_is_not_refused_if_a_series_goes_on_without_it(site):
    """Guards against counting four crashes although others of the series missed it."""
    # The samples beside it let the host observe the crashes elsewhere.
    assert await site.submit(site.hosts[0], "b1", samples=12, target_groups=3) == 202
    attempts = Attempts(site, SAMPLE)
    for _ in range(4):
        await attempts.crash_next()
        attempts.crash_another()
    check_results(await site.read_all("b1", 12), "b1", 12, EVENT_COUNT)


async def check_runs_again(site, attempts, batch_id="b1"):
    """Check that a request runs soon, now that all is calm, and its batch completes."""
    calm_since = time.monotonic()
    count = attempts.count
    await until(lambda: attempts.count > count, MAX_PAUSE_S)
    assert attempts.latest_at - calm_since < MAX_PAUSE_S
    results = await site.read_all(batch_id, 1, limit_s=STEP_LIMIT_S)
    check_results(results, "b1", 1, EVENT_COUNT)


async def crash_in_series(attempts, crash_count, event_count):
    """Crash the endpoint of each of the next attempts."""
    for _ in range(crash_count):
        await attempts.crash_next(event_count)


@pytest.mark.parametrize("crash_count", [3, 5])
@pytest.mark.parametrize("event_count", [0, 2, EVENTS_PER_ATTEMPT])
async def test_a_sample_is_owed_however_many_engines_crashed_under_it(
    site, crash_count, event_count
):
    """Guards against a sound sample that is refused as one that crashes engines.

    The crashes come at one point of its work, and none without it.
    """
    assert await site.submit(site.hosts[0], "b1", samples=1, target_groups=1) == 202
    attempts = Attempts(site, SAMPLE)
    await crash_in_series(attempts, crash_count, event_count)
    await check_runs_again(site, attempts)


async def test_it_is_owed_at_the_host_that_takes_its_batch_over(site):
    """Guards against a refusal that a host derives from the strikes of another one."""
    assert await site.submit(site.hosts[0], "b1", samples=1, target_groups=1) == 202
    attempts = Attempts(site, SAMPLE)
    await crash_in_series(attempts, 3, 0)
    await until(lambda: count_strikes(site) >= 3)
    await site.hosts[0].kill()
    await check_runs_again(site, attempts)


async def test_it_is_owed_in_a_later_step_at_another_host(site):
    """Guards against a refusal of ten minutes that outlasts the step of the crashes."""
    assert await site.submit(site.hosts[0], "b1", samples=1, target_groups=1) == 202
    attempts = Attempts(site, SAMPLE)
    await crash_in_series(attempts, 3, 0)
    await until(lambda: count_strikes(site) >= 3)
    assert await site.end(site.hosts[0], "b1") == 200
    body = json.dumps(batch("b1", samples=1, target_groups=1)).encode()
    assert (await site.ask(site.hosts[1], submission("b2", body)))[0] == 202
    await check_runs_again(site, attempts, "b2")


@pytest.mark.parametrize("crash_count", [3, 5])
async def test_a_reward_call_is_owed_as_its_sample_is(site, crash_count):
    """Guards against a complete sample that is never listed, for want of its score."""
    for scorer in site.scorers:
        scorer.delay_s = 0.2
    assert await site.submit(site.hosts[0], "b1", samples=1, target_groups=1) == 202
    attempts = Attempts(site, REWARD_CALL)
    await crash_in_series(attempts, crash_count, 0)
    await check_runs_again(site, attempts)


def count_strikes(site):
    """Return the number of strikes that hosts have shared."""
    return sum(table == "crashes" for table, *_ in site.rows.rows)


@pytest.mark.parametrize("path", ["/stream/1", "/resumable/1"])
async def test_so_is_the_stream_of_a_caller(site, path):
    """Guards against refusing a caller's stream for minutes after three crashes."""
    attempts = Attempts(site, "q")
    reading = asyncio.ensure_future(read_stream(site, path))
    for number in range(1, 4):
        # Attempts from the start must also end at different points.
        await attempts.crash_next(number * EVENTS_PER_ATTEMPT)
    crashed_at = time.monotonic()
    body = await asyncio.wait_for(reading, 10.0)
    assert body.count(b"data: ") == EVENT_COUNT
    assert attempts.latest_at - crashed_at < MAX_PAUSE_S


async def read_stream(site, path):
    """Repeat a streaming request until it is answered completely; return the body."""
    for number in itertools.count():
        headers = {"X-Request-Id": f"q{number}", "X-Request-Deadline": "8000"}
        try:
            status, _, body = await site.call(
                site.hosts[0], "POST", path, body=b"long", headers=headers
            )
        except aiohttp.ClientError:
            continue
        if status == 200:
            return body
        await asyncio.sleep(0.2)
