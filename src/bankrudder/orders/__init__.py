"""Orders to engines."""

from bankrudder.orders._announcing import LOADED_TABLE, LoadAnnouncer
from bankrudder.orders._switching import VersionSwitcher

__all__ = ["LOADED_TABLE", "LoadAnnouncer", "VersionSwitcher"]
