"""Calls over the gRPC interface: admission by caller class and idempotency keys."""

from bankrudder.calls._admission import AdmissionController, ClassPolicy
from bankrudder.calls._cleaning import CLEANING_PAUSE_S, CallRecordCleaner
from bankrudder.calls._once import AtMostOnceRunner
from bankrudder.calls._records import CALLS_TABLE, CallRecords
from bankrudder.calls._service import CallService
from bankrudder.calls._values import NO_KEY, AnswerChunk, AnswerEnd, CallSpec

__all__ = [
    "AdmissionController",
    "AnswerChunk",
    "AnswerEnd",
    "AtMostOnceRunner",
    "CALLS_TABLE",
    "CLEANING_PAUSE_S",
    "CallRecordCleaner",
    "CallRecords",
    "CallService",
    "CallSpec",
    "ClassPolicy",
    "NO_KEY",
]
