"""An order that all hosts draw alike, and draw anew only when the hosts change."""

from bankrudder.presence import DrawnOrder, draw

HOSTS = {f"h{number}" for number in range(20)}


def test_the_order_is_that_of_the_draws():
    order = DrawnOrder("duty").of(HOSTS)
    assert list(order) == sorted(HOSTS, key=lambda host: draw("duty", host))
    assert list(DrawnOrder("other").of(HOSTS)) != list(order)


def test_the_order_is_kept_while_the_hosts_are_the_same():
    drawn = DrawnOrder("duty")
    seen = dict.fromkeys(HOSTS)
    order = drawn.of(seen.keys())
    assert drawn.of(seen.keys()) is order
    del seen["h3"]
    assert "h3" not in drawn.of(seen.keys())
    seen["h99"] = None
    assert "h99" in drawn.of(seen.keys())
