"""Requests that crash the endpoints which run them, and endpoints that come back."""

import asyncio
import itertools
import time

from outside.endpoints import ServiceStandIn
from outside.site import SCORERS

CRASHING = b"crash"
"""Body of a request that crashes each endpoint which runs it."""

DOWN_S = 0.4
"""Time for which a crashed endpoint is away: some seconds on the platform."""


class CrashingService:
    """Endpoints of one service which crash on a request, and come back after a while.

    ``by_name`` has them come back under their names, with a later birth, as some
    endpoints do; else each start has a name of its own.
    """

    def __init__(self, site, service, endpoints, *, by_name=False):
        self.endpoints = endpoints
        self._site = site
        self._service = service
        self._by_name = by_name
        self._starts = itertools.count(1)
        self._keeper = asyncio.ensure_future(self._bring_back())
        for endpoint in endpoints:
            endpoint.crash_on.add(CRASHING)
            if by_name:
                endpoint.born = 1
                self._list(endpoint)

    async def stop(self):
        """Bring nothing back any more."""
        self._keeper.cancel()
        await asyncio.gather(self._keeper, return_exceptions=True)

    @property
    def runs(self):
        """Number of runs of the request that crashes."""
        return sum(
            body == CRASHING for each in self.endpoints for *_, body in each.arrivals
        )

    @property
    def is_whole(self):
        """Whether all endpoints are there."""
        return not any(each.has_crashed for each in self.endpoints)

    async def _bring_back(self):
        while True:
            for endpoint in self.endpoints:
                if endpoint.has_crashed:
                    await self._start_again(endpoint)
            await asyncio.sleep(0.02)

    async def _start_again(self, endpoint):
        await asyncio.sleep(DOWN_S)
        if self._by_name:
            await endpoint.come_back(born=time.time_ns() // 1_000_000)
        else:
            self._site.rows.remove("servers", endpoint.id)
            await endpoint.come_back(f"{self._service}-again-{next(self._starts)}")
        self._list(endpoint)

    def _list(self, endpoint):
        self._site.rows.put("servers", endpoint.id, endpoint.document(self._service))


async def three_scorers(site):
    """Return three scorers of a site, which has two."""
    third = await ServiceStandIn("scorer-2").start()
    site.scorers.append(third)
    site.rows.put("servers", third.id, third.document(SCORERS))
    return site.scorers
