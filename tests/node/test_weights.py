"""Engines load the named model version, also after lost and late orders."""

import asyncio

from outside.site import check_results, until


async def test_all_engines_load_a_named_version_once(site):
    site.name_version(2)
    await until(lambda: all(engine.version == 2 for engine in site.engines))
    await asyncio.sleep(0.5)
    assert [engine.orders_taken for engine in site.engines] == [1, 1]
    orders = [order for engine in site.engines for order in engine.orders]
    assert len({order["holder"] for order in orders}) == 1
    assert len({order["fence"] for order in orders}) == 1


async def test_an_order_whose_reply_was_lost_is_carried_out_once(site):
    site.engines[0].lose_order_replies = 1
    site.name_version(2)
    await until(lambda: all(engine.version == 2 for engine in site.engines))
    await asyncio.sleep(0.5)
    assert site.engines[0].orders_taken == 1


async def test_an_order_that_is_carried_out_late_changes_nothing(site):
    site.engines[0].delay_orders = 1
    site.name_version(2)
    await until(lambda: all(engine.version == 2 for engine in site.engines))
    assert await site.engines[0].apply_delayed() == [409]


async def test_another_host_gives_orders_when_the_holder_is_killed(site):
    site.name_version(2)
    await until(lambda: all(engine.version == 2 for engine in site.engines))
    holder = site.engines[0].orders[-1]["holder"]
    fence = site.engines[0].orders[-1]["fence"]
    await next(host for host in site.hosts if host.name == holder).kill()
    site.name_version(3)
    await until(lambda: all(engine.version == 3 for engine in site.engines), 15.0)
    last = site.engines[0].orders[-1]
    assert last["holder"] != holder
    assert last["fence"] > fence


async def test_a_batch_waits_for_the_version_that_it_needs(site):
    await site.submit(site.hosts[0], "b1", min_version=2)
    await asyncio.sleep(0.3)
    site.name_version(2)
    results = await site.read_all("b1", 8)
    check_results(results, "b1", 8)
    assert all(each["versions"] == [2] for each in results)
