"""Caller requests and their replies, and the forwarding of requests to endpoints."""

from bankrudder.relay._forwarder import Forwarder
from bankrudder.relay._limits import route_deadline
from bankrudder.relay._metering import NoMeter, RunMeter
from bankrudder.relay._stream_attempt import StreamStarted
from bankrudder.relay._streaming import StreamForwarder
from bankrudder.relay._values import (
    IncomingRequest,
    Malformed,
    NotFound,
    NotRun,
    RejectReason,
    Relayed,
    Reply,
    Unanswered,
    Unauthorized,
)

__all__ = [
    "Forwarder",
    "IncomingRequest",
    "Malformed",
    "NoMeter",
    "NotFound",
    "NotRun",
    "RejectReason",
    "Relayed",
    "Reply",
    "RunMeter",
    "StreamForwarder",
    "StreamStarted",
    "Unanswered",
    "Unauthorized",
    "route_deadline",
]
