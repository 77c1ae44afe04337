"""Loopback addresses that no test run in parallel uses."""

import itertools
import os

FIRST_PORT = 7500
"""Below the system's ephemeral ports, and apart from the ports of the test rig."""

OCTET_VALUES = 254
"""Number of values, from 1 to 254, that an octet of an address takes."""

_numbers = itertools.count()


def unique_address() -> str:
    """Return an address that is unique to this process and to this call."""
    port, host = divmod(next(_numbers), OCTET_VALUES)
    upper, lower = divmod(os.getpid(), OCTET_VALUES)
    return f"127.{1 + upper % OCTET_VALUES}.{1 + lower}.{1 + host}:{FIRST_PORT + port}"
