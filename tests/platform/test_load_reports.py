"""The load that endpoints report with their answers."""

import pytest

from bankrudder.fleet import ReportedLoad
from bankrudder.platform._load_reports import (
    MAX_REQUEST_COUNT,
    MAX_SLOWDOWN_PERCENT,
    decode_load,
)


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,0,8", ReportedLoad(3, 0, 8)),
        ("3, 2 ,8", ReportedLoad(3, 2, 8)),
        ("3,0,8,100", ReportedLoad(3, 0, 8, 1.0)),
        ("0, 0, 6, 250", ReportedLoad(0, 0, 6, 2.5)),
        (f"6,18,6,{MAX_SLOWDOWN_PERCENT}", ReportedLoad(6, 18, 6, 100.0)),
    ],
)
def test_a_report_has_three_or_four_figures(text, load):
    assert decode_load(text) == load


@pytest.mark.parametrize(
    "text",
    [
        "",
        "3",
        "3,0",
        "3,0,8,",
        "3,0,8,100,1",
        "-3,0,8",
        "3,0,8,1.5",
        "3 0,0,8",
        "a,b,c",
        "²,0,8",  # a digit by its Unicode category, but not a number
        "٣,0,8",
        "3,0,0",
        "3,0,8,0",
        f"3,0,8,{MAX_SLOWDOWN_PERCENT + 1}",
        f"{MAX_REQUEST_COUNT},1,8",
        "9" * 5000 + ",0,8",
    ],
)
def test_an_invalid_report_is_none(text):
    assert decode_load(text) is None
