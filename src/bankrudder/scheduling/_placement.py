"""Which of the engines with a free slot a waiting sample goes to.

Pattern: a step asks for a hundred samples at once, the engines are several times as
many as they fill, and hardly slower with seven samples than with one. A host that gives
each sample to the emptiest engine spreads its steps over all of them and opens a
connection for nearly every run; each costs a round trip, a slot of the engine for a
moment, and a place among those that it accepts from all hosts.

Answer: a quicker engine goes first, and among those about as quick one to which
a connection is open and idle here, until it is fuller by half than the others.
"""

import msgspec

SAME_GROUP_FACTOR = 1.2
"""How much slower an engine may be and still be taken because it has read the
group's prompt."""

SPEED_STEPS = 10
"""Steps of the time from event to event within which engines count as equally quick:
a tenth of the usual time, as the load of an engine makes less of a difference."""

FULL_COST = 3.0
"""Steps of speed by which a full engine is rated behind an empty one."""

NEW_CONNECTION_COST = FULL_COST / 2
"""Steps of speed by which an engine is rated behind those to which a connection is idle
here: as one half of whose slots are taken, as for requests to plain services."""


class EngineView(msgspec.Struct, frozen=True):
    """What a host knows of an engine that has a slot for a sample.

    Attributes
    ----------
    pace : float
        Its time from event to event, as a multiple of the usual one.
    occupied : float
        Share of its slots that samples of this host take, from 0 to 1.
    is_home : bool
        Whether it has read the prompt of the sample's group.
    is_connected : bool
        Whether a connection to it is open and idle here.
    is_trusted : bool
        Whether it has shown signs of life since it last failed.
    has_suspects : bool
        Whether it runs a sample under which engines ended; it may be the next.
    """

    pace: float
    occupied: float
    is_home: bool
    is_connected: bool
    is_trusted: bool
    has_suspects: bool


PlacementOrder = tuple[bool, bool, float, float]


def placement_order(engine: EngineView) -> PlacementOrder:
    """Return the sort key of an engine: the one with the least goes first."""
    pace = engine.pace / SAME_GROUP_FACTOR if engine.is_home else engine.pace
    rating = round(SPEED_STEPS * pace) + FULL_COST * engine.occupied
    if not engine.is_connected:
        rating += NEW_CONNECTION_COST
    return (not engine.is_trusted, engine.has_suspects, rating, engine.occupied)
