"""Settings for all tests: the daemon's event loop, time limits and seeded examples."""

import asyncio
import functools
import inspect

import aiohttp
import hypothesis
import pytest
import uvloop

from manual_clock import ManualClock

hypothesis.settings.register_profile(
    "seeded", derandomize=True, deadline=None, print_blob=True
)
hypothesis.settings.load_profile("seeded")

CANCEL_SHARE = 0.75
"""Share of a test's time limit after which the test is cancelled and fails."""


def pytest_asyncio_loop_factories(config, item):
    return {"uvloop": uvloop.new_event_loop}


@pytest.fixture
def manual_clock():
    return ManualClock()


@pytest.fixture
async def session():
    """Return an HTTP session on the test's own event loop."""
    async with aiohttp.ClientSession() as session:
        yield session


def pytest_collection_modifyitems(config, items):
    default_s = float(config.getini("timeout"))
    for item in items:
        test = getattr(item, "obj", None)
        if inspect.iscoroutinefunction(test) and not hasattr(test, "hypothesis"):
            marker = item.get_closest_marker("timeout")
            limit_s = marker.args[0] if marker and marker.args else default_s
            item.obj = _with_timeout(test, CANCEL_SHARE * limit_s)


def _with_timeout(test, limit_s):
    # A signal does not interrupt uvloop, and the thread method of pytest-timeout ends
    # the whole run; this timeout fails only the hanging test.
    @functools.wraps(test)
    async def run_with_timeout(*args, **kwargs):
        async with asyncio.timeout(limit_s):
            return await test(*args, **kwargs)

    return run_with_timeout
