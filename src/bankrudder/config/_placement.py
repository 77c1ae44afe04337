"""Which hosts may touch which data."""

from collections.abc import Callable, Collection, Mapping

from bankrudder.exceptions import NotRunError
from bankrudder.failures import FailureReason
from bankrudder.presence import Heartbeat
from bankrudder.world import DataCentreName, HostId

MAX_ADDRESSES = 8
"""Hosts that a caller is told of at most when it asked in the wrong place."""


class PlacementGuard:
    """Keeps requests away from hosts where their data may not be.

    Parameters
    ----------
    heartbeats : callable
        The newest heartbeat of each host.
    """

    def __init__(
        self,
        data_centre: DataCentreName,
        heartbeats: Callable[[], Mapping[HostId, Heartbeat]],
    ):
        self._data_centre = data_centre
        self._heartbeats = heartbeats

    def check(self, allowed: Collection[DataCentreName]) -> None:
        """Refuse what may not be processed on this host.

        Raises
        ------
        NotRunError
            ``WRONG_PLACE``, with addresses of hosts that may.
        """
        if self._data_centre in allowed:
            return
        addresses = sorted(
            beat.rpc_address
            for beat in self._heartbeats().values()
            if beat.data_centre in allowed and beat.rpc_address and not beat.is_leaving
        )
        raise NotRunError(
            FailureReason.WRONG_PLACE,
            f"the data may not be processed in {self._data_centre}",
            allowed_addresses=tuple(addresses[:MAX_ADDRESSES]),
        )
