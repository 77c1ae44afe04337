"""Endpoints as the platform lists them."""

from enum import Enum
from typing import NewType

import msgspec

from bankrudder.routing import ModelName, ServiceName
from bankrudder.world import Address, DataCentreName, ModelVersion

EndpointId = NewType("EndpointId", str)
"""Identifier of one run of an endpoint; a restart makes a new one."""


class Readiness(Enum):
    """Whether an endpoint takes new work."""

    READY = "ready"
    DRAINING = "draining"


class ModelState(msgspec.Struct, frozen=True):
    """A model and the version of its weights."""

    model: ModelName
    version: ModelVersion


class Endpoint(msgspec.Struct, frozen=True):
    """One endpoint.

    Attributes
    ----------
    slots : int
        Requests that it processes at once.
    models : tuple of ModelState
        Models that it serves, and their versions a while ago.
    """

    id: EndpointId
    service: ServiceName
    address: Address
    data_centre: DataCentreName
    slots: int
    readiness: Readiness = Readiness.READY
    models: tuple[ModelState, ...] = ()

    def version_of(self, model: ModelName) -> ModelVersion | None:
        """Return the version of a model, None if it is not served here."""
        for state in self.models:
            if state.model == model:
                return state.version
        return None


class ReportedLoad(msgspec.Struct, frozen=True):
    """What an endpoint says of its load with an answer."""

    running: int
    waiting: int
    slots: int
