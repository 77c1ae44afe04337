"""Metrics: collected at the scrape, and tolerant of a bad source."""

import pytest

from bankrudder.observe import Metrics, Sample
from bankrudder.world import HostId


@pytest.fixture
def metrics():
    return Metrics.from_config(HostId("h1"))


def rendered_text(metrics):
    body, _ = metrics.render()
    return body.decode()


def test_a_source_is_called_at_each_scrape(metrics):
    counts = iter([3, 5])
    metrics.add_source(
        lambda: [Sample.counter("bankrudder_calls_total", next(counts), pool="desk")]
    )
    first, second = rendered_text(metrics), rendered_text(metrics)
    assert 'bankrudder_calls_total{host="h1",pool="desk"} 3' in first
    assert 'bankrudder_calls_total{host="h1",pool="desk"} 5' in second


def test_sources_may_share_a_metric_with_different_labels(metrics):
    for pool in ("desk", "ranking"):
        metrics.add_source(
            lambda pool=pool: [Sample.gauge("bankrudder_in_flight", 1, pool=pool)]
        )
    text = rendered_text(metrics)
    assert text.count("# TYPE bankrudder_in_flight gauge") == 1
    assert 'pool="desk"' in text
    assert 'pool="ranking"' in text


def test_a_failing_source_does_not_affect_others_and_is_counted(metrics):
    def fail():
        raise RuntimeError

    metrics.add_source(fail)
    metrics.add_source(lambda: [Sample.gauge("bankrudder_members", 9)])
    text = rendered_text(metrics)
    assert 'bankrudder_members{host="h1"} 9' in text
    assert 'bankrudder_bad_samples_total{host="h1"} 1' in text


@pytest.mark.parametrize(
    "sample",
    [
        Sample.gauge("members", 9),
        Sample.gauge("bankrudder_members", 9, job="j1"),
        Sample.gauge("bankrudder_bad_samples_total", 9),
        Sample.counter("bankrudder_memory_bytes", 9),
    ],
    ids=["no prefix", "reserved label", "name in registry", "second kind"],
)
def test_a_bad_sample_is_omitted_and_counted(metrics, sample):
    metrics.add_source(lambda: [sample])
    assert 'bankrudder_bad_samples_total{host="h1"} 1' in rendered_text(metrics)


def test_a_label_value_cannot_break_the_format(metrics):
    metrics.add_source(lambda: [Sample.gauge("bankrudder_up", 1, pool='a"\n\\b')])
    assert r'pool="a\"\n\\b"} 1' in rendered_text(metrics)


def test_registered_metrics_are_rendered(metrics):
    metrics.counter("bankrudder_late_total", "Late.").add(2, part="calls")
    metrics.gauge("bankrudder_queue", "Waiting.").set(4)
    wait = metrics.histogram("bankrudder_wait_seconds", "Wait.", buckets=(0.1, 1.0))
    wait.observe(0.5)
    text = rendered_text(metrics)
    assert 'bankrudder_late_total{host="h1",part="calls"} 2' in text
    assert 'bankrudder_queue{host="h1"} 4' in text
    assert 'bankrudder_wait_seconds_bucket{host="h1",le="0.1"} 0' in text
    assert 'bankrudder_wait_seconds_bucket{host="h1",le="1.0"} 1' in text


def test_process_usage_is_rendered(metrics):
    text = rendered_text(metrics)
    assert "bankrudder_memory_bytes" in text
    assert "bankrudder_processor_seconds_total" in text
