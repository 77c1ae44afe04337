import contextlib

import pytest

from outside.crowds import MODES, SMALLEST_MB, Crowd, Meter, is_served
from outside.site import Site


@pytest.fixture(params=MODES)
def settings(request):
    return {"memory_mb": SMALLEST_MB, **MODES[request.param]}


@pytest.fixture
def check_survival():
    """Check that a host runs, answers, and stayed within its memory."""

    async def check(site, host, meter, memory_mb=SMALLEST_MB):
        assert await is_served(site, host)
        assert host.is_running
        assert meter.peak_bytes < memory_mb << 20

    return check


@pytest.fixture
async def start_site(tmp_path):
    """Start a site of one host with settings, which is stopped after the test."""
    async with contextlib.AsyncExitStack() as stack:

        async def start(settings, **options):
            site = Site(tmp_path, hosts=1, settings=settings, **options)
            stack.push_async_callback(site.stop)
            await site.start()
            return site, site.hosts[0]

        yield start


@pytest.fixture
async def gather_crowd():
    """Return crowds that leave, and meters that stop, after the test."""
    with contextlib.ExitStack() as stack:

        def gather(address):
            crowd = Crowd(address)
            stack.callback(crowd.leave)
            return crowd

        yield gather


@pytest.fixture
async def measure():
    """Return meters of daemons, which stop after the test."""
    with contextlib.ExitStack() as stack:

        def start(host):
            meter = Meter(host)
            stack.callback(meter.stop)
            return meter

        yield start
