"""Detection and refusal of requests that crash endpoints, identified by content."""

from bankrudder.crashes._admission import CRASH_LIMIT, decide_admission
from bankrudder.crashes._content import ContentId, content_id
from bankrudder.crashes._evidence import Evidence, first_evidence, later_evidence
from bankrudder.crashes._guard import CLEANING_PAUSE_S, CrashGuard
from bankrudder.crashes._registry import StrikeRegistry
from bankrudder.crashes._values import (
    FREE,
    Admission,
    AdmissionDecision,
    RefusalPolicy,
    Send,
    Strike,
    UnixTime,
)

__all__ = [
    "Admission",
    "CLEANING_PAUSE_S",
    "ContentId",
    "StrikeRegistry",
    "CrashGuard",
    "Evidence",
    "FREE",
    "CRASH_LIMIT",
    "RefusalPolicy",
    "Send",
    "Strike",
    "UnixTime",
    "AdmissionDecision",
    "content_id",
    "first_evidence",
    "decide_admission",
    "later_evidence",
]
