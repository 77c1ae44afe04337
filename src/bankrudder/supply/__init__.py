"""Ordering of endpoints from the platform, for services that operators let scale."""

from bankrudder.supply._scaling import SUPPLY_PAUSE_S, EngineScaler

__all__ = ["SUPPLY_PAUSE_S", "EngineScaler"]
