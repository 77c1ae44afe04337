"""Limits how often a host reads, so that all hosts stay within the store's capacity."""

from collections.abc import Callable

PACED_READ_SHARE = 0.6
"""Share of the store's read capacity for reads that `ReadPace` limits, such as those
that follow tables. The rest is left for reads of results, for reads of batches that are
taken over from another host, and for bursts."""


class ReadPace:
    """Divides the store's read capacity among the hosts and the tables.

    Parameters
    ----------
    host_count : callable
        Number of known hosts.
    reads_per_s : float
        Reads per second that the store accepts from all hosts together.
    is_relayed : callable
        Whether one host of each data centre reads for the others, so that few hosts
        read the store.
    """

    def __init__(
        self,
        host_count: Callable[[], int],
        reads_per_s: float,
        is_relayed: Callable[[], bool] = lambda: False,
    ):
        self._host_count = host_count
        self._reads_per_s = reads_per_s
        self._is_relayed = is_relayed

    def pause(self, share: float, min_pause_s: float) -> Callable[[], float]:
        """Return a callable that gives the pause between two reads of a table.

        Parameters
        ----------
        share : float
            Share of the paced reads that the table may take.
        min_pause_s : float
            Shortest pause, which applies in small fleets.
        """

        def pause_s() -> float:
            if self._is_relayed():
                return min_pause_s
            rate = PACED_READ_SHARE * share * self._reads_per_s
            return max(min_pause_s, self._host_count() / rate)

        return pause_s
