"""Fixture: a site whose hosts serve the gRPC interface."""

import pytest

from outside.rpc_interface import DATA_CENTRES, RPC, apply
from outside.site import Site


@pytest.fixture
async def site(tmp_path):
    """Three hosts in two data centres, with a configuration in force."""
    site = Site(tmp_path, data_centres=DATA_CENTRES, rpc=RPC)
    try:
        await site.start()
        assert (await apply(site)).accepted
        yield site
    finally:
        await site.stop()
