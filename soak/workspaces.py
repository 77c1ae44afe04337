"""Workspaces of a soak run: API keys that change, and the platform's duty API."""

import asyncio
import itertools

from outside.duties import DutyStandIn

DUTY_LEASE_S = 1.0
USAGE_WINDOW_S = 1.0
REPORT_DUE_S = 4.0
"""Time after the end of a usage window by which its report is due."""

WORKSPACE = "north"
OTHER_WORKSPACE = "south"
OTHER_KEY = "soak-key-of-the-south"
OTHER_CALLER = "caller2"
"""Name of the caller in the other workspace, whose key never changes."""

CLIENT_ID_PREFIXES = ("caller", "first", "second")
"""Prefixes of the ids of requests and samples from clients with an API key."""


class SoakWorkspaces:
    """Valid and revoked API keys of the workspaces, and checks of their use."""

    def __init__(self, run):
        self._run = run
        self._key_numbers = itertools.count()
        self._keys = [self._new_key()]
        self._revoked_keys = []
        self.platform = DutyStandIn(DUTY_LEASE_S)

    def _new_key(self):
        return f"soak-key-{next(self._key_numbers)}"

    async def start(self):
        """Start the platform's duty API; return the settings of the hosts for it."""
        await self.platform.start()
        return self.platform.settings(window_s=USAGE_WINDOW_S, late_s=REPORT_DUE_S)

    def document(self):
        """Return the workspaces as a configuration lists them."""
        return [
            {"name": WORKSPACE, "api_keys": self._keys},
            {"name": OTHER_WORKSPACE, "api_keys": [OTHER_KEY]},
        ]

    @property
    def key(self):
        """The API key that clients send."""
        return self._keys[-1]

    async def replace_key(self, seconds):
        """Add a key, let clients send it, and revoke the previous ones after a time."""
        self._keys = [*self._keys, self._new_key()]
        self._run.put_configuration()
        self._run.site.key = self.key
        await asyncio.sleep(seconds / 2)
        self._revoked_keys += self._keys[:-1]
        self._keys = self._keys[-1:]
        self._run.put_configuration()

    async def find_violations(self, site):
        """Return a sentence for each violated guarantee of workspaces and duties."""
        found = [f"duty: {each}" for each in self.platform.faults]
        found += list(self._header_violations(site))
        found += await self._revoked_key_violations(site)
        if not self.platform.usage:
            found.append("usage: no window was reported")
        return found

    def _header_violations(self, site):
        for endpoint in site.engines + site.scorers:
            for request_id, headers in endpoint.headers:
                if not request_id.startswith(CLIENT_ID_PREFIXES):
                    continue
                tenants = headers.getall("X-Tenant", [])
                if tenants != _expected_tenants(request_id):
                    yield (
                        f"workspace: {endpoint.id} got tenants {tenants} "
                        f"for {request_id}"
                    )
                if "Authorization" in headers:
                    yield f"workspace: {endpoint.id} got the API key of {request_id}"

    async def _revoked_key_violations(self, site):
        found = []
        for host in site.hosts:
            for key in self._revoked_keys:
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
        """Return the lines of a table of the reported usage."""
        lines = ["window      workspace  requests"]
        for window, counts in sorted(self.platform.usage.items()):
            for name, count in sorted(counts.items()):
                lines.append(f"{window:<10}  {name:<9}  {count:8}")
        return lines


def _expected_tenants(request_id):
    """Return the ``X-Tenant`` values that endpoints must receive with a request."""
    if "-r" in request_id:
        return []  # reward calls belong to no workspace
    return [OTHER_WORKSPACE if request_id.startswith(OTHER_CALLER) else WORKSPACE]
