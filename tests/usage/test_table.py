"""Usage windows in the form shown to operators."""

from bankrudder.usage import UsageLine, WindowState, usage_lines


def test_each_window_is_shown_with_its_state():
    settled = [
        UsageLine(10, WindowState.REPORTED, {"north": 3}),
        UsageLine(11, WindowState.REJECTED, {}),
        UsageLine(13, WindowState.SETTLED, {"south": 1}),
    ]
    counting = {13: {"south": 9}, 14: {"north": 2}}
    assert usage_lines(settled, counting, 10) == [
        UsageLine(10, WindowState.REPORTED, {"north": 3}),
        UsageLine(11, WindowState.REJECTED, {}),
        UsageLine(12, WindowState.MISSING, {}),
        UsageLine(13, WindowState.SETTLED, {"south": 1}),
        UsageLine(14, WindowState.COUNTING, {"north": 2}),
    ]


def test_only_the_newest_windows_are_shown():
    settled = [UsageLine(n, WindowState.REPORTED, {}) for n in range(100)]
    assert [line.window for line in usage_lines(settled, {}, 3)] == [97, 98, 99]


def test_without_any_window_there_is_nothing_to_show():
    assert usage_lines([], {}, 5) == []
