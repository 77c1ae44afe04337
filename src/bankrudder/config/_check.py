"""Validation of a configuration document before a host puts it in force."""

import re
from collections.abc import Iterable, Iterator

import msgspec

from bankrudder.config._decode import decode_document, json_excerpt
from bankrudder.config._routes import BASE_ADAPTER
from bankrudder.exceptions import InvalidError
from bankrudder.failures import FailureReason
from bankrudder.world import (
    NO_WORKSPACE,
    Caller,
    CallerClass,
    CallerRole,
    Configuration,
    DataClass,
    Job,
    Pool,
    PoolKind,
)

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
"""Largest document that is accepted."""

MAX_FINDINGS = 50
"""Largest number of findings that one error lists."""

NAME_RULE = (
    "must be 1 to 64 letters, digits, '.', '_' or '-', and begin with a letter or digit"
)

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_SHA256 = re.compile(r"[0-9a-f]{64}")


class Finding(msgspec.Struct, frozen=True):
    """A field of a configuration with a wrong value.

    Attributes
    ----------
    field : str
        Path of the field, such as ``jobs[0].pool``.
    value : str
        Its value as JSON, shortened.
    problem : str
        What the value must be, or why it is wrong.
    """

    field: str
    value: str
    problem: str

    def __str__(self) -> str:
        return f"{self.field} is {self.value}: {self.problem}"


def check(document: bytes) -> Configuration:
    """Decode a configuration document and validate it.

    Raises
    ------
    InvalidError
        With the reason TOO_LARGE for a document that is too long, otherwise with
        the reason CONFIGURATION_WRONG; `field` is the path of the first finding,
        and the detail lists the findings.
    """
    if len(document) > MAX_DOCUMENT_BYTES:
        raise InvalidError(
            FailureReason.TOO_LARGE,
            f"document is {len(document)} bytes, limit {MAX_DOCUMENT_BYTES}",
        )
    configuration = decode_document(document, Configuration)
    found = findings(configuration)
    if found:
        listed = [str(finding) for finding in found[:MAX_FINDINGS]]
        if len(found) > MAX_FINDINGS:
            listed.append(f"and {len(found) - MAX_FINDINGS} more")
        raise InvalidError(
            FailureReason.CONFIGURATION_WRONG, "; ".join(listed), field=found[0].field
        )
    return configuration


def findings(configuration: Configuration) -> tuple[Finding, ...]:
    """Return all findings, in the order of the document."""
    return tuple(_Checker(configuration).run())


def _finding(field: str, value: object, problem: str) -> Finding:
    return Finding(field, json_excerpt(value), problem)


class _Checker:
    """Checks each section against the names that the others define."""

    def __init__(self, configuration: Configuration):
        self._configuration = configuration
        self._data_centre_names = {d.name for d in configuration.data_centres}
        self._data_classes = {d.name: d for d in configuration.data_classes}
        self._workspace_names = {w.name for w in configuration.workspaces}
        self._caller_class_names = {c.name for c in configuration.caller_classes}
        self._callers = {c.name: c for c in configuration.callers}
        self._pools = {p.name: p for p in configuration.pools}

    def run(self) -> Iterator[Finding]:
        yield from self._check_names()
        for i, centre in enumerate(self._configuration.data_centres):
            if not centre.region:
                yield _finding(f"data_centres[{i}].region", "", "a region is required")
        for i, data_class in enumerate(self._configuration.data_classes):
            yield from self._check_data_class(f"data_classes[{i}]", data_class)
        for i, caller_class in enumerate(self._configuration.caller_classes):
            yield from self._check_caller_class(f"caller_classes[{i}]", caller_class)
        yield from self._check_callers()
        for i, pool in enumerate(self._configuration.pools):
            yield from self._check_pool(f"pools[{i}]", pool)
        yield from self._check_jobs()

    def _check_names(self) -> Iterator[Finding]:
        for section in Configuration.__struct_fields__:
            names = [entry.name for entry in getattr(self._configuration, section)]
            paths = [f"{section}[{i}].name" for i in range(len(names))]
            for path, name in zip(paths, names, strict=True):
                if not _NAME.fullmatch(name):
                    yield _finding(path, name, NAME_RULE)
            yield from _duplicates(paths, names)

    def _check_data_class(self, path: str, data_class: DataClass) -> Iterator[Finding]:
        field = f"{path}.allowed_data_centres"
        centres = data_class.allowed_data_centres
        if not centres:
            yield _finding(field, [], "at least one data centre is required")
        paths = [f"{field}[{i}]" for i in range(len(centres))]
        for item_path, centre in zip(paths, centres, strict=True):
            yield from _reference(
                item_path, centre, self._data_centre_names, "data centre"
            )
        yield from _duplicates(paths, centres)

    def _check_caller_class(self, path: str, entry: CallerClass) -> Iterator[Finding]:
        yield from _at_least(f"{path}.priority", entry.priority, 0)
        yield from _at_least(f"{path}.queue_limit", entry.queue_limit, 1)
        yield from _above_zero(f"{path}.queue_timeout_s", entry.queue_timeout_s)
        yield from _at_least(f"{path}.reserved", entry.reserved, 0)

    def _check_callers(self) -> Iterator[Finding]:
        callers = self._configuration.callers
        for i, caller in enumerate(callers):
            yield from self._check_caller(f"callers[{i}]", caller)
        paths = [f"callers[{i}].token_sha256" for i in range(len(callers))]
        yield from _duplicates(paths, [c.token_sha256 for c in callers])
        if not any(CallerRole.OPERATOR in c.roles for c in callers):
            yield _finding(
                "callers",
                len(callers),
                "at least one caller must have the role operator",
            )

    def _check_caller(self, path: str, caller: Caller) -> Iterator[Finding]:
        yield from _reference(
            f"{path}.caller_class",
            caller.caller_class,
            self._caller_class_names,
            "caller class",
        )
        if caller.workspace != NO_WORKSPACE:
            yield from _reference(
                f"{path}.workspace",
                caller.workspace,
                self._workspace_names,
                "workspace",
            )
        if not _SHA256.fullmatch(caller.token_sha256):
            yield _finding(
                f"{path}.token_sha256",
                caller.token_sha256,
                "must be 64 lower-case hexadecimal digits",
            )
        for i, data_class in enumerate(caller.data_classes):
            yield from _reference(
                f"{path}.data_classes[{i}]",
                data_class,
                self._data_classes,
                "data class",
            )
        if not caller.roles:
            yield _finding(f"{path}.roles", [], "at least one role is required")

    def _check_pool(self, path: str, pool: Pool) -> Iterator[Finding]:
        match pool:
            case Pool(kind=PoolKind.ENGINE, model=""):
                yield _finding(f"{path}.model", "", "an engine pool needs a model")
            case Pool(kind=PoolKind.SERVICE) if pool.model:
                yield _finding(
                    f"{path}.model", pool.model, "a service pool has no model"
                )
        if not (pool.path.startswith("/") and pool.path.endswith("/")):
            yield _finding(f"{path}.path", pool.path, "must begin and end with '/'")
        contract = pool.contract
        yield from _at_least(f"{path}.contract.max_attempts", contract.max_attempts, 1)
        yield from _above_zero(f"{path}.contract.timeout_s", contract.timeout_s)
        window = f"{path}.contract.retry_window_s"
        yield from _at_least(window, contract.retry_window_s, 0)
        if not contract.idempotent and contract.retry_window_s < contract.timeout_s:
            yield _finding(
                window,
                contract.retry_window_s,
                f"must be at least timeout_s ({contract.timeout_s})",
            )

    def _check_jobs(self) -> Iterator[Finding]:
        publishers: dict[tuple[str, str], Job] = {}
        for i, job in enumerate(self._configuration.jobs):
            yield from self._check_job(f"jobs[{i}]", job)
            first = publishers.setdefault((job.pool, job.adapter or BASE_ADAPTER), job)
            if first.trainer != job.trainer:
                yield _finding(
                    f"jobs[{i}].adapter",
                    job.adapter,
                    f"versions are published by the trainer of job {first.name}",
                )

    def _check_job(self, path: str, job: Job) -> Iterator[Finding]:
        yield from _reference(f"{path}.pool", job.pool, self._pools, "pool")
        yield from _reference(
            f"{path}.data_class", job.data_class, self._data_classes, "data class"
        )
        yield from _reference(
            f"{path}.caller_class",
            job.caller_class,
            self._caller_class_names,
            "caller class",
        )
        yield from self._check_trainer(f"{path}.trainer", job)
        yield from _at_least(f"{path}.max_staleness", job.max_staleness, 0)
        yield from _at_least(f"{path}.max_tokens", job.max_tokens, 1)
        yield from _above_zero(f"{path}.sample_timeout_s", job.sample_timeout_s)
        if job.adapter and not _NAME.fullmatch(job.adapter):
            yield _finding(f"{path}.adapter", job.adapter, NAME_RULE)
        yield from self._check_job_pool(f"{path}.pool", job)

    def _check_trainer(self, field: str, job: Job) -> Iterator[Finding]:
        yield from _reference(field, job.trainer, self._callers, "caller")
        trainer = self._callers.get(job.trainer)
        if trainer is None:
            return
        if CallerRole.TRAINER not in trainer.roles:
            yield _finding(field, job.trainer, "the caller must have the role trainer")
        if job.data_class not in trainer.data_classes:
            yield _finding(
                field,
                job.trainer,
                f"the caller may not use data class {job.data_class}",
            )

    def _check_job_pool(self, field: str, job: Job) -> Iterator[Finding]:
        pool = self._pools.get(job.pool)
        if pool is not None and pool.kind is not PoolKind.ENGINE:
            yield _finding(field, job.pool, "a job requires a pool of engines")


def _duplicates(paths: Iterable[str], values: Iterable[str]) -> Iterator[Finding]:
    seen: set[str] = set()
    for path, value in zip(paths, values, strict=True):
        if value in seen:
            yield _finding(path, value, "must be given only once")
        seen.add(value)


def _reference(
    path: str, name: str, known: Iterable[str], entry_kind: str
) -> Iterator[Finding]:
    names = sorted(known)
    if name not in names:
        listed = ", ".join(names[:10]) or "none"
        yield _finding(path, name, f"no such {entry_kind}; there are: {listed}")


def _at_least(path: str, value: float, least: float) -> Iterator[Finding]:
    if value < least:
        yield _finding(path, value, f"must be at least {least}")


def _above_zero(path: str, value: float) -> Iterator[Finding]:
    if value <= 0:
        yield _finding(path, value, "must be more than 0")
