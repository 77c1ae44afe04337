"""gRPC clients of a node: for callers, trainers and operators."""

from bankrudder.client._caller import Answer, Caller, CallerSettings, new_key
from bankrudder.client._credentials import channel_credentials
from bankrudder.client._operator import (
    Applied,
    ConfigurationDocument,
    EndpointReport,
    EndpointSpeedReport,
    NodeReport,
    OperatorClient,
    UsageReport,
)
from bankrudder.client._trainer import Trainer, TrainerSettings

__all__ = [
    "UsageReport",
    "Answer",
    "Applied",
    "Caller",
    "CallerSettings",
    "ConfigurationDocument",
    "EndpointReport",
    "EndpointSpeedReport",
    "NodeReport",
    "OperatorClient",
    "Trainer",
    "TrainerSettings",
    "channel_credentials",
    "new_key",
]
