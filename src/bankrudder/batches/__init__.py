"""Batches of samples: acceptance, generation, and delivery of the results.

A batch holds the samples of one step of a trainer. One host owns it: it generates the
samples on the engines, scores them and writes their results to the store. Any host can
accept a batch, answer reads of it, or take it over when its owner is lost.
"""

from bankrudder.batches._cleaning import CLEANING_PAUSE_S, Cleaner
from bankrudder.batches._ownership import OwnerRegistry
from bankrudder.batches._progress import ProgressStore
from bankrudder.batches._reading import BatchReader
from bankrudder.batches._repository import BatchRepository, UnknownBatchError
from bankrudder.batches._scoring import Scorer
from bankrudder.batches._service import BatchService
from bankrudder.batches._values import (
    Batch,
    BatchId,
    ResultPage,
    ResultState,
    RewardCall,
    Sample,
    SampleResult,
)

__all__ = [
    "Batch",
    "BatchId",
    "BatchReader",
    "BatchRepository",
    "BatchService",
    "CLEANING_PAUSE_S",
    "Cleaner",
    "OwnerRegistry",
    "ProgressStore",
    "ResultPage",
    "ResultState",
    "RewardCall",
    "Sample",
    "SampleResult",
    "Scorer",
    "UnknownBatchError",
]
