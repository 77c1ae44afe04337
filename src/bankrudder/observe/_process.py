"""Resource usage of this process: memory, processor time and open files."""

import os
import resource

import msgspec

STATM_PATH = "/proc/self/statm"
OPEN_FILES_PATH = "/proc/self/fd"
RESIDENT_FIELD_INDEX = 1
"""Index of the number of resident pages among the fields of `STATM_PATH`."""


class ProcessUsage(msgspec.Struct, frozen=True):
    """Resource usage of this process.

    Attributes
    ----------
    memory_bytes : int
        Resident memory.
    processor_s : float
        User and system processor time since the process started.
    open_files : int
        Open file descriptors, including sockets.
    """

    memory_bytes: int
    processor_s: float
    open_files: int


def process_usage() -> ProcessUsage:
    """Return the current resource usage of this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return ProcessUsage(
        memory_bytes=memory_bytes(),
        processor_s=usage.ru_utime + usage.ru_stime,
        open_files=len(os.listdir(OPEN_FILES_PATH)),
    )


def memory_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    with open(STATM_PATH) as file:
        pages = int(file.read().split()[RESIDENT_FIELD_INDEX])
    return pages * resource.getpagesize()
