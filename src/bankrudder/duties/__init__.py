"""Calls to the platform that only one host at a time may make."""

from bankrudder.duties._duty import Duty
from bankrudder.duties._port import DutyApi, DutyCall, DutyGrant, DutyOutcome
from bankrudder.duties._values import EndpointOrder, UsageReport, UsageWindow

__all__ = [
    "Duty",
    "DutyApi",
    "DutyCall",
    "DutyGrant",
    "DutyOutcome",
    "EndpointOrder",
    "UsageReport",
    "UsageWindow",
]
