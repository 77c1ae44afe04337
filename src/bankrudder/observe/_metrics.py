"""Prometheus metrics of a node.

Values that components count anyway are read from them at each scrape; other values are
stored in collectors of the node's registry.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from enum import Enum
from typing import Self

import aioprometheus.collectors as prometheus
import msgspec
import structlog
from aioprometheus.renderer import render

from bankrudder.observe._process import process_usage
from bankrudder.world import HostId

NAME_PREFIX = "bankrudder_"
LATENCY_BUCKETS_S = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0)
"""Upper bounds of histogram buckets; a last bucket without a bound is added."""

_log = structlog.get_logger("observe")


class MetricKind(Enum):
    """What a sample's value means."""

    COUNTER = "counter"
    """A count that only grows during the lifetime of the process."""

    GAUGE = "gauge"
    """A value that rises and falls."""


class Sample(msgspec.Struct, frozen=True):
    """One value of one metric, as a sample source reports it.

    Attributes
    ----------
    name : str
        Begins with `NAME_PREFIX`; the name of a counter ends in ``_total``.
    help : str
        One line that says what is measured and in which unit.
    labels : mapping of str to str
        Names and states only. The label ``job`` is reserved by the library; the
        label of a rollout job is ``rollout_job``.
    """

    name: str
    kind: MetricKind
    value: float
    help: str = ""
    labels: Mapping[str, str] = {}

    @classmethod
    def counter(cls, name: str, value: float, help: str = "", **labels: str) -> Self:
        """Make a sample of a counter."""
        return cls(name, MetricKind.COUNTER, value, help, labels)

    @classmethod
    def gauge(cls, name: str, value: float, help: str = "", **labels: str) -> Self:
        """Make a sample of a gauge."""
        return cls(name, MetricKind.GAUGE, value, help, labels)


SampleSource = Callable[[], Iterable[Sample]]


class Counter:
    """A counter stored in the registry; labels are given with each increment."""

    def __init__(self, collector: prometheus.Counter):
        self._collector = collector

    def add(self, amount: float = 1, **labels: str) -> None:
        """Add `amount`, which must not be negative."""
        self._collector.add(_escaped_labels(labels), amount)


class Gauge:
    """A gauge stored in the registry; labels are given with each update."""

    def __init__(self, collector: prometheus.Gauge):
        self._collector = collector

    def set(self, value: float, **labels: str) -> None:
        """Set the gauge to `value`."""
        self._collector.set(_escaped_labels(labels), value)


class Histogram:
    """A histogram stored in the registry; labels are given with each value."""

    def __init__(self, collector: prometheus.Histogram):
        self._collector = collector

    def observe(self, value: float, **labels: str) -> None:
        """Count `value` in its bucket."""
        self._collector.observe(_escaped_labels(labels), value)


class Metrics:
    """All metrics of one node.

    A component that counts a value anyway adds a sample source, which is called at
    each scrape, so that nothing is counted twice. Histograms are stored in the
    registry.

    Parameters
    ----------
    host : HostId
        Value of the label ``host`` on every sample.
    """

    def __init__(self, host: HostId):
        self._const_labels = _escaped_labels({"host": host})
        self._registry = prometheus.Registry()
        self._sources: list[SampleSource] = [_process_samples]
        self._bad_samples = self.counter(
            "bankrudder_bad_samples_total", "Samples or sources that were left out."
        )

    @classmethod
    def from_config(cls, host: HostId) -> Self:
        """Make the metrics of the node on `host`."""
        return cls(host)

    def counter(self, name: str, help: str) -> Counter:
        """Make a counter; its name must be new and begin with `NAME_PREFIX`."""
        return Counter(
            prometheus.Counter(
                _checked_name(name), help, self._const_labels, self._registry
            )
        )

    def gauge(self, name: str, help: str) -> Gauge:
        """Make a gauge; its name must be new and begin with `NAME_PREFIX`."""
        return Gauge(
            prometheus.Gauge(
                _checked_name(name), help, self._const_labels, self._registry
            )
        )

    def histogram(
        self, name: str, help: str, buckets: Sequence[float] = LATENCY_BUCKETS_S
    ) -> Histogram:
        """Make a histogram whose buckets have the upper bounds `buckets`."""
        return Histogram(
            prometheus.Histogram(
                _checked_name(name),
                help,
                self._const_labels,
                self._registry,
                [*buckets, float("inf")],
            )
        )

    def add_source(self, source: SampleSource) -> None:
        """Call `source` at each scrape.

        A source that raises is omitted from the scrape and counted in
        ``bankrudder_bad_samples_total``.
        """
        self._sources.append(source)

    def render(self) -> tuple[bytes, str]:
        """Collect and render all values.

        Returns
        -------
        body : bytes
            The metrics in the Prometheus text format.
        content_type : str
            The media type of `body`.
        """
        scrape_registry = prometheus.Registry()
        collectors: dict[str, prometheus.Counter | prometheus.Gauge] = {}
        for source in self._sources:
            for sample in self._samples_of(source):
                self._add_sample(sample, scrape_registry, collectors)
        registered_text, headers = render(self._registry, [])
        scraped_text, _ = render(scrape_registry, [])
        return registered_text + scraped_text, headers["Content-Type"]

    def _samples_of(self, source: SampleSource) -> list[Sample]:
        try:
            return list(source())
        except Exception:
            _log.exception("observe: metrics source failed")
            self._bad_samples.add()
            return []

    def _add_sample(
        self,
        sample: Sample,
        registry: prometheus.Registry,
        collectors: dict[str, prometheus.Counter | prometheus.Gauge],
    ) -> None:
        kind = _COLLECTOR_OF_KIND[sample.kind]
        try:
            collector = collectors.get(sample.name)
            if collector is None:
                collector = self._collector(sample, kind, registry)
                collectors[sample.name] = collector
            if not isinstance(collector, kind):
                raise ValueError(
                    f"metric {sample.name} is reported both as counter and as gauge"
                )
            collector.set(_escaped_labels(sample.labels), sample.value)
        except ValueError:
            _log.exception("observe: bad sample left out", name=sample.name)
            self._bad_samples.add()

    def _collector(
        self,
        sample: Sample,
        kind: type[prometheus.Counter] | type[prometheus.Gauge],
        registry: prometheus.Registry,
    ) -> prometheus.Counter | prometheus.Gauge:
        name = _checked_name(sample.name)
        if name in self._registry.collectors:
            raise ValueError(f"metric {name} is already in the node's registry")
        help = sample.help or name
        return kind(name, help, self._const_labels, registry)


_COLLECTOR_OF_KIND: dict[
    MetricKind, type[prometheus.Counter] | type[prometheus.Gauge]
] = {
    MetricKind.COUNTER: prometheus.Counter,
    MetricKind.GAUGE: prometheus.Gauge,
}


def _checked_name(name: str) -> str:
    if not name.startswith(NAME_PREFIX):
        raise ValueError(f"metric {name!r} does not begin with {NAME_PREFIX!r}")
    return name


def _escaped_labels(labels: Mapping[str, str]) -> dict[str, str]:
    # The library renders label values without escaping them.
    return {
        name: value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
        for name, value in labels.items()
    }


def _process_samples() -> Iterable[Sample]:
    usage = process_usage()
    yield Sample.gauge(
        "bankrudder_memory_bytes", usage.memory_bytes, "Resident memory in bytes."
    )
    yield Sample.counter(
        "bankrudder_processor_seconds_total",
        usage.processor_s,
        "Processor time in seconds.",
    )
    yield Sample.gauge(
        "bankrudder_open_files", usage.open_files, "Open file descriptors."
    )
