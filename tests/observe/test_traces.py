"""Traces: parents, content and export of spans."""

import asyncio
import json

import msgspec
import pytest
from aiohttp import web
from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import (
    ExportTraceServiceRequest,
)

from bankrudder.exceptions import NotRunError
from bankrudder.failures import FailureReason
from bankrudder.observe import (
    FileTraceExport,
    OtlpTraceExport,
    SpanRecord,
    TraceExport,
    Tracer,
)
from bankrudder.observe._traces import RECENT_SPANS
from bankrudder.world import Address, HostId


@pytest.fixture
def tracer(manual_clock):
    return Tracer.from_config(HostId("h1"), clock=manual_clock)


def records_of(tracer, trace_id):
    spans = tracer.find_spans(trace_id)
    return [msgspec.json.decode(span, type=SpanRecord) for span in spans]


def test_a_span_has_the_previous_hop_as_its_parent(tracer, manual_clock):
    with tracer.span("calls.entry") as entry:
        manual_clock.advance(0.25)
        with tracer.span("calls.home", parent=entry.traceparent, pool="desk") as home:
            manual_clock.advance(0.5)
    inner, outer = records_of(tracer, entry.trace_id)
    assert home.trace_id == entry.trace_id
    assert (inner.name, outer.name) == ("calls.home", "calls.entry")
    assert inner.parent_id == outer.span_id
    assert outer.parent_id == ""
    assert inner.attributes == {"pool": "desk"}
    assert (inner.duration_ms, outer.duration_ms) == pytest.approx((500, 750))


@pytest.mark.parametrize(
    "parent",
    [
        "",
        "x",
        "00-1-2-01",
        f"00-{'g' * 32}-{'1' * 16}-01",
        f"00-{'0' * 32}-{'1' * 16}-01",
    ],
)
def test_an_empty_or_malformed_parent_starts_a_new_trace(tracer, parent):
    with tracer.span("calls.entry", parent=parent) as span:
        pass
    (record,) = records_of(tracer, span.trace_id)
    assert record.parent_id == ""


def test_a_failure_is_recorded_without_its_message(tracer):
    with (
        pytest.raises(NotRunError),
        tracer.span("pools.grant") as span,
    ):
        raise NotRunError(FailureReason.OVERLOADED, "passport 123")
    with pytest.raises(ValueError), tracer.span("x", span.traceparent):
        raise ValueError("passport 123")
    assert "passport" not in "".join(tracer.find_spans(span.trace_id))
    first, second = records_of(tracer, span.trace_id)
    assert first.failed
    assert first.attributes == {"failure": "not_run", "reason": "overloaded"}
    assert second.attributes == {"error": "ValueError"}


def test_a_cancelled_span_is_not_failed(tracer):
    with pytest.raises(asyncio.CancelledError), tracer.span("steps.attempt") as span:
        raise asyncio.CancelledError
    (record,) = records_of(tracer, span.trace_id)
    assert not record.failed
    assert record.attributes == {"cancelled": True}


def test_bytes_are_ignored_and_long_strings_cut_in_attributes(tracer):
    with tracer.span("x", found=b"passport 123", name_of="n" * 1000) as span:
        pass
    (record,) = records_of(tracer, span.trace_id)
    assert list(record.attributes) == ["name_of"]
    assert len(record.attributes["name_of"]) == 128


async def test_a_span_may_end_in_another_context(tracer):
    async def stream():
        with tracer.span("calls.stream") as span:
            yield span
            yield span

    generator = stream()
    span = await asyncio.create_task(anext(generator))
    await asyncio.create_task(generator.aclose())
    assert len(tracer.find_spans(span.trace_id)) == 1


def test_only_the_most_recent_spans_are_kept(tracer):
    with tracer.span("first") as first:
        pass
    for _ in range(RECENT_SPANS):
        with tracer.span("next"):
            pass
    assert tracer.find_spans(first.trace_id) == ()


async def test_spans_are_written_to_a_file(tmp_path):
    path = tmp_path / "spans.jsonl"
    tracer = Tracer.from_config(HostId("h1"), FileTraceExport(str(path)))
    with tracer.span("calls.entry", pool="desk") as span:
        pass
    await tracer.stop()
    (line,) = path.read_text().splitlines()
    written = json.loads(line)
    assert written["context"]["trace_id"] == f"0x{span.trace_id}"
    assert written["attributes"] == {"pool": "desk"}


async def test_spans_are_exported_to_a_collector():
    bodies = []

    async def collect(request):
        bodies.append(await request.read())
        return web.Response()

    collector = web.Application()
    collector.router.add_post("/v1/traces", collect)
    runner = web.AppRunner(collector)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    address = Address(f"127.0.0.1:{runner.addresses[0][1]}")
    tracer = Tracer.from_config(HostId("h1"), OtlpTraceExport(address))
    with tracer.span("calls.entry") as span:
        pass
    await tracer.stop()
    await runner.cleanup()
    request = ExportTraceServiceRequest.FromString(bodies[0])
    (sent,) = request.resource_spans[0].scope_spans[0].spans
    assert sent.name == "calls.entry"
    assert sent.trace_id.hex() == span.trace_id


def test_the_export_setting_is_decoded_from_json():
    read = msgspec.json.decode(b'{"to":"file","path":"s"}', type=TraceExport)
    assert read == FileTraceExport("s")
