"""The difference between two configurations."""

import msgspec

from bankrudder.world import Configuration

SECTIONS = Configuration.__struct_fields__


class Removed(msgspec.Struct, frozen=True, omit_defaults=True):
    """Names of the entries that are missing from the newer configuration."""

    data_centres: tuple[str, ...] = ()
    data_classes: tuple[str, ...] = ()
    caller_classes: tuple[str, ...] = ()
    callers: tuple[str, ...] = ()
    pools: tuple[str, ...] = ()
    jobs: tuple[str, ...] = ()
    workspaces: tuple[str, ...] = ()


class ConfigurationDifference(msgspec.Struct, frozen=True):
    """The entries by which two configurations differ.

    Attributes
    ----------
    changed : Configuration
        Complete entries that are new or differ.
    removed : Removed
        Names of entries that were removed.
    """

    changed: Configuration
    removed: Removed


def difference(old: Configuration, new: Configuration) -> ConfigurationDifference:
    """Return the entries that change if `new` replaces `old`."""
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
