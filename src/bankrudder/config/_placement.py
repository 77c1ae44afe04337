"""Check of the data centres in which a request may be processed."""

from collections.abc import Callable, Collection, Mapping

from bankrudder.exceptions import NotRunError
from bankrudder.failures import FailureReason
from bankrudder.presence import Heartbeat
from bankrudder.world import DataCentreName, HostId

MAX_ADDRESSES = 8
"""Largest number of host addresses in a refusal with the reason WRONG_PLACE."""


class PlacementGuard:
    """Refuses requests whose data may not be processed in this host's data centre.

    Parameters
    ----------
    heartbeats : callable
        Returns the newest heartbeat of each host.
    """

    def __init__(
        self,
        data_centre: DataCentreName,
        heartbeats: Callable[[], Mapping[HostId, Heartbeat]],
    ):
        self._data_centre = data_centre
        self._heartbeats = heartbeats

    def check(self, allowed: Collection[DataCentreName]) -> None:
        """Refuse a request that may not be processed in this data centre.

        Raises
        ------
        NotRunError
            With the reason WRONG_PLACE and addresses of hosts in allowed data centres.
        """
        if self._data_centre in allowed:
            return
        addresses = sorted(
            heartbeat.rpc_address
            for heartbeat in self._heartbeats().values()
            if heartbeat.data_centre in allowed
            and heartbeat.rpc_address
            and not heartbeat.is_leaving
        )
        raise NotRunError(
            FailureReason.WRONG_PLACE,
            f"the data may not be processed in {self._data_centre}",
            allowed_addresses=tuple(addresses[:MAX_ADDRESSES]),
        )
