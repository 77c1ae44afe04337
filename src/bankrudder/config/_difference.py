"""The difference between two configurations."""

import msgspec

from bankrudder.world import Configuration

SECTIONS = Configuration.__struct_fields__


class Removed(msgspec.Struct, frozen=True, omit_defaults=True):
    """Names of the entries that a newer configuration no longer has."""

    data_centres: tuple[str, ...] = ()
    data_classes: tuple[str, ...] = ()
    caller_classes: tuple[str, ...] = ()
    callers: tuple[str, ...] = ()
    pools: tuple[str, ...] = ()
    jobs: tuple[str, ...] = ()
    workspaces: tuple[str, ...] = ()


class ConfigurationDifference(msgspec.Struct, frozen=True):
    """What turns one configuration into another, entry by entry.

    Attributes
    ----------
    changed : Configuration
        Entries that are new or differ, whole.
    removed : Removed
        Names of entries that are gone.
    """

    changed: Configuration
    removed: Removed


def difference(old: Configuration, new: Configuration) -> ConfigurationDifference:
    """Return what an operator would change by replacing `old` by `new`."""
    changed = {}
    removed = {}
    for section in SECTIONS:
        before = {entry.name: entry for entry in getattr(old, section)}
        after = {entry.name: entry for entry in getattr(new, section)}
        changed[section] = tuple(
            entry for name, entry in after.items() if before.get(name) != entry
        )
        removed[section] = tuple(sorted(before.keys() - after.keys()))
    return ConfigurationDifference(Configuration(**changed), Removed(**removed))
