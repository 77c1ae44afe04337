"""Replies of the store that come late do not begin work that was done meanwhile."""

import pytest

from outside.site import Site, check_results

ACCEPTANCE_DELAY_S = 0.6
"""Longer than the batch takes, and shorter than the timeout of a call."""


@pytest.fixture
async def site(tmp_path):
    site = Site(tmp_path, hosts=1)
    try:
        yield await site.start()
    finally:
        await site.stop()


# Guards against results that are replaced: a host had read in the feed that it owns a
# batch, and had listed it, and began it again at the reply to its acceptance.
async def test_a_late_reply_to_an_acceptance_does_not_begin_the_batch_again(site):
    [host] = site.hosts
    assert await site.submit(host, "b0") == 202
    check_results(await site.read_all("b0", 8), "b0", 8)
    host.gate.late_replies["batches"] = ACCEPTANCE_DELAY_S
    assert await site.submit(host, "b1") == 202
    results = await site.read_all("b1", 8)
    check_results(results, "b1", 8)
    assert await site.submit(host, "b2") == 202
    check_results(await site.read_all("b2", 8), "b2", 8)
    assert await site.read_all("b1", 8) == results
    begun = [
        line["batch"]
        for line in host.log_lines()
        if line["event"] == "batches: work begins"
    ]
    assert begun == ["b0", "b1", "b2"]
