"""Documents from the store are either decoded completely or rejected as unreadable."""

import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bankrudder.decoding import UnreadableDocumentError
from bankrudder.fleet import Readiness
from bankrudder.platform._documents import (
    decode_configuration,
    decode_endpoint,
    decode_named_version,
)

ENDPOINT_ENTRY = {
    "service": "s",
    "address": "127.0.0.1:8080",
    "zone": "north",
    "version": "v1",
    "slot_count": 6,
    "state": "ready",
    "cold_ms": 0,
    "stage": "both",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "sequence": 4,
    "born": 1764720000000,
}
NAMED_VERSION = {"model": "m", "version": 2}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "path_prefix": "/p/",
            "kind": "idempotent",
            "timeout_ms": 3003,
            "service": "s",
            "max_attempts": 4,
        }
    ],
    "services": [{"name": "s", "max_connections": 10}],
}


def decode_entry(**changes):
    document = {**ENDPOINT_ENTRY, **changes}
    kept = {key: value for key, value in document.items() if value is not ...}
    return decode_endpoint("e", json.dumps(kept).encode())


def test_a_complete_entry_is_decoded():
    endpoint = decode_entry()
    assert endpoint.slots == 6
    assert endpoint.born == 1764720000000
    assert endpoint.version_of("m") == 1
    assert decode_entry(state="draining").readiness is Readiness.DRAINING


@pytest.mark.parametrize("name", ["", "a b", "a\r\nB: c", "a\n", "\u00e9", "\x00"])
def test_an_entry_whose_name_cannot_be_sent_is_unreadable(name):
    with pytest.raises(UnreadableDocumentError):
        decode_endpoint(name, json.dumps(ENDPOINT_ENTRY).encode())


def test_an_entry_without_a_start_time_is_valid():
    assert decode_entry(born=...).born is None


def test_unknown_fields_are_ignored():
    assert decode_entry(colour="red") == decode_entry()


@pytest.mark.parametrize("born", [None, "5", 5.5, True, [5], {}])
def test_an_entry_whose_start_time_is_not_an_integer_is_unreadable(born):
    with pytest.raises(UnreadableDocumentError):
        decode_entry(born=born)


@pytest.mark.parametrize(
    "field",
    [field for field in ENDPOINT_ENTRY if field not in ("stage", "models", "born")],
)
def test_an_entry_with_a_missing_or_mistyped_field_is_unreadable(field):
    with pytest.raises(UnreadableDocumentError):
        decode_entry(**{field: ...})
    with pytest.raises(UnreadableDocumentError):
        decode_entry(**{field: [1]})


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "warming"},
        {"slot_count": 0},
        {"slot_count": "6"},
        {"slot_count": 100_001},
        {"slot_count": 2**63},
        {"slot_count": 10**400},
        {"sequence": 10**400},
        {"sequence": -1},
        {"born": 2**63},
        {"born": 10**400},
        {"born": -1},
        {"cold_ms": 10**400},
        {"models": [{"name": "m", "version": 2**63}]},
        {"models": [{"name": "m", "version": 10**400}]},
        {"address": "nowhere"},
        {"address": ""},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:" + "9" * 5000},
        {"address": "10.0.0.1:\u0663"},
        {"address": "host.example:80"},
        {"address": "::1:80"},
        {"address": "a b:80"},
        {"service": ""},
        {"models": {}},
        {"models": [{"name": "m", "version": "1"}]},
    ],
)
def test_an_entry_with_an_invalid_value_is_unreadable(changes):
    with pytest.raises(UnreadableDocumentError):
        decode_entry(**changes)


@pytest.mark.parametrize(
    "body", [b"", b"\xff\xfe", b"null", b"[]", b"{", b"[" * 100_000, b'{"service":']
)
def test_bytes_that_are_not_a_document_are_unreadable(body):
    for decode in (
        lambda body: decode_endpoint("e", body),
        decode_named_version,
        decode_configuration,
    ):
        with pytest.raises(UnreadableDocumentError):
            decode(body)


def test_the_reason_for_an_unreadable_document_has_a_bounded_length():
    with pytest.raises(UnreadableDocumentError) as caught:
        decode_entry(state="x" * 100_000)
    assert len(caught.value.reason) <= 200


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def mutated(document, replacement, seed):
    """Return a document with up to two of its values replaced or removed."""
    rng = random.Random(seed)
    changed = dict(document)
    for key in rng.sample(sorted(changed), rng.randint(0, 2)):
        if rng.random() < 0.3:
            del changed[key]
        else:
            changed[key] = replacement
    return json.dumps(changed).encode()


@given(st.binary() | st.text().map(str.encode) | json_values.map(json.dumps))
def test_arbitrary_bytes_are_decoded_or_unreadable(body):
    raw = body.encode() if isinstance(body, str) else body
    _decode_all(raw)


@given(
    st.sampled_from([ENDPOINT_ENTRY, NAMED_VERSION, CONFIGURATION]),
    json_values,
    st.integers(0, 1000),
)
def test_mutated_documents_are_decoded_or_unreadable(document, value, seed):
    _decode_all(mutated(document, value, seed))


@given(
    st.sampled_from([ENDPOINT_ENTRY, NAMED_VERSION, CONFIGURATION]),
    st.integers(0),
    st.binary(),
)
def test_documents_with_overwritten_bytes_are_decoded_or_unreadable(
    document, offset, overwriting_bytes
):
    raw = json.dumps(document).encode()
    offset %= len(raw)
    _decode_all(
        raw[:offset] + overwriting_bytes + raw[offset + len(overwriting_bytes) :]
    )


def _decode_all(body):
    for decode in (
        lambda raw: decode_endpoint("e", raw),
        decode_named_version,
        decode_configuration,
    ):
        try:
            decode(body)
        except UnreadableDocumentError as error:
            assert error.reason


TENANTS = [
    {"name": "north", "api_keys": ["n1", "n2"], "priority": 1},
    {"name": "south", "api_keys": []},
]
SCALING = {
    "min": 1,
    "max": 11,
    "boot_s": 4.0,
    "spot_price": 0.15,
    "zone_prices": {"north": 1.0, "south": 0.8},
}


def decode_configuration_with(**changes):
    return decode_configuration(json.dumps({**CONFIGURATION, **changes}).encode())


def test_workspace_keys_are_stored_as_digests():
    north, south = decode_configuration_with(tenants=TENANTS).workspaces
    assert (north.name, north.priority, len(north.keys)) == ("north", 1, 2)
    assert (south.name, south.priority, south.keys) == ("south", None, ())
    assert "n1" not in repr(north)


def test_a_missing_list_of_workspaces_differs_from_an_empty_one():
    """Without a list everybody may send requests, with an empty list nobody."""
    assert decode_configuration_with().workspaces is None
    assert decode_configuration_with(tenants=[]).workspaces == ()


@pytest.mark.parametrize(
    "tenants",
    [
        None,
        "north",
        {},
        [{}],
        [{"name": ""}],
        [{"name": "a", "api_keys": "k"}],
        [{"name": "a", "api_keys": [""]}],
        [{"name": "a", "api_keys": [5]}],
        [{"name": "a", "priority": -1}],
        [{"name": "a", "priority": "first"}],
        [{"name": "a"}, {"name": "a"}],
        [{"name": "a", "api_keys": ["secret"]}, {"name": "b", "api_keys": ["secret"]}],
    ],
)
def test_invalid_or_ambiguous_workspaces_are_unreadable(tenants):
    with pytest.raises(UnreadableDocumentError) as error:
        decode_configuration_with(tenants=tenants)
    assert "secret" not in error.value.reason


def test_scaling_bounds_and_prices_are_decoded():
    service = {**CONFIGURATION["services"][0], "scaling": SCALING}
    [found] = decode_configuration_with(services=[service]).services
    assert (found.scaling.least, found.scaling.most) == (1, 11)
    assert found.scaling.prices == {"north": 1.0, "south": 0.8}
    assert decode_configuration_with().services[0].scaling is None


@pytest.mark.parametrize(
    "changes",
    [
        {"min": -1},
        {"min": 12},
        {"max": "many"},
        {"zone_prices": {"north": -0.5}},
        {"zone_prices": []},
        {"zone_prices": ...},
        {"max": ...},
    ],
)
def test_invalid_scaling_bounds_and_prices_are_unreadable(changes):
    scaling = {**SCALING, **changes}
    kept = {key: value for key, value in scaling.items() if value is not ...}
    service = {**CONFIGURATION["services"][0], "scaling": kept}
    with pytest.raises(UnreadableDocumentError):
        decode_configuration_with(services=[service])


@pytest.mark.parametrize(
    "changes",
    [
        {"timeout_ms": -1},
        {"retention_s": -0.1},
        {"priority": -1},
        {"priority": 10**40},
        {"max_attempts": 2**63},
        {"backends": [{"service": "s", "weight": -1}, {"service": "t"}]},
        {"backends": [{"service": "s", "weight": 0}]},
        {"backends": [{"service": "s", "weight": 1e308}] * 2},
    ],
)
def test_a_route_with_odd_numbers_is_unreadable(changes):
    """Each request of a route whose weights add up to nothing got status 500."""
    route = {**CONFIGURATION["routes"][0], **changes}
    with pytest.raises(UnreadableDocumentError):
        decode_configuration_with(routes=[route])
    split = [{"service": "s", "weight": 0}, {"service": "t", "weight": 0.5}]
    decode_configuration_with(
        routes=[{**route, **dict.fromkeys(changes, 1), "backends": split}]
    )
