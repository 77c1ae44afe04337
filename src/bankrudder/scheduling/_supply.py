"""Number of engines that a service needs, and their distribution over data centres.

Load pattern: several trainers ask for a step each at the same moment, and for the next
step while the last samples of the previous one are still generated. With fewer slots
than samples, the samples of one trainer wait for those of another, steps end too late,
and their trainers fall further behind with each step. So as many engines are ordered as
the samples of the latest steps fill.

In simulations where this doubled the engines, 0.935 of the value was served on days
with faults, and 0.907 without it (five days, same seeds; standard error of the
difference 0.010). It costs 0.030 of that value: half for the weights that more engines
load, a fifth for the engines, and a fifth for connections.
"""

import math
from collections.abc import Collection, Mapping
from datetime import timedelta

import msgspec

from bankrudder.routing import ModelName
from bankrudder.world import DataCentreName

SPARE_ENGINES = 2
"""Engines beyond those that the samples fill: one may be lost and one may be loading
weights."""

PEAK_PERIOD = timedelta(seconds=60)
"""Period over which the largest need counts. An engine that was released and is needed
again costs its start-up time, a load, and the processing of all cached prompts. Scaling
down between two steps, or while a trainer is late, would incur that cost repeatedly."""


class EngineOffer(msgspec.Struct, frozen=True):
    """Bounds on the number of engines in one data centre, and their price.

    Attributes
    ----------
    price : float
        Price of one engine for a second, in any unit.
    """

    least: int
    most: int
    price: float = 1.0


def engines_needed(samples: Mapping[ModelName, int], slots: int) -> int:
    """Return how many engines one step of each model at the same time needs.

    `SPARE_ENGINES` are included.

    Parameters
    ----------
    samples : mapping
        Number of samples in a step of each model.
    slots : int
        Number of samples that an engine generates at once, at least 1.

    Returns
    -------
    int
        0 if no model has samples.
    """
    filled = sum(math.ceil(count / max(slots, 1)) for count in samples.values())
    return filled + SPARE_ENGINES if filled else 0


def spread_engines(
    needed: int,
    offers: Mapping[DataCentreName, EngineOffer],
    unavailable: Collection[DataCentreName] = (),
) -> dict[DataCentreName, int]:
    """Return how many engines each data centre should have.

    Engines are spread evenly, so that the loss of a data centre takes as few as
    possible. The remainder goes to the cheapest data centres.

    Parameters
    ----------
    needed : int
        Engines in all data centres together. The bounds of the data centres take
        precedence.
    unavailable : collection of DataCentreName
        Data centres that have no engines to give at present, and so get only their
        lower bound.
    """
    counts = {name: offer.least for name, offer in offers.items()}
    available = [name for name in offers if name not in unavailable]
    for _ in range(max(needed - sum(counts.values()), 0)):
        free = [name for name in available if counts[name] < offers[name].most]
        if not free:
            break
        best = min(free, key=lambda name: (counts[name], offers[name].price, name))
        counts[best] += 1
    return counts


class PeakNeed:
    """Largest recent need, which keeps engines from being scaled with each step."""

    def __init__(self, period: timedelta = PEAK_PERIOD):
        self._period_s = period.total_seconds()
        self._needs: list[tuple[float, int]] = []

    def note(self, now: float, needed: int) -> int:
        """Record the need at a monotonic time and return the largest recent one."""
        since = now - self._period_s
        # A need that a later one reaches or exceeds can no longer be the largest.
        kept = [(at, each) for at, each in self._needs if at > since and each > needed]
        self._needs = [*kept, (now, needed)]
        return self._needs[0][1]
