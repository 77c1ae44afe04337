"""Look-ups by name in one configuration."""

from collections.abc import Iterable
from typing import Protocol, TypeVar

from bankrudder.exceptions import InvalidError
from bankrudder.failures import FailureReason
from bankrudder.world import (
    Caller,
    CallerClass,
    CallerClassName,
    Configuration,
    DataCentreName,
    DataClass,
    DataClassName,
    Job,
    JobName,
    Pool,
    PoolName,
)

KeyT = TypeVar("KeyT", bound=str)
ValueT = TypeVar("ValueT")


class _Named(Protocol):
    @property
    def name(self) -> str: ...


NamedT = TypeVar("NamedT", bound=_Named)


class ConfigurationIndex:
    """A configuration whose entries are indexed by name.

    A look-up by name raises `InvalidError` for an unknown name, with the wrong field
    of the request. A look-up by token hash returns None instead.

    Parameters
    ----------
    configuration : Configuration
        A checked configuration.
    """

    def __init__(self, configuration: Configuration):
        self._configuration = configuration
        self._pools = _by_name(configuration.pools)
        self._caller_classes = _by_name(configuration.caller_classes)
        self._data_classes = _by_name(configuration.data_classes)
        self._jobs = _by_name(configuration.jobs)
        self._callers_by_token_hash = {c.token_sha256: c for c in configuration.callers}
        self._allowed_data_centres: dict[str, frozenset[DataCentreName]] = {
            data_class.name: frozenset(data_class.allowed_data_centres)
            for data_class in configuration.data_classes
        }

    @property
    def configuration(self) -> Configuration:
        return self._configuration

    def pool(self, name: PoolName) -> Pool:
        """Return the pool, or raise UNKNOWN_POOL."""
        return _look_up(self._pools, name, "pool", FailureReason.UNKNOWN_POOL)

    def caller_by_token_hash(self, token_sha256: str) -> Caller | None:
        """Return the caller whose token has this hexadecimal SHA-256, or None."""
        return self._callers_by_token_hash.get(token_sha256)

    def caller_class(self, name: CallerClassName) -> CallerClass:
        """Return the caller class, or raise BAD_REQUEST."""
        reason = FailureReason.BAD_REQUEST
        return _look_up(self._caller_classes, name, "caller_class", reason)

    def data_class(self, name: DataClassName) -> DataClass:
        """Return the data class, or raise UNKNOWN_DATA_CLASS."""
        reason = FailureReason.UNKNOWN_DATA_CLASS
        return _look_up(self._data_classes, name, "data_class", reason)

    def allowed(self, data_class: DataClassName) -> frozenset[DataCentreName]:
        """Return the allowed data centres of a class, or raise UNKNOWN_DATA_CLASS."""
        reason = FailureReason.UNKNOWN_DATA_CLASS
        return _look_up(self._allowed_data_centres, data_class, "data_class", reason)

    def job(self, name: JobName) -> Job:
        """Return the job, or raise UNKNOWN_JOB."""
        return _look_up(self._jobs, name, "job", FailureReason.UNKNOWN_JOB)


def _by_name(entries: Iterable[NamedT]) -> dict[str, NamedT]:
    return {entry.name: entry for entry in entries}


def _look_up(
    entries: dict[str, ValueT], name: KeyT, field: str, reason: FailureReason
) -> ValueT:
    entry = entries.get(name)
    if entry is None:
        raise InvalidError(reason, f"no {field} is named {name!r}", field=field)
    return entry
