"""Work that merely runs while endpoints crash in a series is not held back for long.

The tests guard against a failure in which samples were refused for ten minutes, in all
batches and at every host, because three of the endpoints that crashed one after the
other had been running them. Their steps ran out of time while the endpoints were idle.
"""

import asyncio
import itertools
import time

import aiohttp
import pytest

from outside.crashing import CrashingService
from outside.site import ENGINES, Site, check_results, until

ENGINE_COUNT = 8
EVENT_COUNT = 120
EVENT_GAP_S = 0.02

EVENTS_PER_ATTEMPT = 12
"""Number of events after which the engine that runs the request is crashed."""

MAX_PAUSE_S = 5.0
"""Time after a series of crashes within which a sample must be on an engine again."""

SAMPLE = "b1-s0"


@pytest.fixture
async def site(tmp_path):
    """A site whose engines generate long texts and restart after crashes."""
    site = Site(tmp_path, engines=ENGINE_COUNT, events=EVENT_COUNT)
    try:
        await site.start()
        for engine in site.engines:
            engine.event_gap_s = EVENT_GAP_S
        service = CrashingService(site, ENGINES, site.engines, keeps_names=True)
        # Hosts take the first listing of a start time for a restart.
        await asyncio.sleep(1.0)
        yield site
        await service.stop()
    finally:
        await site.stop()


class Attempts:
    """The attempts of a request, whose latest engine can be crashed."""

    def __init__(self, site, prefix):
        self._site = site
        self._prefix = prefix
        self._seen_count = 0

    def _list(self):
        return sorted(
            (
                (arrived_at, engine)
                for engine in self._site.engines
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
        """Crash the engine of the next attempt after it sent some events."""
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
