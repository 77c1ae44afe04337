"""Whose request it is, decided from its key alone."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bankrudder.workspaces import (
    Admitted,
    ApiKey,
    Denial,
    DuplicateKeyError,
    KeyIndex,
    Refusal,
    WorkspaceKeys,
    parse_bearer,
)

SECRET = "9m82thhkmgjqnirth5mg"


def workspace(name, *secrets, priority=None):
    return WorkspaceKeys(name, tuple(ApiKey(each).digest for each in secrets), priority)


INDEX = KeyIndex([workspace("north", SECRET, "second"), workspace("south", "third")])


@pytest.mark.parametrize(
    ("secret", "is_public", "decision"),
    [
        (SECRET, False, Admitted("north")),
        ("second", False, Admitted("north")),
        ("third", False, Admitted("south")),
        ("third", True, Admitted("south")),
        ("unknown", False, Denial(Refusal.UNKNOWN_KEY)),
        ("unknown", True, Admitted()),
        (None, False, Denial(Refusal.NO_KEY)),
        (None, True, Admitted()),
    ],
)
def test_a_key_tells_whose_request_it_is(secret, is_public, decision):
    key = None if secret is None else ApiKey(secret)
    assert INDEX.admit(key, is_public=is_public) == decision


def test_without_any_workspace_nobody_is_admitted():
    assert KeyIndex([]).admit(ApiKey(SECRET), is_public=False) == Denial(
        Refusal.UNKNOWN_KEY
    )


def test_a_workspace_may_have_lost_all_its_keys():
    index = KeyIndex([workspace("north"), workspace("south", "third")])
    assert index.admit(ApiKey("third"), is_public=False) == Admitted("south")


@pytest.mark.parametrize(
    "workspaces",
    [
        [workspace("north", SECRET), workspace("south", SECRET)],
        [workspace("north", "first"), workspace("north", "second")],
    ],
)
def test_what_cannot_be_told_apart_is_refused(workspaces):
    with pytest.raises(DuplicateKeyError) as error:
        KeyIndex(workspaces)
    assert SECRET not in str(error.value)


def test_a_key_that_stands_twice_at_one_workspace_does_no_harm():
    index = KeyIndex([workspace("north", SECRET, SECRET)])
    assert index.admit(ApiKey(SECRET), is_public=False) == Admitted("north")


def test_no_text_of_a_key_shows_it():
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
def test_the_credentials_of_a_request(values, secret):
    key = parse_bearer(values)
    assert (key and key.digest) == (secret and ApiKey(secret).digest)


@given(st.text(st.characters(codec="latin-1") | st.just("\udcff")))
def test_any_header_is_a_key_or_none(value):
    key = parse_bearer([value])
    assert key is None or INDEX.admit(key, is_public=False) is not None
