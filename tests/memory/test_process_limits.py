"""The parts of a process together use no more than it has."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bankrudder.memory import MemoryBudget, ProcessLimits
from bankrudder.memory._process_limits import (
    ASSUMED_MEMORY_MB,
    BYTES_PER_MB,
    CALLER_CONNECTION_BYTES,
    ENDPOINT_CONNECTION_BYTES,
    OWN_DESCRIPTORS,
    PROCESS_MB,
    RPC_MB,
)

LARGEST_BODY_BYTES = 32 << 20
"""Largest body that callers may send by default."""

SMALLEST_MB = 128
"""Memory of the smallest hosts that are in use."""


SMALLEST_RPC_MB = 256
"""Memory of the smallest hosts with the gRPC interface."""


@pytest.mark.parametrize(
    ("smallest_mb", "rpc_mb"), [(SMALLEST_MB, 0.0), (SMALLEST_RPC_MB, RPC_MB)]
)
@given(st.data(), st.integers(256, 1 << 20))
def test_the_parts_add_up_to_less_than_the_process_has(
    smallest_mb, rpc_mb, data, max_descriptors
):
    memory_mb = data.draw(st.floats(smallest_mb, 1 << 16))
    limits = ProcessLimits.from_config(
        memory_mb, max_descriptors, has_rpc=bool(rpc_mb), has_feeds=True
    )
    callers = limits.caller_connections + limits.rpc_connections
    memory_bytes = (
        (PROCESS_MB + rpc_mb) * BYTES_PER_MB
        + callers * CALLER_CONNECTION_BYTES
        + limits.endpoint_connections * ENDPOINT_CONNECTION_BYTES
        + limits.data_bytes
    )
    assert memory_bytes <= memory_mb * BYTES_PER_MB
    hosts = limits.endpoint_connections + limits.subscribers
    assert OWN_DESCRIPTORS + callers + hosts <= max_descriptors
    assert (limits.rpc_connections > 0) == bool(rpc_mb)


@pytest.mark.parametrize("memory_mb", [SMALLEST_MB, 170, 552])
def test_the_largest_body_fits_and_leaves_room_for_an_answer(memory_mb, manual_clock):
    limits = ProcessLimits.from_config(memory_mb, 4096)
    budget = MemoryBudget.from_config(limits, manual_clock)
    assert budget.max_transfer_bytes >= LARGEST_BODY_BYTES
    assert budget.limit_bytes - LARGEST_BODY_BYTES >= 4 << 20


def test_a_tiny_process_still_serves_requests():
    limits = ProcessLimits.from_config(10, 10)
    assert limits.caller_connections > 0
    assert limits.endpoint_connections > 0
    assert limits.data_bytes > 0


def test_unknown_memory_has_an_assumed_size():
    assert ProcessLimits.from_config(None, 4096) == ProcessLimits.from_config(
        ASSUMED_MEMORY_MB, 4096
    )
