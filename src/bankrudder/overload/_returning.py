"""When a caller first sent a request, as far as its deadline tells.

A refused caller tries again at another host, which has not seen its first attempt. The
answer has its full value only within the target from the first attempt. In overload,
hosts that took returning callers for new ones would spend half of the slots on answers
that are late already.

Callers of one workspace and route mostly begin with the same time left. A request that
arrives with clearly less is taken for one that returns. The usual time is that of the
workspace once it is known, so that a workspace whose callers have less time than others
is not put behind for good.
"""

import msgspec

from bankrudder.overload._recent_times import RecentTimes
from bankrudder.routing import RouteName
from bankrudder.world import WorkspaceName

USUAL_SHARE = 0.9
"""Quantile of the times left that is taken as that of a first attempt, as long as at
least one request in ten is one."""

RETURNING_SHARE = 0.9
"""Share of the usual time left below which a request is taken for one that returns:
just above the precision of the quantile."""

MIN_OF_WORKSPACE = 8.0
"""Number of requests from which on the usual time of a workspace is known: in overload
every second request may be one that returns."""

MIN_OF_ROUTE = 10.0
"""Number of requests from which on the usual time of a route is known."""

MAX_WORKSPACES = 1000
"""Number of workspaces and routes for which times are kept."""


class _Callers(msgspec.Struct, frozen=True):
    route: RouteName
    workspace: WorkspaceName


class FirstSends:
    """Tells when the callers of this host first sent their requests."""

    def __init__(self) -> None:
        self._by_route: dict[RouteName, RecentTimes] = {}
        self._by_workspace: dict[_Callers, RecentTimes] = {}

    def first_sent_at(
        self, route: RouteName, workspace: WorkspaceName, deadline: float, now: float
    ) -> float:
        """Record a request that arrives now; return when it was first sent."""
        left_s = deadline - now
        of_route = self._by_route.setdefault(route, RecentTimes())
        of_workspace = self._of_workspace(_Callers(route, workspace))
        of_route.note(left_s)
        of_workspace.note(left_s)
        usual_s = None
        if of_workspace.weight >= MIN_OF_WORKSPACE:
            usual_s = of_workspace.quantile_s(USUAL_SHARE)
        elif of_route.weight >= MIN_OF_ROUTE:
            usual_s = of_route.quantile_s(USUAL_SHARE)
        if usual_s is None or left_s >= RETURNING_SHARE * usual_s:
            return now
        return deadline - usual_s

    def _of_workspace(self, callers: _Callers) -> RecentTimes:
        if len(self._by_workspace) >= MAX_WORKSPACES:
            self._by_workspace.clear()
        return self._by_workspace.setdefault(callers, RecentTimes())
