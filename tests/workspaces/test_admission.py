"""The workspace of a request is determined by the request's key alone."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bankrudder.workspaces import (
    Admitted,
    ApiKey,
    Denial,
    DenialReason,
    DuplicateKeyError,
    KeyIndex,
    WorkspaceKeys,
    parse_bearer,
)

SECRET = "9m82thhkmgjqnirth5mg"


def make_workspace(name, *secrets, priority=None):
    return WorkspaceKeys(name, tuple(ApiKey(each).digest for each in secrets), priority)


KEY_INDEX = KeyIndex(
    [make_workspace("north", SECRET, "second"), make_workspace("south", "third")]
)


@pytest.mark.parametrize(
    ("secret", "is_public", "decision"),
    [
        (SECRET, False, Admitted("north")),
        ("second", False, Admitted("north")),
        ("third", False, Admitted("south")),
        ("third", True, Admitted("south")),
        ("unknown", False, Denial(DenialReason.UNKNOWN_KEY)),
        ("unknown", True, Admitted()),
        (None, False, Denial(DenialReason.NO_KEY)),
        (None, True, Admitted()),
    ],
)
def test_a_request_is_admitted_for_the_workspace_of_its_key(
    secret, is_public, decision
):
    key = None if secret is None else ApiKey(secret)
    assert KEY_INDEX.admit(key, is_public=is_public) == decision


def test_no_key_is_admitted_without_workspaces():
    assert KeyIndex([]).admit(ApiKey(SECRET), is_public=False) == Denial(
        DenialReason.UNKNOWN_KEY
    )


def test_a_workspace_may_have_no_keys():
    index = KeyIndex([make_workspace("north"), make_workspace("south", "third")])
    assert index.admit(ApiKey("third"), is_public=False) == Admitted("south")


@pytest.mark.parametrize(
    "workspaces",
    [
        [make_workspace("north", SECRET), make_workspace("south", SECRET)],
        [make_workspace("north", "first"), make_workspace("north", "second")],
    ],
)
def test_duplicate_names_and_shared_keys_are_rejected(workspaces):
    with pytest.raises(DuplicateKeyError) as error:
        KeyIndex(workspaces)
    assert SECRET not in str(error.value)


def test_a_key_repeated_within_one_workspace_is_accepted():
    index = KeyIndex([make_workspace("north", SECRET, SECRET)])
    assert index.admit(ApiKey(SECRET), is_public=False) == Admitted("north")


def test_no_text_form_of_a_key_contains_the_secret():
    key = ApiKey(SECRET)
    assert SECRET not in f"{key} {key!r} {[key]} {key.digest!r} {vars(KeyIndex)}"


@pytest.mark.parametrize(
    ("values", "secret"),
    [
        ([f"Bearer {SECRET}"], SECRET),
        ([f"bearer   {SECRET} "], SECRET),
        (["BEARER x"], "x"),
        ([], None),
        ([""], None),
        (["Bearer"], None),
        (["Bearer "], None),
        ([f"Basic {SECRET}"], None),
        ([SECRET], None),
        ([f"Bearer {SECRET}", "Bearer other"], None),
        ([f"Bearer {SECRET}", f"Bearer {SECRET}"], None),
    ],
)
def test_parsing_the_credentials_of_a_request(values, secret):
    key = parse_bearer(values)
    assert (key and key.digest) == (secret and ApiKey(secret).digest)


@given(st.text(st.characters(codec="latin-1") | st.just("\udcff")))
def test_any_header_value_can_be_parsed_and_decided(value):
    key = parse_bearer([value])
    assert key is None or KEY_INDEX.admit(key, is_public=False) is not None


def test_the_priority_of_a_workspace_goes_with_its_requests():
    north = WorkspaceKeys("north", (ApiKey(SECRET).digest,), priority=1)
    south = WorkspaceKeys("south", (ApiKey("third").digest,))
    index = KeyIndex((north, south))
    assert index.admit(ApiKey(SECRET), is_public=False) == Admitted("north", 1)
    assert index.admit(ApiKey("third"), is_public=False).priority is None
