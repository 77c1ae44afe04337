"""Orders to engines."""

from bankrudder.orders._switching import VersionSwitcher

__all__ = ["VersionSwitcher"]
