"""Adapter to the platform: translates its protocols to and from the project's types.

Only this package uses the platform's paths, header names and field names.
"""

from bankrudder.platform._adapter import PlatformAdapter, main

__all__ = ["PlatformAdapter", "main"]
