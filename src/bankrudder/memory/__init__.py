"""The memory that a host may use for the data of callers and endpoints."""

from bankrudder.memory._budget import Holding, MemoryBudget, TransferKind

__all__ = ["Holding", "MemoryBudget", "TransferKind"]
