"""Settings of the C library's allocator."""

import ctypes

TRIM_THRESHOLD = -1
MMAP_THRESHOLD = -3
"""Parameters of ``mallopt`` of the GNU C library."""

THRESHOLD_BYTES = 128 << 10
"""Size from which blocks are mapped by themselves, and of the free memory that is kept
at the end of the heap."""


def return_freed_blocks() -> bool:
    """Make the allocator return large blocks to the system as soon as they are freed.

    By default the GNU C library raises its thresholds when large blocks are freed, and
    then keeps tens of megabytes. Mapped blocks also grow without being copied.

    Returns
    -------
    bool
        Whether the C library has these settings.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    is_trim_set = mallopt(TRIM_THRESHOLD, THRESHOLD_BYTES)
    is_mmap_set = mallopt(MMAP_THRESHOLD, THRESHOLD_BYTES)
    return bool(is_trim_set and is_mmap_set)
