"""Choice of the engine for a waiting sample, among the engines with a free slot.

Load pattern: a step asks for a hundred samples at once. There are several times as many
engines as these samples fill, and an engine is hardly slower with seven samples than
with one. A host that sends each sample to the emptiest engine spreads its steps over
all engines and opens a connection for nearly every sample. Each connection costs a
round trip, briefly a slot of the engine, and one of the connections that the engine
accepts from all hosts.

Policy: faster engines go first. Among engines of about the same speed, one with an idle
connection from this host goes first, unless this host's samples occupy at least half
more of its slots than of the other engine's.
"""

import msgspec

CACHED_PROMPT_FACTOR = 1.2
"""How many times slower an engine may be and still be preferred because it has already
processed the group's prompt."""

PACE_STEPS = 10
"""Steps into which the usual time between events is divided. Engines within the same
step count as equally fast: the load of an engine makes less of a difference than a
tenth of the usual time."""

FULL_ENGINE_COST = 3.0
"""Pace steps by which a full engine is rated behind an empty one."""

NEW_CONNECTION_COST = FULL_ENGINE_COST / 2
"""Pace steps by which an engine without an idle connection from this host is rated
behind one that has it: as much as for half of its slots being taken. Requests to plain
services use the same rule."""


class EngineView(msgspec.Struct, frozen=True):
    """What a host knows of an engine that has a free slot for a sample.

    Attributes
    ----------
    pace : float
        Time between events on the engine, as a multiple of the usual time.
    occupied_share : float
        Share of the engine's slots that samples of this host take, from 0 to 1.
    has_cached_prompt : bool
        Whether the engine has already processed the prompt of the sample's group.
    is_connected : bool
        Whether this host has an open, idle connection to the engine.
    is_trusted : bool
        Whether the engine has responded since it last failed.
    runs_suspect_sample : bool
        Whether the engine runs a sample that was running on engines when they crashed,
        and so may crash as well.
    """

    pace: float
    occupied_share: float
    has_cached_prompt: bool
    is_connected: bool
    is_trusted: bool
    runs_suspect_sample: bool


PlacementOrder = tuple[bool, bool, float, float]


def placement_order(engine: EngineView) -> PlacementOrder:
    """Return the sort key of an engine: the engine with the smallest key goes first."""
    pace = (
        engine.pace / CACHED_PROMPT_FACTOR if engine.has_cached_prompt else engine.pace
    )
    rating = round(PACE_STEPS * pace) + FULL_ENGINE_COST * engine.occupied_share
    if not engine.is_connected:
        rating += NEW_CONNECTION_COST
    return (
        not engine.is_trusted,
        engine.runs_suspect_sample,
        rating,
        engine.occupied_share,
    )
