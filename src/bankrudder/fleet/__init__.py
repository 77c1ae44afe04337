"""Endpoints: what is known of them, the choice of one, and sending to it."""

from bankrudder.fleet._directory import RETURN_S, EndpointDirectory
from bankrudder.fleet._sending import (
    Answered,
    EndpointClient,
    EngineState,
    Headers,
    LossReason,
    Lost,
    OpenedStream,
    OrderOutcome,
    OutgoingRequest,
    RefusalReason,
    Refused,
    SendOutcome,
    StreamBrokenError,
    StreamEvent,
    StreamOutcome,
    SwitchMode,
    VersionOrder,
)
from bankrudder.fleet._tracked import TrackedEndpoint
from bankrudder.fleet._values import (
    Endpoint,
    EndpointId,
    ModelState,
    Readiness,
    ReportedLoad,
)

__all__ = [
    "RETURN_S",
    "Answered",
    "Endpoint",
    "EndpointClient",
    "EndpointDirectory",
    "EndpointId",
    "EngineState",
    "Headers",
    "LossReason",
    "Lost",
    "ModelState",
    "OpenedStream",
    "OrderOutcome",
    "OutgoingRequest",
    "Readiness",
    "RefusalReason",
    "Refused",
    "ReportedLoad",
    "SendOutcome",
    "StreamBrokenError",
    "StreamEvent",
    "StreamOutcome",
    "SwitchMode",
    "TrackedEndpoint",
    "VersionOrder",
]
