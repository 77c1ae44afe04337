"""Which requests are sent, wait or are rejected when slots are short."""

from bankrudder.overload._admission import RequestLines
from bankrudder.overload._budget import RepeatBudget
from bankrudder.overload._gate import ServiceGate
from bankrudder.overload._line import LESS_URGENT_PERIOD, WaitingLine
from bankrudder.overload._pacing import SendPacer
from bankrudder.overload._recent_times import RecentTimes
from bankrudder.overload._retry_after import MAX_LEFT_SHARE, retry_after_s
from bankrudder.overload._returning import FirstSends
from bankrudder.overload._service_line import LineState
from bankrudder.overload._turns import FreeTurn, Turn, TurnRequest
from bankrudder.overload._values import (
    Decisions,
    Estimate,
    LineKey,
    Rejection,
    Room,
    WaitingRequest,
)

__all__ = [
    "LESS_URGENT_PERIOD",
    "MAX_LEFT_SHARE",
    "Decisions",
    "Estimate",
    "FirstSends",
    "FreeTurn",
    "LineKey",
    "LineState",
    "RecentTimes",
    "Rejection",
    "RepeatBudget",
    "RequestLines",
    "Room",
    "SendPacer",
    "ServiceGate",
    "Turn",
    "TurnRequest",
    "WaitingLine",
    "WaitingRequest",
    "retry_after_s",
]
