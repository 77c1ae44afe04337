"""Orders to engines to load model versions, and the knowledge that they rely on."""

from bankrudder.orders._announcing import LOADED_TABLE, LoadAnnouncer
from bankrudder.orders._paces import PACES_PAUSE_S, EnginePaces
from bankrudder.orders._planning import LoadPlanner
from bankrudder.orders._switching import VersionSwitcher

__all__ = [
    "LOADED_TABLE",
    "PACES_PAUSE_S",
    "EnginePaces",
    "LoadAnnouncer",
    "LoadPlanner",
    "VersionSwitcher",
]
