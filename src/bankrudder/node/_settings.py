"""Settings of a daemon: one JSON document, which is validated as a whole.

Settings are what a process needs before it can read the store. Everything else is
configuration, which operators apply.
"""

import re
from collections.abc import Iterator
from pathlib import Path

import msgspec

from bankrudder.config import decode_document, json_excerpt
from bankrudder.exceptions import InvalidError
from bankrudder.failures import FailureReason
from bankrudder.logs import LogLevel
from bankrudder.observe import NoTraceExport, OtlpTraceExport, TraceExport
from bankrudder.tls import TlsSettings
from bankrudder.world import (
    Address,
    DataCentreName,
    HostId,
    RpcLimits,
    address_error,
)

_SHA256 = re.compile(r"[0-9a-f]{64}")


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the sections of the settings; unknown fields are errors."""


class StoreSettings(_Section, frozen=True):
    """Connection to the platform's store, and its limits.

    Attributes
    ----------
    row_bytes : int
        Largest size of a row's value.
    reads_per_s : float
        Reads per second that the store accepts from all hosts together.
    """

    address: Address
    row_bytes: int = 65536
    reads_per_s: float = 2000.0


class FeedSettings(_Section, frozen=True):
    """Feed through which one host of each data centre reads the store for the others.

    Attributes
    ----------
    address : Address
        Where this host serves its subscribers while it is the reader.
    min_hosts : int
        Smallest number of hosts with which the feed is used. The store can serve the
        reads of fewer hosts, and each of them saves the twelve megabytes of memory that
        the feed's library takes.
    """

    address: Address
    min_hosts: int = 100


class UsageSettings(_Section, frozen=True):
    """Reports to the platform of the usage of each workspace.

    Attributes
    ----------
    window_s : float
        Duration of the window that one report covers.
    late_s : float
        Time after the end of a window by which its report is due.
    """

    window_s: float
    late_s: float


class DutySettings(_Section, frozen=True):
    """The platform's API for duties, which one host at a time carries out.

    Attributes
    ----------
    calls_per_s : float
        Calls per second that the API accepts from all hosts together.
    usage : UsageSettings or None
        None if the platform expects no reports.
    orders_endpoints : bool
        Whether the API accepts orders of endpoints.
    """

    address: Address
    calls_per_s: float = 10.0
    usage: UsageSettings | None = None
    orders_endpoints: bool = False


class OverloadSettings(_Section, frozen=True):
    """Decisions for times in which endpoints cannot serve all of the work in time.

    Attributes
    ----------
    limits_requests : bool
        Whether requests that cannot be answered in time are rejected at once, requests
        wait for a slot by priority and by workspace, and repeats have a budget.
    plans_steps : bool
        Whether the samples of steps are ordered by whether their groups can be complete
        when they are due.
    """

    limits_requests: bool = True
    plans_steps: bool = True


class RpcSettings(_Section, frozen=True):
    """The gRPC interface for callers, trainers and operators.

    Attributes
    ----------
    operator_token_sha256 : str
        Hexadecimal SHA-256 of a token that always has the operator role, so that the
        first configuration can be applied; empty for none.
    tls : TlsSettings or None
        Certificate and key of this node; None listens without TLS.
    """

    address: Address
    operator_token_sha256: str = ""
    tls: TlsSettings | None = None
    limits: RpcLimits = RpcLimits()


class NodeSettings(_Section, frozen=True):
    """All settings of one daemon; ``_ms`` and ``_s`` in names are units of time.

    Attributes
    ----------
    callers_address, readiness_address : Address
        Listeners for callers and for the load balancer's readiness checks.
    processor_share, processor_speed : float
        Share of a processor core, and the speed of that core relative to the usual
        one.
    metrics_address : Address or None
        Listener for metrics, health checks and spans; None for none.
    status_retention_s : float
        Time after the end of a batch for which its results can be read.
    lease_ms : float
        Duration of a lease on a duty.
    grace_s : float
        Time from the request to stop until the process is killed.
    feeds : FeedSettings or None
        Feed of the store's changes; None lets this host read the store for itself.
    log_level : LogLevel
        Lowest level of the log lines that are written.
    rpc : RpcSettings or None
        The gRPC interface; None for none.
    duties : DutySettings or None
        The platform's API for duties; None if it has none.
    memory_mb : float or None
        Memory above which the process is killed, in megabytes; None if unknown, which
        is taken for 512.
    max_descriptors : int or None
        Largest number of descriptors that the process may have open; None for the limit
        of the operating system, which also holds if it is lower.
    overload : OverloadSettings or None
        Decisions for scarce capacity; None for none of them.
    contracts : tuple of str
        Parts of the platform's contract that are in force, by the platform's names.
        They call for settings that are not given here.
    traces : TraceExport
        Where finished spans are exported to, besides the copy in memory.
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
    feeds: FeedSettings | None = None
    log_level: LogLevel = LogLevel.INFO
    rpc: RpcSettings | None = None
    duties: DutySettings | None = None
    memory_mb: float | None = None
    max_descriptors: int | None = None
    overload: OverloadSettings | None = None
    contracts: tuple[str, ...] = ()
    traces: TraceExport = NoTraceExport()


class _InvalidValue(msgspec.Struct, frozen=True):
    """A field with an invalid value, and the rule that the value breaks."""

    field: str
    value: object
    problem: str


def load_settings(path: Path) -> NodeSettings:
    """Read and validate settings.

    Raises
    ------
    InvalidError
        If the file cannot be read, or a field is invalid. The error names the first
        invalid field, its value and the rule.
    """
    try:
        body = path.read_bytes()
    except OSError as error:
        raise InvalidError(
            FailureReason.CONFIGURATION_WRONG,
            f"cannot read {path}: {error.strerror}",
            field=str(path),
        ) from None
    return parse_settings(body)


def parse_settings(body: bytes) -> NodeSettings:
    """Decode and validate settings; raises as `load_settings` does."""
    settings = decode_document(body, NodeSettings)
    invalid = next(_invalid_values(settings), None)
    if invalid is not None:
        raise InvalidError(
            FailureReason.CONFIGURATION_WRONG,
            f"{invalid.field} is {json_excerpt(invalid.value)}: {invalid.problem}",
            field=invalid.field,
        )
    return settings


def _invalid_values(settings: NodeSettings) -> Iterator[_InvalidValue]:
    for field in ("host", "data_centre"):
        if not getattr(settings, field).strip():
            yield _InvalidValue(field, getattr(settings, field), "must not be empty")
    yield from _invalid_addresses(settings)
    yield from _non_positive_values(settings)
    if settings.rpc is not None:
        yield from _invalid_token_digest(settings.rpc)


def _invalid_addresses(settings: NodeSettings) -> Iterator[_InvalidValue]:
    seen: set[Address] = set()
    for field, address in _listeners(settings):
        problem = address_error(address)
        if address in seen:
            problem = "each listener must have its own address"
        if problem:
            yield _InvalidValue(field, address, problem)
        seen.add(address)
    others = [("store.address", settings.store.address)]
    if settings.duties is not None:
        others.append(("duties.address", settings.duties.address))
    match settings.traces:
        case OtlpTraceExport(address):
            others.append(("traces.address", address))
    for field, address in others:
        if problem := address_error(address):
            yield _InvalidValue(field, address, problem)


def _listeners(settings: NodeSettings) -> Iterator[tuple[str, Address]]:
    yield "callers_address", settings.callers_address
    yield "readiness_address", settings.readiness_address
    if settings.metrics_address is not None:
        yield "metrics_address", settings.metrics_address
    if settings.feeds is not None:
        yield "feeds.address", settings.feeds.address
    if settings.rpc is not None:
        yield "rpc.address", settings.rpc.address


def _non_positive_values(settings: NodeSettings) -> Iterator[_InvalidValue]:
    values = {
        "store.row_bytes": settings.store.row_bytes,
        "store.reads_per_s": settings.store.reads_per_s,
        "processor_share": settings.processor_share,
        "processor_speed": settings.processor_speed,
        "status_retention_s": settings.status_retention_s,
        "lease_ms": settings.lease_ms,
        "grace_s": settings.grace_s,
    }
    if settings.memory_mb is not None:
        values["memory_mb"] = settings.memory_mb
    if settings.max_descriptors is not None:
        values["max_descriptors"] = settings.max_descriptors
    if settings.feeds is not None:
        values["feeds.min_hosts"] = settings.feeds.min_hosts
    if settings.duties is not None:
        values["duties.calls_per_s"] = settings.duties.calls_per_s
        if settings.duties.usage is not None:
            usage = msgspec.structs.asdict(settings.duties.usage)
            values |= {f"duties.usage.{name}": each for name, each in usage.items()}
    if settings.rpc is not None:
        limits = msgspec.structs.asdict(settings.rpc.limits)
        values |= {f"rpc.limits.{name}": value for name, value in limits.items()}
    for field, value in values.items():
        if value <= 0:
            yield _InvalidValue(field, value, "must be greater than 0")


def _invalid_token_digest(rpc: RpcSettings) -> Iterator[_InvalidValue]:
    digest = rpc.operator_token_sha256
    if digest and not _SHA256.fullmatch(digest):
        yield _InvalidValue(
            "rpc.operator_token_sha256",
            digest,
            "must be 64 lower-case hexadecimal digits",
        )
