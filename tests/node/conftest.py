import pytest

from outside.site import Site


@pytest.fixture
async def site(tmp_path):
    site = Site(tmp_path)
    try:
        yield await site.start()
    finally:
        await site.stop()
