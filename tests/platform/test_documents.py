"""Documents of other writers are whole ones of their kind, or unreadable."""

import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bankrudder.fleet import Readiness
from bankrudder.node import UnreadableDocumentError
from bankrudder.platform._documents import (
    decode_configuration,
    decode_endpoint,
    decode_named_version,
)

ENTRY = {
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
NAMED = {"model": "m", "version": 2}
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


def entry(**changes):
    document = {**ENTRY, **changes}
    kept = {key: value for key, value in document.items() if value is not ...}
    return decode_endpoint("e", json.dumps(kept).encode())


def test_a_whole_entry():
    endpoint = entry()
    assert endpoint.slots == 6
    assert endpoint.born == 1764720000000
    assert endpoint.version_of("m") == 1
    assert entry(state="draining").readiness is Readiness.DRAINING


def test_an_entry_without_a_birth_is_a_good_one():
    assert entry(born=...).born is None


def test_fields_that_are_not_known_are_passed_over():
    assert entry(colour="red") == entry()


@pytest.mark.parametrize("born", [None, "5", 5.5, True, [5], {}])
def test_a_birth_that_is_no_whole_number_makes_an_entry_unreadable(born):
    with pytest.raises(UnreadableDocumentError):
        entry(born=born)


@pytest.mark.parametrize(
    "field",
    [field for field in ENTRY if field not in ("stage", "models", "born")],
)
def test_an_entry_that_lacks_a_field_is_unreadable(field):
    with pytest.raises(UnreadableDocumentError):
        entry(**{field: ...})
    with pytest.raises(UnreadableDocumentError):
        entry(**{field: [1]})


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "warming"},
        {"slot_count": 0},
        {"slot_count": "6"},
        {"address": "nowhere"},
        {"address": ""},
        {"service": ""},
        {"models": {}},
        {"models": [{"name": "m", "version": "1"}]},
    ],
)
def test_an_entry_with_a_value_of_no_use_is_unreadable(changes):
    with pytest.raises(UnreadableDocumentError):
        entry(**changes)


@pytest.mark.parametrize(
    "body", [b"", b"\xff\xfe", b"null", b"[]", b"{", b"[" * 100_000, b'{"service":']
)
def test_bytes_that_are_no_document_are_unreadable(body):
    for decode in (
        lambda body: decode_endpoint("e", body),
        decode_named_version,
        decode_configuration,
    ):
        with pytest.raises(UnreadableDocumentError):
            decode(body)


def test_a_reason_is_short_whatever_another_writer_wrote():
    with pytest.raises(UnreadableDocumentError) as caught:
        entry(state="x" * 100_000)
    assert len(caught.value.reason) <= 200


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def mutated(document, draw_value, seed):
    """Return a document with some of its values replaced or left out."""
    rng = random.Random(seed)
    changed = dict(document)
    for key in rng.sample(sorted(changed), rng.randint(0, 2)):
        if rng.random() < 0.3:
            del changed[key]
        else:
            changed[key] = draw_value
    return json.dumps(changed).encode()


@given(st.binary() | st.text().map(str.encode) | json_values.map(json.dumps))
def test_any_bytes_are_a_document_or_unreadable(body):
    raw = body.encode() if isinstance(body, str) else body
    _decode_all(raw)


@given(
    st.sampled_from([ENTRY, NAMED, CONFIGURATION]), json_values, st.integers(0, 1000)
)
def test_mutated_documents_are_whole_or_unreadable(document, value, seed):
    _decode_all(mutated(document, value, seed))


@given(st.sampled_from([ENTRY, NAMED, CONFIGURATION]), st.integers(0), st.binary())
def test_documents_with_spoilt_bytes_are_whole_or_unreadable(document, at, spoilt):
    raw = json.dumps(document).encode()
    at %= len(raw)
    _decode_all(raw[:at] + spoilt + raw[at + len(spoilt) :])


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


def configured(**changes):
    return decode_configuration(json.dumps({**CONFIGURATION, **changes}).encode())


def test_workspaces_are_known_by_the_digests_of_their_keys():
    north, south = configured(tenants=TENANTS).workspaces
    assert (north.name, north.priority, len(north.keys)) == ("north", 1, 2)
    assert (south.name, south.priority, south.keys) == ("south", None, ())
    assert "n1" not in repr(north)


def test_without_workspaces_everybody_may_send_and_with_none_nobody():
    assert configured().workspaces is None
    assert configured(tenants=[]).workspaces == ()


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
def test_workspaces_that_nobody_can_tell_apart_are_unreadable(tenants):
    with pytest.raises(UnreadableDocumentError) as error:
        configured(tenants=tenants)
    assert "secret" not in error.value.reason


def test_how_many_endpoints_may_be_ordered():
    service = {**CONFIGURATION["services"][0], "scaling": SCALING}
    [found] = configured(services=[service]).services
    assert (found.scaling.least, found.scaling.most) == (1, 11)
    assert found.scaling.prices == {"north": 1.0, "south": 0.8}
    assert configured().services[0].scaling is None


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
def test_bounds_and_prices_that_make_no_sense_are_unreadable(changes):
    scaling = {**SCALING, **changes}
    kept = {key: value for key, value in scaling.items() if value is not ...}
    service = {**CONFIGURATION["services"][0], "scaling": kept}
    with pytest.raises(UnreadableDocumentError):
        configured(services=[service])
