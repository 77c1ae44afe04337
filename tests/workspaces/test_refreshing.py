"""Looks for unknown keys are bounded in rate."""

from bankrudder.workspaces import UnknownKeyRefresh


def test_the_first_look_may_begin_at_once(manual_clock):
    assert UnknownKeyRefresh(lambda: 0.2, manual_clock).due_in_s() == 0


def test_a_flood_of_unknown_keys_gets_one_look_in_each_pause(manual_clock):
    pace = UnknownKeyRefresh(lambda: 0.2, manual_clock)
    looks = 0
    for _ in range(1000):
        if pace.due_in_s() == 0:
            pace.begin()
            looks += 1
        manual_clock.advance(0.01)
    assert 45 <= looks <= 51


def test_the_pause_follows_the_fleet(manual_clock):
    pauses = [0.2]
    pace = UnknownKeyRefresh(lambda: pauses[0], manual_clock)
    pace.begin()
    pauses[0] = 2.0
    manual_clock.advance(0.5)
    assert pace.due_in_s() == 1.5
