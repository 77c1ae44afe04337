"""Answers that an engine sends without being asked never get into a text."""

import pytest

from outside.site import Site, check_results


@pytest.fixture
async def site(tmp_path):
    site = Site(tmp_path, hosts=1, engines=1)
    try:
        yield await site.start()
    finally:
        await site.stop()


# Guards against texts that begin in the middle: a second answer to the earlier run of a
# sample was taken as the answer to its next run, on the same connection.
async def test_a_second_answer_is_not_the_answer_to_the_next_run_of_a_sample(site):
    [engine] = site.engines
    engine.second_answer_after_s = 0.02
    [host] = site.hosts
    await site.submit(host, "b1")
    check_results(await site.read_all("b1", 8), "b1", 8)
    assert await site.end(host, "b1") == 200
    assert await site.submit(host, "b2", names="b1") == 202
    check_results(await site.read_all("b2", 8), "b1", 8)
