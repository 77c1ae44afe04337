"""Endpoints as the platform lists them."""

from enum import Enum
from typing import NewType

import msgspec

from bankrudder.decoding import NonNegativeInt
from bankrudder.routing import ModelName, ServiceName
from bankrudder.world import Address, DataCentreName, ModelVersion

EndpointId = NewType("EndpointId", str)
"""Name of an endpoint. A restarted endpoint keeps its name; see `EndpointRun`."""

StartTime = NewType("StartTime", NonNegativeInt)
"""Unix time in milliseconds at which a run of an endpoint started, by the clock of the
endpoint. It is compared only with other start times of the same endpoint."""


class EndpointRun(msgspec.Struct, frozen=True):
    """One run of an endpoint, from the start to the exit of its process.

    Tracked state applies to one run: the next run has empty caches, possibly other
    weights, and counts orders from zero.

    Attributes
    ----------
    born : StartTime or None
        Start time of the run, None if the endpoint does not report it.
    """

    endpoint: EndpointId
    born: StartTime | None = None

    def is_after(self, other: "EndpointRun") -> bool:
        """Whether this run is known to have started after `other`."""
        return self.born is not None and self.born > (other.born or 0)

    def is_before(self, other: "EndpointRun") -> bool:
        """Whether this run is known to have started before `other`."""
        return self.born is not None and other.is_after(self)


class Readiness(Enum):
    """Whether an endpoint accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


class ModelState(msgspec.Struct, frozen=True):
    """A model and the version of its weights."""

    model: ModelName
    version: ModelVersion


class Endpoint(msgspec.Struct, frozen=True):
    """An entry in the platform's list of endpoints.

    Attributes
    ----------
    slots : int
        Number of requests that the endpoint processes concurrently.
    models : tuple of ModelState
        Models that the endpoint serves, with versions that may be out of date.
    born : StartTime or None
        Start time of the endpoint's run, None if the endpoint does not report it.
    """

    id: EndpointId
    service: ServiceName
    address: Address
    data_centre: DataCentreName
    slots: int
    readiness: Readiness = Readiness.READY
    models: tuple[ModelState, ...] = ()
    born: StartTime | None = None

    @property
    def run(self) -> EndpointRun:
        """The run that this entry describes."""
        return EndpointRun(self.id, self.born)

    def version_of(self, model: ModelName) -> ModelVersion | None:
        """Return the version of a model, None if the endpoint does not serve it."""
        for state in self.models:
            if state.model == model:
                return state.version
        return None


class ReportedLoad(msgspec.Struct, frozen=True):
    """The load that an endpoint reports with an answer.

    Attributes
    ----------
    running, waiting : int
        Requests of all hosts that the endpoint processes, and that it queues.
    slowdown : float or None
        Duration of work on the endpoint's machine at present, as a multiple of the
        usual duration there; None if the endpoint does not report it. It varies many
        times a second, as other programs on the machine start and stop.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None
