"""Settings that the parts of the platform's contract call for."""

import msgspec

from bankrudder.node import NodeSettings, OverloadSettings

PRESSURE = "pressure"
"""Part of the contract under which callers send more than endpoints can serve, and
callers and endpoints read slowly."""

FILE_DESCRIPTORS = 200
"""Descriptors of a process that the platform reserves for files."""


def complete_settings(settings: NodeSettings) -> NodeSettings:
    """Return settings with those that the contract calls for and that are not given."""
    if settings.max_descriptors is not None:
        max_descriptors = max(settings.max_descriptors - FILE_DESCRIPTORS, 1)
        settings = msgspec.structs.replace(settings, max_descriptors=max_descriptors)
    if settings.overload is None and PRESSURE in settings.contracts:
        return msgspec.structs.replace(settings, overload=OverloadSettings())
    return settings
