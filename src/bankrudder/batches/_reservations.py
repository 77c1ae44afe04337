"""Slots of engines that are kept free for running samples that would gain by moving.

Without reservations, waiting samples would take each released slot, and samples that
are likely to run for long would stay on slow engines.
"""

from dataclasses import dataclass

from bankrudder.fleet import EndpointRun, TrackedEndpoint
from bankrudder.world import Clock, SampleId

RESERVATION_EVENT_COUNT = 8
"""Duration of a reservation for a running sample that would gain by moving, in events
of its present engine. However slow that engine is, two move checks of the sample fall
into this time, so that it finds the reserved slot."""

MAX_RESERVED_SHARE = 0.5
"""Largest share of an engine's slots that may be reserved; waiting samples get the
others."""

MOVE_RESERVATION_S = 1.0
"""Duration of the reservation of a slot to which a sample has begun to move. The sample
asks for it at once, unless it is held back after crashes of engines."""


@dataclass(frozen=True)
class _Reservation:
    """A slot that is kept for a sample; ``has_begun`` once the sample moves to it."""

    run: EndpointRun
    until: float
    saving_s: float
    has_begun: bool = False

    @property
    def priority(self) -> tuple[bool, float]:
        """Of two reservations, the one with the higher priority goes first."""
        return self.has_begun, self.saving_s


class Reservations:
    """The slots that are reserved for this host's running samples, one for each."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._held: dict[SampleId, _Reservation] = {}

    def __contains__(self, sample: SampleId) -> bool:
        return sample in self._held

    def samples(self) -> list[SampleId]:
        """Return the samples with reservations."""
        return list(self._held)

    def count_for_others(self, engine: TrackedEndpoint, sample: SampleId) -> int:
        """Return the slots of an engine that are reserved for other samples.

        Among samples with reservations there, only those count that go first. If each
        counted for the others, none could take the first slot that becomes free.
        """
        if not self._held:
            return 0
        now = self._clock.monotonic()
        own = self._held.get(sample)
        if own is not None and (own.run != engine.run or now >= own.until):
            own = None
        return sum(
            held.run == engine.run
            and now < held.until
            and other != sample
            and (own is None or _goes_first(other, held, sample, own))
            for other, held in self._held.items()
        )

    def destination(self, sample: SampleId) -> EndpointRun | None:
        """Return the engine to which a sample has begun to move, None if it has not."""
        held = self._held.get(sample)
        return held.run if held is not None and held.has_begun else None

    def reserve_next(
        self,
        engine: TrackedEndpoint,
        sample: SampleId,
        event_gap_s: float,
        saving_s: float = 0.0,
    ) -> None:
        """Reserve the next slot of a full engine for a sample.

        If as many are reserved as may be, the sample that saves least gives way. With
        an estimated saving, a reservation that the sample has there is renewed.

        Parameters
        ----------
        event_gap_s : float
            Time between two events on the sample's present engine.
        """
        now = self._clock.monotonic()
        self._held = {
            other: held for other, held in self._held.items() if now < held.until
        }
        there = [
            (held.saving_s, other)
            for other, held in self._held.items()
            if held.run == engine.run and not (saving_s and other == sample)
        ]
        if len(there) >= MAX_RESERVED_SHARE * engine.endpoint.slots:
            least_saving_s, least = min(there)
            if self._held[least].has_begun or least_saving_s >= saving_s:
                return
            del self._held[least]
        until = now + RESERVATION_EVENT_COUNT * event_gap_s
        self._held[sample] = _Reservation(engine.run, until, saving_s)

    def reserve_destination(self, run: EndpointRun, sample: SampleId) -> None:
        """Reserve a free slot for a sample that begins to move to it."""
        until = self._clock.monotonic() + MOVE_RESERVATION_S
        self._held[sample] = _Reservation(run, until, 0.0, has_begun=True)

    def release(self, sample: SampleId) -> None:
        """End the reservation for a sample, if there is one."""
        self._held.pop(sample, None)

    def release_planned(self, sample: SampleId) -> None:
        """End the reservation for a planned move of a sample, if there is one.

        Reservations without an estimated saving end by themselves.
        """
        held = self._held.get(sample)
        if held is not None and (held.has_begun or held.saving_s):
            del self._held[sample]


def _goes_first(
    other: SampleId, held: _Reservation, sample: SampleId, own: _Reservation
) -> bool:
    """Whether a slot is kept for another sample that has a reservation there as well.

    It is if no order is known, as without an estimated saving.
    """
    if held.priority != own.priority:
        return held.priority > own.priority
    return not own.saving_s or other < sample
