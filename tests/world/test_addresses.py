"""Addresses are accepted only if a connection to them can be tried."""

import pytest

from bankrudder.world import address_error, host_and_port


@pytest.mark.parametrize(
    ("address", "host", "port"),
    [
        ("10.0.0.1:1", "10.0.0.1", 1),
        ("10.0.0.1:65535", "10.0.0.1", 65535),
        ("[::1]:7000", "::1", 7000),
        ("[::FFFF:10.0.0.1]:7000", "::FFFF:10.0.0.1", 7000),
    ],
)
def test_a_valid_address_has_a_host_and_a_port(address, host, port):
    assert address_error(address) == ""
    assert host_and_port(address) == (host, port)


@pytest.mark.parametrize("port", ["0", "65536", "99999", "9" * 5000, "0" * 5000 + "1"])
def test_a_port_out_of_range_is_invalid(port):
    """A port of 5000 digits raised an error instead of being refused."""
    assert address_error(f"10.0.0.1:{port}") == "the port must be from 1 to 65535"


@pytest.mark.parametrize(
    "address",
    [
        "",
        ":",
        ":80",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:-1",
        "10.0.0.1:+1",
        "10.0.0.1: 1",
        "10.0.0.1:1 ",
        "10.0.0.1:1\n",
        "10.0.0.1:\u0663",
        "10.0.0.1:\u00b2",
        "10.0.0:80",
        "10.0.0.256:80",
        "1\u0660.0.0.1:80",
        "[10.0.0.1]:80",
        "]10.0.0.1[:80",
        "::1:80",
        "[::1:80",
        "[::1]80",
        "[fe80::1%a b]:80",
        "host.example:80",
        "a b:80",
        "user@10.0.0.1:80",
        "10.0.0.1:80/path",
        "10.0.0.1\r\nX: y:80",
        "x" * 300 + ":80",
    ],
)
def test_anything_else_is_invalid(address):
    assert address_error(address)
