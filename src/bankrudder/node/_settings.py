"""Settings of a daemon on the platform: one JSON document."""

from pathlib import Path

import msgspec

from bankrudder.exceptions import InvalidError
from bankrudder.failures import FailureReason
from bankrudder.world import Address, DataCentreName, HostId


class StoreSettings(msgspec.Struct, frozen=True):
    """The platform's store.

    Attributes
    ----------
    row_bytes : int
        Largest value of a row.
    """

    address: Address
    row_bytes: int = 65536


class NodeSettings(msgspec.Struct, frozen=True):
    """All settings of one daemon; ``_ms`` and ``_s`` give the unit of times.

    Attributes
    ----------
    callers_address, readiness_address : Address
        Listeners for callers and for the platform's balancer.
    processor_share, processor_speed : float
        Share of a core, and how many times as fast as the usual one it is.
    metrics_address : Address or None
        Listener for metrics and health; None for none.
    status_retention_s : float
        Time for which results can be read after the end of a batch.
    lease_ms : float
        Length of a lease on a duty.
    grace_s : float
        Time between the request to stop and the end by force.
    """

    host: HostId
    data_centre: DataCentreName
    callers_address: Address
    readiness_address: Address
    store: StoreSettings
    processor_share: float = 1.0
    processor_speed: float = 1.0
    metrics_address: Address | None = None
    status_retention_s: float = 120.0
    lease_ms: float = 3000.0
    grace_s: float = 8.0


def load_settings(path: Path) -> NodeSettings:
    """Read and check settings.

    Raises
    ------
    InvalidError
        If the file cannot be read, or a field is missing or wrong.
    """
    try:
        body = path.read_bytes()
    except OSError as error:
        raise InvalidError(
            FailureReason.CONFIGURATION_WRONG, str(error), field=str(path)
        ) from None
    try:
        settings = msgspec.json.decode(body, type=NodeSettings)
    except msgspec.DecodeError as error:
        raise InvalidError(
            FailureReason.CONFIGURATION_WRONG, str(error), field="settings"
        ) from None
    _check(settings)
    return settings


def _check(settings: NodeSettings) -> None:
    addresses = {
        "callers_address": settings.callers_address,
        "readiness_address": settings.readiness_address,
        "store.address": settings.store.address,
    }
    if settings.metrics_address is not None:
        addresses["metrics_address"] = settings.metrics_address
    for field, address in addresses.items():
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            _fail(field, address)
    positive = {
        "store.row_bytes": settings.store.row_bytes,
        "processor_share": settings.processor_share,
        "processor_speed": settings.processor_speed,
        "status_retention_s": settings.status_retention_s,
        "lease_ms": settings.lease_ms,
        "grace_s": settings.grace_s,
    }
    for field, value in positive.items():
        if value <= 0:
            _fail(field, value)
    if not settings.host:
        _fail("host", settings.host)


def _fail(field: str, value: object) -> None:
    raise InvalidError(
        FailureReason.CONFIGURATION_WRONG, f"not valid: {value!r}", field=field
    )
