"""Configuration refreshes for unknown keys are limited in rate."""

from bankrudder.workspaces import UnknownKeyRefreshLimiter


def test_the_first_refresh_may_start_at_once(manual_clock):
    assert UnknownKeyRefreshLimiter(lambda: 0.2, manual_clock).due_in_s() == 0


def test_a_flood_of_unknown_keys_causes_one_refresh_per_pause(manual_clock):
    limiter = UnknownKeyRefreshLimiter(lambda: 0.2, manual_clock)
    refresh_count = 0
    for _ in range(1000):
        if limiter.due_in_s() == 0:
            limiter.begin()
            refresh_count += 1
        manual_clock.advance(0.01)
    assert 45 <= refresh_count <= 51


def test_a_changed_pause_applies_at_once(manual_clock):
    pauses = [0.2]
    limiter = UnknownKeyRefreshLimiter(lambda: pauses[0], manual_clock)
    limiter.begin()
    pauses[0] = 2.0
    manual_clock.advance(0.5)
    assert limiter.due_in_s() == 1.5
