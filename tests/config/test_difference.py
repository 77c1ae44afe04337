"""Differences between two configurations."""

import msgspec

from bankrudder.config import difference
from bankrudder.world import Configuration, Contract, Pool, PoolKind

ONE = Pool("one", PoolKind.SERVICE)
TWO = Pool("two", PoolKind.SERVICE)


def test_changed_and_removed_entries_are_listed():
    slower = msgspec.structs.replace(ONE, contract=Contract(timeout_s=60.0))
    change = difference(Configuration(pools=(ONE, TWO)), Configuration(pools=(slower,)))
    assert change.changed.pools == (slower,)
    assert change.removed.pools == ("two",)
    assert change.changed.jobs == ()


def test_equal_configurations_do_not_differ():
    same = difference(Configuration(pools=(ONE,)), Configuration(pools=(ONE,)))
    assert (same.changed, same.removed.pools) == (Configuration(), ())
