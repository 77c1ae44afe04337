"""Training steps over the gRPC interface: batches of samples for jobs of trainers."""

from bankrudder.steps._publishing import (
    NAMED_VERSIONS_TABLE,
    VersionRegistry,
    decode_named_version,
)
from bankrudder.steps._service import StepService
from bankrudder.steps._values import StepOrder

__all__ = [
    "NAMED_VERSIONS_TABLE",
    "StepOrder",
    "StepService",
    "VersionRegistry",
    "decode_named_version",
]
