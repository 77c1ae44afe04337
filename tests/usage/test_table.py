"""Usage windows in the form shown to operators."""

from bankrudder.usage import WindowState, WindowSummary, summarize_windows


def test_each_window_is_shown_with_its_state():
    settled = [
        WindowSummary(10, WindowState.REPORTED, {"north": 3}),
        WindowSummary(11, WindowState.REJECTED, {}),
        WindowSummary(13, WindowState.SETTLED, {"south": 1}),
    ]
    counting = {13: {"south": 9}, 14: {"north": 2}}
    assert summarize_windows(settled, counting, 10) == [
        WindowSummary(10, WindowState.REPORTED, {"north": 3}),
        WindowSummary(11, WindowState.REJECTED, {}),
        WindowSummary(12, WindowState.MISSING, {}),
        WindowSummary(13, WindowState.SETTLED, {"south": 1}),
        WindowSummary(14, WindowState.COUNTING, {"north": 2}),
    ]


def test_only_the_newest_windows_are_shown():
    settled = [WindowSummary(n, WindowState.REPORTED, {}) for n in range(100)]
    assert [line.window for line in summarize_windows(settled, {}, 3)] == [97, 98, 99]


def test_without_any_window_there_is_nothing_to_show():
    assert summarize_windows([], {}, 5) == []
