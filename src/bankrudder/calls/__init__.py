"""Calls over the gRPC interface: admission by caller class and idempotency keys."""

from bankrudder.calls._admission import ClassAdmission, ClassPolicy
from bankrudder.calls._cleaning import CLEANING_PAUSE_S, CallCleaner
from bankrudder.calls._once import OnceRunner
from bankrudder.calls._records import CALLS_TABLE, CallRecords
from bankrudder.calls._service import CallService
from bankrudder.calls._values import NO_KEY, AnswerChunk, AnswerEnd, CallOrder

__all__ = [
    "AnswerChunk",
    "AnswerEnd",
    "CALLS_TABLE",
    "CLEANING_PAUSE_S",
    "CallCleaner",
    "CallOrder",
    "CallRecords",
    "CallService",
    "ClassAdmission",
    "ClassPolicy",
    "NO_KEY",
    "OnceRunner",
]
