"""Order in which samples get slots."""

from datetime import timedelta

import pytest

from bankrudder.batches import Batch, Sample
from bankrudder.batches._carried import REMEMBERED_BATCH_COUNT, CarriedSamples
from bankrudder.scheduling import TokenPace, sample_ranks


def batch(groups, target, name="b"):
    """Return a batch of groups given by the estimated lengths of their samples."""
    samples = tuple(
        Sample(f"{group}{number}", "/", (), b"", group, hint)
        for group, hints in groups.items()
        for number, hint in enumerate(hints)
    )
    return Batch(name, "r", "h", "m", 1, target, samples)


def ranks_of(batch, *terms):
    return sample_ranks(batch.samples, batch.target_groups, *terms)


def order_of(batch, carried=()):
    ranks = ranks_of(batch, set(carried), 1.0)
    return sorted(ranks, key=ranks.get)


def test_the_longest_group_goes_first_and_stays_together():
    found = order_of(batch({"a": [5, 9], "b": [20, 1], "c": [7, 7]}, target=3))
    assert found == ["b0", "b1", "a1", "a0", "c0", "c1"]


def test_the_longest_groups_beyond_the_target_go_last():
    found = order_of(batch({"a": [5], "b": [20], "c": [7], "d": [30]}, target=2))
    assert found == ["c0", "a0", "d0", "b0"]


def test_a_carried_group_goes_first_however_long():
    groups = {"a": [5], "b": [20], "c": [7]}
    assert order_of(batch(groups, target=2), ["b0"]) == ["b0", "c0", "a0"]


def test_with_a_carried_group_no_other_is_put_last():
    groups = {"a": [5], "b": [20], "c": [7]}
    assert order_of(batch(groups, target=2), ["a0"]) == ["a0", "b0", "c0"]


def test_an_older_batch_goes_before_a_newer_one():
    one = batch({"a": [5]}, target=1)
    assert ranks_of(one, (), 1.0)["a0"] < ranks_of(one, (), 2.0)["a0"]


@pytest.mark.parametrize("factor", [0.25, 1.0, 4.0])
def test_the_earliest_required_start_goes_first_across_batches(factor):
    # The batches start a second apart, at ten tokens a second: the longest group of the
    # newer batch needs seven seconds, the shorter group of the older batch two.
    token_s = 0.1 * factor
    older = batch({"a": [20], "b": [60]}, target=2, name="older")
    newer = batch({"c": [70], "d": [15]}, target=2, name="newer")
    ranks = ranks_of(older, (), 0.0, token_s)
    ranks |= ranks_of(newer, (), 1.0 * factor, token_s)
    assert sorted(ranks, key=ranks.get) == ["c0", "b0", "a0", "d0"]


def test_carried_groups_go_before_groups_of_older_batches():
    one = ranks_of(batch({"a": [50]}, target=1), (), 0.0, 0.1)
    other = ranks_of(batch({"b": [5]}, target=1), ["b0"], 9.0, 0.1)
    assert other["b0"] < one["a0"]


def test_the_token_time_is_a_moving_mean_over_samples():
    pace = TokenPace()
    assert pace.seconds == 0.0
    pace.note(100, timedelta(seconds=10))
    assert pace.seconds == pytest.approx(0.1)
    for _ in range(300):
        pace.note(100, timedelta(seconds=40))
    assert pace.seconds == pytest.approx(0.4, rel=0.02)
    pace.note(0, timedelta(seconds=9))
    assert pace.seconds == pytest.approx(0.4, rel=0.02)


def test_without_a_target_no_group_is_put_last():
    found = order_of(batch({"a": [5], "b": [20]}, target=0))
    assert found == ["b0", "a0"]


def test_samples_of_recent_batches_count_as_carried():
    carried = CarriedSamples()
    first = batch({"a": [1], "b": [1]}, target=1, name="one")
    assert carried.note(first) == frozenset()
    assert carried.note(first) == frozenset()  # started again after a takeover
    again = batch({"b": [1], "c": [1]}, target=1, name="two")
    assert carried.note(again) == {"b0"}
    for number in range(REMEMBERED_BATCH_COUNT):
        carried.note(batch({"x": [1]}, target=1, name=f"later-{number}"))
    assert carried.note(batch({"a": [1]}, target=1, name="last")) == frozenset()
