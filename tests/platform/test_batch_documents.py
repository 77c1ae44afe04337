"""Batches of callers are either decoded completely or refused as malformed."""

import copy
import json
import tracemalloc

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bankrudder.platform._batch_documents import (
    MalformedBatchError,
    decode_batch,
    decoding_bytes,
)
from bankrudder.routing import Route, RouteKind, ServiceName, WeightedService
from outside.site import batch

ROUTE = Route(
    name="rollout",
    host="h",
    path_prefix="/rollout/",
    kind=RouteKind.ROLLOUT,
    services=(WeightedService(ServiceName("engines"), 1.0),),
    timeout_s=1.0,
    target_latency_s=1.0,
)
HUGE = 10**40


def decode(document, batch_id="b1"):
    body = document if isinstance(document, bytes) else json.dumps(document).encode()
    return decode_batch(batch_id, ROUTE, "h", body)


def changed(path, value):
    """Return a valid batch with the value at a path replaced."""
    document = copy.deepcopy(batch("b1"))
    inner = document
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = value
    return document


ITEM = ("items", 0)
SCORER = ("items", 0, "scorer")


def test_a_complete_batch_is_decoded():
    decoded = decode(batch("b1"))
    assert [each.id for each in decoded.samples] == [f"b1-s{n}" for n in range(8)]
    assert decoded.samples[0].body == b"\x00\x01\x02"
    assert decoded.samples[0].length_hint == 100
    assert decoded.samples[0].reward.target == "/score/0"


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("step",), -1),
        (("step",), HUGE),
        (("min_version",), -1),
        (("min_version",), 2**63),
        (("target_groups",), 2**64),
        (("target_groups",), True),
        (("model",), "m" * 201),
        ((*ITEM, "tokens"), HUGE),
        ((*ITEM, "tokens"), -1),
        ((*ITEM, "id"), ""),
        ((*ITEM, "id"), "x" * 201),
        ((*ITEM, "id"), "a\r\nb: c"),
        ((*ITEM, "id"), "a\n"),
        ((*ITEM, "id"), "\u00e9"),
        ((*ITEM, "path"), ""),
        ((*ITEM, "path"), "x"),
        ((*ITEM, "path"), "/rollout/ \r\nA: b"),
        ((*ITEM, "path"), "/rollout/1\n"),
        ((*ITEM, "body"), "!!"),
        ((*ITEM, "body"), "AAE"),
        ((*ITEM, "headers"), {"a b": "c"}),
        ((*ITEM, "headers"), {"": "c"}),
        ((*ITEM, "headers"), {"A": "b\r\nC: d"}),
        ((*ITEM, "headers"), {"A\r\nB": "c"}),
        ((*SCORER, "id"), "a\r\nb: c"),
        ((*SCORER, "host"), "\r\n"),
        ((*SCORER, "path"), "/score/\r\nA: b"),
        ((*SCORER, "body"), "!!"),
    ],
)
def test_a_value_that_cannot_be_stored_or_sent_is_malformed(path, value):
    with pytest.raises(MalformedBatchError):
        decode(changed(path, value))


@pytest.mark.parametrize("batch_id", ["", "x" * 201, "a b", "\udcff", "\u00e9", "a\n"])
def test_a_name_that_is_no_key_of_a_row_is_malformed(batch_id):
    with pytest.raises(MalformedBatchError):
        decode(batch("b1"), batch_id)


@pytest.mark.parametrize("body", [b"", b"\xff", b"null", b"[]", b'{"items": []}'])
def test_bytes_that_are_no_batch_are_malformed(body):
    with pytest.raises(MalformedBatchError):
        decode(body)


def test_a_deeply_nested_value_of_an_unknown_field_is_malformed():
    """The decoder's RecursionError was answered with status 500."""
    with pytest.raises(MalformedBatchError):
        decode(b'{"more": ' + b"[" * 100_000 + b"]" * 100_000 + b', "items": []}')


@pytest.mark.parametrize("hint", ["\u00b2", "9" * 5000, str(2**62), "-1", "some", ""])
def test_an_odd_estimate_of_the_length_is_none(hint):
    document = changed((*ITEM, "headers"), {"X-Length-Hint": hint})
    assert decode(document).samples[0].length_hint == 0


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=6,
)
field_paths = st.sampled_from(
    [
        *((field,) for field in batch("b1")),
        *((*ITEM, field) for field in batch("b1")["items"][0]),
        *((*ITEM, "headers", name) for name in ("X-Model", "X-Length-Hint")),
        *((*SCORER, field) for field in ("id", "host", "path", "body")),
    ]
)


@settings(max_examples=200, derandomize=True)
@given(field_paths, json_values)
def test_each_changed_batch_is_malformed_or_can_be_stored(path, value):
    try:
        decoded = decode(changed(path, value))
    except MalformedBatchError as error:
        assert error.field
    else:
        assert msgspec.msgpack.encode(decoded)


SHAPES = {
    "small samples": lambda number: {"id": f"{number}", "path": "/"},
    "usual samples": lambda number: batch("b1")["items"][0] | {"id": f"s{number}"},
    "many headers": lambda number: {
        "id": f"{number}",
        "path": "/",
        "headers": {f"x{each}": "a" for each in range(40)},
    },
    "long bodies": lambda number: {"id": f"{number}", "path": "/", "body": "A" * 4000},
}


@pytest.mark.parametrize("shape", SHAPES)
def test_decoding_takes_no_more_memory_than_is_estimated(shape):
    items = [SHAPES[shape](number) for number in range(1000)]
    body = json.dumps({"items": items}).encode()
    tracemalloc.start()
    try:
        decoded = decode(body)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(decoded.samples) == 1000
    stored_bytes = len(msgspec.msgpack.encode(decoded))
    assert peak_bytes + stored_bytes <= decoding_bytes(body)
