"""Workspaces of a soak: one key that clients show, and the platform's duties."""

import asyncio
import itertools

from outside.duties import DutyStandIn

LEASE_S = 1.0
WINDOW_S = 1.0
LATE_S = 4.0
WORKSPACE = "north"
OTHER_WORKSPACE = "south"
OTHER_KEY = "soak-key-of-the-south"
OTHER_CALLER = "caller2"
"""The caller of the other workspace, whose key stays."""

CLIENTS = ("caller", "first", "second")
"""How the names of requests and samples of clients with a key begin."""


class SoakWorkspaces:
    """The keys in force and those that were taken away, and what is seen of both."""

    def __init__(self, run):
        self._run = run
        self._numbers = itertools.count()
        self._keys = [self._mint()]
        self._former = []
        self.platform = DutyStandIn(LEASE_S)

    def _mint(self):
        return f"soak-key-{next(self._numbers)}"

    async def start(self):
        """Start the platform's interface; return the settings of hosts for it."""
        await self.platform.start()
        return self.platform.settings(window_s=WINDOW_S, late_s=LATE_S)

    def document(self):
        """Return what a configuration says of workspaces."""
        return [
            {"name": WORKSPACE, "api_keys": self._keys},
            {"name": OTHER_WORKSPACE, "api_keys": [OTHER_KEY]},
        ]

    @property
    def key(self):
        """The key that clients show."""
        return self._keys[-1]

    async def replace_key(self, seconds):
        """Add a key, let clients show it, and take the former ones away."""
        self._keys = [*self._keys, self._mint()]
        self._run.put_configuration()
        self._run.site.key = self.key
        await asyncio.sleep(seconds / 2)
        self._former += self._keys[:-1]
        self._keys = self._keys[-1:]
        self._run.put_configuration()

    async def broken(self, site):
        """Return the promises of workspaces and duties that were broken."""
        found = [f"duty: {each}" for each in self.platform.faults]
        found += list(self._told_wrongly(site))
        found += await self._let_in(site)
        if not self.platform.usage:
            found.append("usage: no window was reported")
        return found

    def _told_wrongly(self, site):
        for endpoint in site.engines + site.scorers:
            for request_id, headers in endpoint.headers:
                if not request_id.startswith(CLIENTS):
                    continue
                told = headers.getall("X-Tenant", [])
                if told != _expected(request_id):
                    yield f"workspace: {endpoint.id} was told {told} of {request_id}"
                if "Authorization" in headers:
                    yield f"workspace: {endpoint.id} got the key of {request_id}"

    async def _let_in(self, site):
        found = []
        for host in site.hosts:
            for key in self._former:
                status, _, _ = await site.call(
                    host,
                    "POST",
                    "/once/x",
                    headers={
                        "X-Request-Id": f"late-{host.name}-{key}",
                        "Authorization": f"Bearer {key}",
                    },
                )
                if status != 401:
                    found.append(f"workspace: {host.name} answered {status} to {key}")
        return found

    def usage_lines(self):
        """Return a table of what was reported, for a person."""
        lines = ["window      workspace  requests"]
        for window, counts in sorted(self.platform.usage.items()):
            for name, count in sorted(counts.items()):
                lines.append(f"{window:<10}  {name:<9}  {count:8}")
        return lines


def _expected(request_id):
    """Return what endpoints must be told of whose request it is."""
    if "-r" in request_id:
        return []  # reward calls are nobody's
    return [OTHER_WORKSPACE if request_id.startswith(OTHER_CALLER) else WORKSPACE]
