"""Which samples may take the slots of an engine that are reserved."""

from hypothesis import given
from hypothesis import strategies as st

from bankrudder.batches._reservations import Reservations
from bankrudder.fleet import Endpoint, TrackedEndpoint
from manual_clock import ManualClock

SLOT_COUNT = 12


@given(
    savings_s=st.lists(st.sampled_from([0.3, 0.4, 0.5]), min_size=1, max_size=6),
    begun_count=st.integers(0, 6),
    free_count=st.integers(0, SLOT_COUNT),
)
def test_as_many_samples_may_take_a_reserved_slot_as_are_free(
    savings_s, begun_count, free_count
):
    clock = ManualClock()
    engine = TrackedEndpoint(Endpoint("e", "s", "a:1", "north", SLOT_COUNT))
    reservations = Reservations(clock)
    samples = [f"x{number}" for number in range(len(savings_s))]
    for sample, saving_s in zip(samples, savings_s, strict=True):
        reservations.reserve_next(engine, sample, 1.0, saving_s)
    # A sample begins to move only to a slot that it may take.
    begun = samples[: min(begun_count, free_count)]
    for sample in begun:
        reservations.reserve_destination(engine.run, sample)
    takers = [
        sample
        for sample in samples
        if reservations.count_for_others(engine, sample) < free_count
    ]
    assert len(takers) == min(free_count, len(samples))
    assert set(begun) <= set(takers)
    assert reservations.count_for_others(engine, "other") == len(samples)
