"""The parts of a process together use no more than it has."""

from hypothesis import given
from hypothesis import strategies as st

from bankrudder.memory import ProcessLimits
from bankrudder.memory._process_limits import (
    ASSUMED_MEMORY_MB,
    BYTES_PER_MB,
    CONNECTION_BYTES,
    OWN_DESCRIPTORS,
    PROCESS_MB,
)

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


def test_a_tiny_process_still_serves_requests():
    limits = ProcessLimits.from_config(10, 10)
    assert limits.caller_connections > 0
    assert limits.endpoint_connections > 0
    assert limits.data_bytes > 0


def test_unknown_memory_has_an_assumed_size():
    assert ProcessLimits.from_config(None, 4096) == ProcessLimits.from_config(
        ASSUMED_MEMORY_MB, 4096
    )
