"""Requests that crash the endpoints running them, and endpoints that restart."""

import asyncio
import itertools
import time

from outside.endpoints import ServiceStandIn
from outside.site import SCORERS

CRASHING = b"crash"
"""Body of a request that crashes every endpoint that runs it."""

DOWNTIME_S = 0.4
"""Time from a crash to the endpoint's restart; on the platform it is some seconds."""


class CrashingService:
    """Endpoints of one service that crash on a request and restart after a delay.

    With ``keeps_names`` a restarted endpoint keeps its name and has a later start time,
    as some endpoints of the platform do; otherwise it gets a new name.

    Attributes
    ----------
    crashed_counts : list of int
        Number of endpoints that were down right after each crash.
    """

    def __init__(self, site, service, endpoints, *, keeps_names=False):
        self.endpoints = endpoints
        self._site = site
        self._service = service
        self._keeps_names = keeps_names
        self._restart_numbers = itertools.count(1)
        self.crashed_counts = []
        self._restart_task = asyncio.ensure_future(self._restart_crashed())
        for endpoint in endpoints:
            endpoint.crash_on.add(CRASHING)
            endpoint.on_crash.append(self._count_crashed)
            if keeps_names:
                endpoint.born = 1
                self._add_to_list(endpoint)

    async def stop(self):
        """Stop restarting crashed endpoints."""
        self._restart_task.cancel()
        await asyncio.gather(self._restart_task, return_exceptions=True)

    @property
    def runs(self):
        """Number of times that the crashing request was run."""
        return sum(
            body == CRASHING for each in self.endpoints for *_, body in each.arrivals
        )

    @property
    def run_times(self):
        """Times at which the crashing request reached an endpoint, in order."""
        return sorted(
            arrived_at
            for each in self.endpoints
            for (arrived_at, _), (*_, body) in zip(
                each.arrival_times, each.arrivals, strict=True
            )
            if body == CRASHING
        )

    @property
    def all_are_running(self):
        """Whether all endpoints are running."""
        return not any(each.has_crashed for each in self.endpoints)

    def _count_crashed(self):
        self.crashed_counts.append(sum(each.has_crashed for each in self.endpoints))

    async def _restart_crashed(self):
        while True:
            for endpoint in self.endpoints:
                if endpoint.has_crashed:
                    await self._restart(endpoint)
            await asyncio.sleep(0.02)

    async def _restart(self, endpoint):
        await asyncio.sleep(DOWNTIME_S)
        if self._keeps_names:
            await endpoint.restart_after_crash(born=time.time_ns() // 1_000_000)
        else:
            self._site.rows.remove("servers", endpoint.id)
            await endpoint.restart_after_crash(
                f"{self._service}-again-{next(self._restart_numbers)}"
            )
        self._add_to_list(endpoint)

    def _add_to_list(self, endpoint):
        self._site.rows.put("servers", endpoint.id, endpoint.document(self._service))


async def add_third_scorer(site):
    """Add a third scorer to a site's two, and return all three."""
    third = await ServiceStandIn("scorer-2").start()
    site.scorers.append(third)
    site.rows.put("servers", third.id, third.document(SCORERS))
    return site.scorers
