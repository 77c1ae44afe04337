"""Training steps over the gRPC interface: batches of samples for jobs of trainers."""

from bankrudder.steps._publishing import (
    PUBLISHED_VERSIONS_TABLE,
    VersionRegistry,
    decode_published_version,
)
from bankrudder.steps._service import StepService
from bankrudder.steps._values import StepSpec

__all__ = [
    "PUBLISHED_VERSIONS_TABLE",
    "StepService",
    "StepSpec",
    "VersionRegistry",
    "decode_published_version",
]
