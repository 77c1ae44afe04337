"""A clock that advances only when a test advances it."""

START_WALL_S = 1_700_000_000.0


class ManualClock:
    """A `bankrudder.world.Clock` that a test advances, in seconds."""

    def __init__(self, wall=START_WALL_S, monotonic=0.0):
        self._wall = wall
        self._monotonic = monotonic

    def monotonic(self):
        return self._monotonic

    def wall(self):
        return self._wall

    def advance(self, seconds):
        self._monotonic += seconds
        self._wall += seconds
