"""The parts of a process together use no more than it has."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bankrudder.memory import MemoryBudget, ProcessLimits
from bankrudder.memory._process_limits import (
    ASSUMED_MEMORY_MB,
    BYTES_PER_MB,
    CONNECTION_BYTES,
    OWN_DESCRIPTORS,
    PROCESS_MB,
)

LARGEST_BODY_BYTES = 32 << 20
"""Largest body that callers may send by default."""

SMALLEST_MB = 128
"""Memory of the smallest hosts that are in use."""


@given(st.floats(SMALLEST_MB, 1 << 16), st.integers(256, 1 << 20))
def test_the_parts_add_up_to_less_than_the_process_has(memory_mb, max_descriptors):
    limits = ProcessLimits.from_config(memory_mb, max_descriptors)
    memory_bytes = (
        PROCESS_MB * BYTES_PER_MB
        + limits.caller_connections * CONNECTION_BYTES
        + limits.data_bytes
    )
    assert memory_bytes <= memory_mb * BYTES_PER_MB
    connections = limits.caller_connections + limits.endpoint_connections
    assert OWN_DESCRIPTORS + connections <= max_descriptors


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
