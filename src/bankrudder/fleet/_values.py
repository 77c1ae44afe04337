"""Endpoints as the platform lists them."""

from enum import Enum
from typing import NewType

import msgspec

from bankrudder.routing import ModelName, ServiceName
from bankrudder.world import Address, DataCentreName, ModelVersion

EndpointId = NewType("EndpointId", str)
"""Name of an endpoint. It may start again under the same name; see `EndpointRun`."""

Birth = NewType("Birth", int)
"""Unix time in milliseconds at which a run of an endpoint began, by the endpoint's own
clock: only compared with other births of the same endpoint."""


class EndpointRun(msgspec.Struct, frozen=True):
    """One run of an endpoint, from its start to its end.

    What is believed of an endpoint holds for one run: the next one has empty caches,
    other weights, and counts orders anew.

    Attributes
    ----------
    born : Birth or None
        None if the endpoint does not tell it.
    """

    endpoint: EndpointId
    born: Birth | None = None

    def is_after(self, other: "EndpointRun") -> bool:
        """Whether this run surely began after another one of the same endpoint."""
        return self.born is not None and self.born > (other.born or 0)

    def is_before(self, other: "EndpointRun") -> bool:
        """Whether this run surely began before another one of the same endpoint."""
        return self.born is not None and other.is_after(self)


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
    born : Birth or None
        When this run of it began, None if it does not tell.
    """

    id: EndpointId
    service: ServiceName
    address: Address
    data_centre: DataCentreName
    slots: int
    readiness: Readiness = Readiness.READY
    models: tuple[ModelState, ...] = ()
    born: Birth | None = None

    @property
    def run(self) -> EndpointRun:
        """The run that this entry tells of."""
        return EndpointRun(self.id, self.born)

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
