"""The adapter to the platform: its protocols, in the project's types."""

from bankrudder.platform._adapter import PlatformAdapter, main

__all__ = ["PlatformAdapter", "main"]
