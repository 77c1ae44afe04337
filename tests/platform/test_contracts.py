"""Settings that the parts of the platform's contract call for."""

import json

import pytest

from bankrudder.node import OverloadSettings, parse_settings
from bankrudder.platform._contracts import complete_settings

REQUIRED = {
    "host": "a",
    "data_centre": "north",
    "callers_address": "127.0.0.1:8161",
    "readiness_address": "127.0.0.1:8167",
    "store": {"address": "127.0.0.1:8169"},
}


def settings(**given):
    return parse_settings(json.dumps(REQUIRED | given).encode())


@pytest.mark.parametrize(
    ("given", "overload"),
    [
        ({}, None),
        ({"contracts": ["base", "drain"]}, None),
        ({"contracts": ["base", "pressure"]}, OverloadSettings()),
        (
            {"contracts": ["pressure"], "overload": {"plans_steps": False}},
            OverloadSettings(plans_steps=False),
        ),
    ],
)
def test_pressure_calls_for_the_decisions_for_scarce_capacity(given, overload):
    assert complete_settings(settings(**given)).overload == overload
