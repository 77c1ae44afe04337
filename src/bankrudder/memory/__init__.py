"""The memory that a host may use for the data of callers and endpoints."""

from bankrudder.memory._allocator import return_freed_blocks
from bankrudder.memory._budget import HeldData, Holding, MemoryBudget, TransferKind
from bankrudder.memory._process_limits import ProcessLimits

__all__ = [
    "HeldData",
    "Holding",
    "MemoryBudget",
    "ProcessLimits",
    "TransferKind",
    "return_freed_blocks",
]
