"""The HTTP server for monitoring."""

import aiohttp
import pytest

from bankrudder.observe import Metrics, MonitoringServer
from bankrudder.world import Address, HostId

ANY_PORT = Address("127.0.0.1:0")


@pytest.fixture
def ready_states():
    """States that the node has reported; the last one is current."""
    return [True]


@pytest.fixture
async def server(ready_states):
    metrics = Metrics.from_config(HostId("h1"))
    server = MonitoringServer.from_config(ANY_PORT, metrics, lambda: ready_states[-1])
    await server.start()
    yield server
    await server.stop()


async def get(server, path):
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{server.address}{path}") as response,
    ):
        return response.status, await response.text()


async def test_metrics_are_served(server):
    status, text = await get(server, "/metrics")
    assert status == 200
    assert "bankrudder_memory_bytes" in text


async def test_a_node_that_is_not_ready_is_still_healthy(server, ready_states):
    assert (await get(server, "/readyz"))[0] == 200
    ready_states.append(False)
    assert (await get(server, "/readyz"))[0] == 503
    assert (await get(server, "/healthz"))[0] == 200


async def test_an_address_in_use_is_an_error_and_a_second_stop_is_not(
    server, ready_states
):
    metrics = Metrics.from_config(HostId("h2"))
    second = MonitoringServer.from_config(server.address, metrics, lambda: True)
    with pytest.raises(OSError):
        await second.start()
    await second.stop()
    await server.stop()
    await server.stop()
