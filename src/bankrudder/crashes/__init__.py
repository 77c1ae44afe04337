"""Requests under which endpoints end, told apart by what they ask."""

from bankrudder.crashes._admission import LIMIT, judge
from bankrudder.crashes._content import ContentId, content_id
from bankrudder.crashes._evidence import Evidence, first_evidence, later_evidence
from bankrudder.crashes._guard import CLEANING_PAUSE_S, CrashGuard
from bankrudder.crashes._registry import CrashBook
from bankrudder.crashes._values import (
    FREE,
    Admission,
    Send,
    Strike,
    UnixTime,
    Verdict,
)

__all__ = [
    "Admission",
    "CLEANING_PAUSE_S",
    "ContentId",
    "CrashBook",
    "CrashGuard",
    "Evidence",
    "FREE",
    "LIMIT",
    "Send",
    "Strike",
    "UnixTime",
    "Verdict",
    "content_id",
    "first_evidence",
    "judge",
    "later_evidence",
]
