"""The order of hosts depends only on the name, and is sorted again only on a change."""

from bankrudder.presence import RendezvousOrder, rendezvous_hash

HOSTS = {f"h{number}" for number in range(20)}


def test_hosts_are_ordered_by_their_hash():
    order = RendezvousOrder("duty").of(HOSTS)
    assert list(order) == sorted(HOSTS, key=lambda host: rendezvous_hash("duty", host))
    assert list(RendezvousOrder("other").of(HOSTS)) != list(order)


def test_the_order_is_cached_while_the_hosts_are_the_same():
    order_cache = RendezvousOrder("duty")
    seen = dict.fromkeys(HOSTS)
    order = order_cache.of(seen.keys())
    assert order_cache.of(seen.keys()) is order
    del seen["h3"]
    assert "h3" not in order_cache.of(seen.keys())
    seen["h99"] = None
    assert "h99" in order_cache.of(seen.keys())
