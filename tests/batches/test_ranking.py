"""Which samples get slots first."""

from bankrudder.batches import Batch, Sample
from bankrudder.batches._carried import REMEMBERED_BATCHES, CarriedSamples
from bankrudder.batches._ranking import sample_ranks


def batch(groups, target, name="b"):
    """Return a batch of groups given by the estimated lengths of their samples."""
    samples = tuple(
        Sample(f"{group}{number}", "/", (), b"", group, hint)
        for group, hints in groups.items()
        for number, hint in enumerate(hints)
    )
    return Batch(name, "r", "h", "m", 1, target, samples)


def order_of(batch, carried=()):
    ranks = sample_ranks(batch, set(carried), 1.0)
    return sorted(ranks, key=ranks.get)


def test_the_longest_group_goes_first_and_stays_together():
    found = order_of(batch({"a": [5, 9], "b": [20, 1], "c": [7, 7]}, target=3))
    assert found == ["b0", "b1", "a1", "a0", "c0", "c1"]


def test_the_longest_groups_that_are_not_waited_for_go_last():
    found = order_of(batch({"a": [5], "b": [20], "c": [7], "d": [30]}, target=2))
    assert found == ["c0", "a0", "d0", "b0"]


def test_a_group_that_was_begun_before_goes_first_however_long():
    groups = {"a": [5], "b": [20], "c": [7]}
    assert order_of(batch(groups, target=2), ["b0"]) == ["b0", "c0", "a0"]


def test_with_a_group_that_was_begun_before_no_other_is_put_off():
    groups = {"a": [5], "b": [20], "c": [7]}
    assert order_of(batch(groups, target=2), ["a0"]) == ["a0", "b0", "c0"]


def test_an_older_batch_goes_before_a_newer_one():
    one = batch({"a": [5]}, target=1)
    assert sample_ranks(one, (), 1.0)["a0"] < sample_ranks(one, (), 2.0)["a0"]


def test_without_a_target_no_group_is_put_off():
    found = order_of(batch({"a": [5], "b": [20]}, target=0))
    assert found == ["b0", "a0"]


def test_samples_of_earlier_batches_are_known_again():
    carried = CarriedSamples()
    first = batch({"a": [1], "b": [1]}, target=1, name="one")
    assert carried.note(first) == frozenset()
    assert carried.note(first) == frozenset()  # begun once more, after a takeover
    again = batch({"b": [1], "c": [1]}, target=1, name="two")
    assert carried.note(again) == {"b0"}
    for number in range(REMEMBERED_BATCHES):
        carried.note(batch({"x": [1]}, target=1, name=f"later-{number}"))
    assert carried.note(batch({"a": [1]}, target=1, name="last")) == frozenset()
