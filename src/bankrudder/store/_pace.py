"""How often a host may read, so that all hosts together stay within what is taken."""

from collections.abc import Callable

USED_SHARE = 0.6
"""Share of the store's reads that following tables may take; the rest is for reads of
results, of batches that are taken over, and for bursts."""


class ReadPace:
    """Shares the store's reads among the hosts and the tables.

    Parameters
    ----------
    hosts : callable
        Number of hosts that are known.
    reads_per_s : float
        Reads that the store takes from all hosts together, a second.
    is_relayed : callable
        Whether this host's reads are answered by another host, or few hosts read.
    """

    def __init__(
        self,
        hosts: Callable[[], int],
        reads_per_s: float,
        is_relayed: Callable[[], bool] = lambda: False,
    ):
        self._hosts = hosts
        self._reads_per_s = reads_per_s
        self._is_relayed = is_relayed

    def pause(self, share: float, least_s: float) -> Callable[[], float]:
        """Return what gives the time between two reads of a table.

        Parameters
        ----------
        share : float
            Share of all reads that the table may take.
        least_s : float
            Shortest time, in small fleets.
        """

        def seconds() -> float:
            if self._is_relayed():
                return least_s
            rate = USED_SHARE * share * self._reads_per_s
            return max(least_s, self._hosts() / rate)

        return seconds
