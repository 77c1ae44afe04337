"""Ordering of endpoints from the platform, where operators let it."""

from bankrudder.supply._keeping import SUPPLY_PAUSE_S, SupplyKeeper

__all__ = ["SUPPLY_PAUSE_S", "SupplyKeeper"]
