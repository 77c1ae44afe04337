"""Records of callers, trainers and endpoints, and the guarantees they must satisfy.

The records hold only observations of clients and endpoints, no counters of the daemons.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from itertools import pairwise

MAX_CRASHED_ENDPOINTS = 3
"""Endpoints that one request may crash before hosts have to stop running it."""

MAX_RETRIES = 3
"""Runs of a crashing request that are allowed once all hosts know of its crashes."""

PROPAGATION_LIMIT_S = 3.0
"""Time within which all hosts know of the crashes that a request caused."""

MAX_CRASHING_RUNS = 12
"""Runs of one crashing request that are allowed in a whole soak run, whatever faults of
hosts and store occur."""

ORDER_LEASE_S = 1.0
"""Length of the lease on orders to engines in the settings of the daemons."""

CANCEL_LIMIT_S = 3.0
"""Time after the acknowledged end of a batch in which its samples may still be sent."""


@dataclass
class BatchObservation:
    """One batch as its trainer observed it.

    ``positions`` holds the first result read at each position, and ``lost`` a sentence
    for each result or batch that was missing.
    """

    batch_id: str
    min_version: int
    samples: list
    was_accepted: bool = False
    was_refused_always: bool = True
    ended_at: float | None = None
    is_over: bool = False
    positions: dict = field(default_factory=dict)
    changed_positions: list = field(default_factory=list)
    lost: list = field(default_factory=list)

    def note_page(self, after, page):
        """Record a page of results and the positions at which a result has changed."""
        for number, result in enumerate(page["results"]):
            known = self.positions.setdefault(after + number, result)
            if known != result:
                self.changed_positions.append((after + number, known, result))


@dataclass
class CallObservation:
    """One request of a caller; ``status`` is 0 if no response arrived."""

    request_id: str
    path: str
    status: int
    body: bytes


class KeyedOutcome(Enum):
    """Outcome that the RPC interface reported to a caller."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass
class KeyedCallObservation:
    """One idempotency key and the outcomes of its calls, in order."""

    key: str
    outcomes: list = field(default_factory=list)


@dataclass
class History:
    """All observations of one soak run."""

    batches: dict = field(default_factory=dict)
    calls: list = field(default_factory=list)
    orders: list = field(default_factory=list)
    """``(time, engine, holder, fence)`` as engines received them."""

    arrivals: list = field(default_factory=list)
    """``(time, request id)`` as endpoints received them."""

    runs: dict = field(default_factory=dict)
    """Number of runs on all endpoints, by request id."""

    keyed: list = field(default_factory=list)
    """Keyed requests to the RPC interface."""

    crashes: dict = field(default_factory=lambda: defaultdict(list))
    """Times at which endpoints began to run a crashing request, by its content."""

    killed_stops: list = field(default_factory=list)
    """``(host, process)`` of each planned stop that exceeded the grace period."""

    recovered_at: float = 0.0
    """Time at which the last fault had ended and all hosts were ready."""

    revisions: list = field(default_factory=list)
    """``(host, start of the host, revision in a response)`` in chronological order."""


def violations(history, events_per_sample):
    """Return a sentence for each guarantee that was violated.

    Parameters
    ----------
    events_per_sample : int
        Number of events that every sample must have.
    """
    found = []
    for batch in history.batches.values():
        found += _batch_violations(batch, events_per_sample)
    found += _call_violations(history)
    found += _keyed_request_violations(history)
    found += _order_violations(history)
    found += _late_sample_violations(history)
    found += _revision_violations(history)
    found += _crash_violations(history)
    found += [
        f"{host} (process {process_id}) did not end within its grace period"
        for host, process_id in history.killed_stops
    ]
    return found


def _batch_violations(batch, events_per_sample):
    name = f"batch {batch.batch_id}"
    for position, known, other in batch.changed_positions:
        yield f"{name}: position {position} changed: {known['id']} to {other['id']}"
    for what in batch.lost:
        yield f"{name}: {what}"
    ids = [result["id"] for result in batch.positions.values()]
    for sample in set(ids):
        if ids.count(sample) > 1:
            yield f"{name}: sample {sample} is at two positions"
    for result in batch.positions.values():
        if result["id"] not in batch.samples:
            yield f"{name}: sample {result['id']} belongs to another batch"
        elif result["state"] == "succeeded":
            yield from _result_violations(
                name, result, batch.min_version, events_per_sample
            )


def _result_violations(name, result, min_version, events_per_sample):
    sample = result["id"]
    lines = result["text"].split("\n")
    numbers = [line.rpartition("-v")[0] for line in lines]
    if numbers != [f"{sample}-{number}" for number in range(events_per_sample)]:
        yield f"{name}: text of {sample} has the wrong events: {numbers}"
        return
    versions = sorted({int(line.rpartition("-v")[2]) for line in lines})
    if versions != sorted(result["versions"]):
        yield (
            f"{name}: {sample} was generated by versions {versions}, "
            f"reported are {result['versions']}"
        )
    if versions[0] < min_version:
        yield (
            f"{name}: {sample} was generated by version {versions[0]}, "
            f"the minimum is {min_version}"
        )
    reward = sample.replace("-s", "-r")
    if not result["score"].endswith(f".{reward}"):
        yield f"{name}: score of {sample} belongs to another call: {result['score']}"


def _call_violations(history):
    for call in history.calls:
        runs = history.runs.get(call.request_id, 0)
        if call.path.startswith("/once/") and runs > 1:
            yield f"call {call.request_id} ran {runs} times"
        if call.status == 503 and call.path.startswith("/once/") and runs:
            yield f"call {call.request_id} was refused but ran"
        if call.status == 200 and call.body != b"answer to " + _request_body(call):
            yield f"call {call.request_id} got a wrong answer: {call.body!r}"


def _request_body(call):
    return call.request_id.encode()


def _keyed_request_violations(history):
    for record in history.keyed:
        runs = history.runs.get(record.key, 0)
        outcome_kinds = [outcome for outcome, _ in record.outcomes]
        if runs > 1:
            yield f"key {record.key} ran {runs} times"
        if runs and outcome_kinds and set(outcome_kinds) == {KeyedOutcome.NOT_RUN}:
            yield f"key {record.key} was reported as not run but ran"
        if KeyedOutcome.ANSWERED in outcome_kinds and not runs:
            yield f"key {record.key} was answered but never ran"
        for outcome, body in record.outcomes:
            expected_body = b"answer to " + record.key.encode()
            if outcome is KeyedOutcome.ANSWERED and body != expected_body:
                yield f"key {record.key} got a wrong answer: {body!r}"


def _order_violations(history):
    by_engine = defaultdict(list)
    for at, engine, holder, fence in sorted(history.orders):
        by_engine[engine].append((at, holder, fence))
    for engine, orders in by_engine.items():
        for (at, holder, fence), (later, other, newer) in pairwise(orders):
            if newer < fence:
                yield f"{engine}: fencing token {newer} after {fence}"
            if holder != other and newer == fence:
                yield f"{engine}: {holder} and {other} used the same fencing token"
            if holder != other and later - at < ORDER_LEASE_S / 2:
                yield f"{engine}: order of {other} {later - at:.2f} s after {holder}"


def _late_sample_violations(history):
    ended = {
        sample: batch.ended_at
        for batch in history.batches.values()
        if batch.ended_at is not None
        for sample in batch.samples
    }
    for at, request_id in history.arrivals:
        end = ended.get(request_id)
        if end is not None and at > end + CANCEL_LIMIT_S:
            yield f"sample {request_id} was sent {at - end:.1f} s after its batch ended"


def _crash_violations(history):
    for content, run_times in history.crashes.items():
        name = f"request {content!r}"
        if len(run_times) > MAX_CRASHING_RUNS:
            yield f"{name} was run {len(run_times)} times"
        if len(run_times) <= MAX_CRASHED_ENDPOINTS:
            continue
        propagated_at = (
            max(sorted(run_times)[MAX_CRASHED_ENDPOINTS - 1], history.recovered_at)
            + PROPAGATION_LIMIT_S
        )
        late = sum(at > propagated_at for at in run_times)
        if late > MAX_RETRIES:
            yield f"{name} was run {late} more times after three endpoints had crashed"


def _revision_violations(history):
    newest: dict[tuple[str, int], int] = {}
    for host, start, revision in history.revisions:
        key = (host, start)
        if revision < newest.get(key, 0):
            yield f"{host} went back from revision {newest[key]} to {revision}"
        newest[key] = max(revision, newest.get(key, 0))
