"""Loopback addresses that no other run of the tests uses at the same time."""

import itertools
import os

FIRST_PORT = 7500
"""Below the ports that the system gives out, and beside those of the rig."""

HOSTS = 254

_numbers = itertools.count()


def own_address() -> str:
    """Return an address of this process's own, never given twice."""
    port, host = divmod(next(_numbers), HOSTS)
    upper, lower = divmod(os.getpid(), HOSTS)
    return f"127.{1 + upper % HOSTS}.{1 + lower}.{1 + host}:{FIRST_PORT + port}"
