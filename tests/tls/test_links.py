"""TLS: which peers the gRPC and the monitoring listener accept."""

import asyncio

import aiohttp
import grpc.aio
import msgspec
import pytest

from bankrudder.client import channel_credentials
from bankrudder.exceptions import InvalidError
from bankrudder.observe import Metrics, MonitoringServer
from bankrudder.rpc import server_credentials
from bankrudder.tls import http_server_context
from bankrudder.world import Address, HostId
from tls.certificates import LOOPBACK, Authority, client_context, client_tls_settings


@pytest.fixture
def authority(tmp_path):
    return Authority(tmp_path / "ours")


@pytest.fixture
def foreign_settings(tmp_path, authority):
    """Settings that trust `authority` but whose certificate another one signed."""
    return Authority(tmp_path / "other").settings(authority=authority)


@pytest.mark.parametrize("field", ["certificate", "key", "ca"])
def test_an_unreadable_file_is_reported_with_its_setting(authority, field):
    settings = msgspec.structs.replace(
        authority.settings(), **{field: str(authority.folder / "missing")}
    )
    for make in (server_credentials, http_server_context):
        with pytest.raises(InvalidError) as caught:
            make(settings)
        assert caught.value.failure.field == f"tls.{field}"


async def echo_over_grpc(server_settings, client_settings):
    async def echo(request, context):
        return request

    method = grpc.unary_unary_rpc_method_handler(echo)
    server = grpc.aio.server()
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler("test.Echo", {"Echo": method}),)
    )
    credentials = server_credentials(server_settings)
    port = server.add_secure_port(f"{LOOPBACK}:0", credentials)
    await server.start()
    target = f"{LOOPBACK}:{port}"
    try:
        async with grpc.aio.secure_channel(
            target, channel_credentials(client_tls_settings(client_settings))
        ) as channel:
            return await channel.unary_unary("/test.Echo/Echo")(b"hello", timeout=10)
    finally:
        await server.stop(None)


async def test_a_caller_with_a_trusted_certificate_is_served(authority):
    settings = authority.settings()
    assert await echo_over_grpc(settings, settings) == b"hello"


async def test_a_caller_with_an_untrusted_certificate_is_refused(
    authority, foreign_settings
):
    with pytest.raises(grpc.aio.AioRpcError) as caught:
        await echo_over_grpc(authority.settings(), foreign_settings)
    assert caught.value.code() is grpc.StatusCode.UNAVAILABLE


async def test_a_caller_without_certificate_is_served_without_mutual_tls(authority):
    plain = authority.settings(mutual=False)
    assert await echo_over_grpc(plain, plain) == b"hello"


async def test_monitoring_is_served_over_tls(authority, foreign_settings):
    settings = authority.settings()
    server = MonitoringServer.from_config(
        Address(f"{LOOPBACK}:0"),
        Metrics.from_config(HostId("h1")),
        lambda: True,
        http_server_context(settings),
    )
    await server.start()
    url = f"https://{server.address}/healthz"
    async with aiohttp.ClientSession() as session:
        async with session.get(url, ssl=client_context(settings)) as response:
            assert response.status == 200
        with pytest.raises((aiohttp.ClientError, asyncio.TimeoutError)):
            await session.get(url, ssl=client_context(foreign_settings))
    await server.stop()
