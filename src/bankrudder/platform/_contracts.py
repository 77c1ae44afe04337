"""Settings that the parts of the platform's contract call for."""

import msgspec

from bankrudder.node import NodeSettings, OverloadSettings

PRESSURE = "pressure"
"""Part of the contract under which callers send more than endpoints can serve, and
callers and endpoints read slowly."""


def complete_settings(settings: NodeSettings) -> NodeSettings:
    """Return settings with those that the contract calls for and that are not given."""
    if settings.overload is None and PRESSURE in settings.contracts:
        return msgspec.structs.replace(settings, overload=OverloadSettings())
    return settings
