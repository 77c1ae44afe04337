"""The directory of listed endpoints, and the selection of one for a request."""

import random
from collections.abc import Collection, Sequence

import msgspec
import structlog

from bankrudder.fleet._balancing import Contender, choose_contender
from bankrudder.fleet._choice import Candidate, expected_cost_s, mean_latency_s
from bankrudder.fleet._tracked import TrackedEndpoint
from bankrudder.fleet._values import Endpoint, EndpointId, EndpointRun
from bankrudder.routing import ServiceName
from bankrudder.world import Clock, DataCentreName

RELISTING_WAIT_S = 2.0
"""Time after a store outage within which the platform, by its contract, lists the
endpoints again whose entries lapsed during the outage. They are kept until then."""

_log = structlog.get_logger("fleet")


class EndpointDirectory:
    """The listed endpoints, each in its latest run.

    A restart of an endpoint is learned from the platform's list, from the endpoint's
    answers or from other hosts, in any order. The run with the latest start time
    applies; information about earlier runs is ignored.

    Parameters
    ----------
    data_centre : DataCentreName
        Data centre of this host.
    """

    def __init__(
        self,
        data_centre: DataCentreName,
        clock: Clock,
        rng: random.Random | None = None,
    ):
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng or random.Random()
        self._tracked: dict[EndpointId, TrackedEndpoint] = {}
        self._kept_until: dict[EndpointId, float] = {}
        self._unreadable: dict[EndpointId, str] = {}

    def __len__(self) -> int:
        return len(self._tracked)

    def get(self, endpoint_id: EndpointId) -> TrackedEndpoint | None:
        """Return a listed endpoint, None if no endpoint of that name is listed."""
        return self._tracked.get(endpoint_id)

    @property
    def unreadable_count(self) -> int:
        """Number of entries in the list that cannot be decoded."""
        return len(self._unreadable)

    def put(self, endpoint: Endpoint) -> None:
        """Add or update the endpoint of a new or changed entry in the list."""
        if self._unreadable.pop(endpoint.id, None) is not None:
            _log.info("fleet: entry readable again", endpoint=endpoint.id)
        known = self._tracked.get(endpoint.id)
        if known is not None and endpoint.run.is_before(known.run):
            _log.info(
                "fleet: entry of an earlier run passed over",
                endpoint=endpoint.id,
                born=endpoint.born,
                known_born=known.run.born,
            )
            return
        self._kept_until.pop(endpoint.id, None)
        if known is None:
            self._tracked[endpoint.id] = TrackedEndpoint(endpoint)
            _log.info(
                "fleet: endpoint listed",
                endpoint=endpoint.id,
                service=endpoint.service,
                address=endpoint.address,
                readiness=endpoint.readiness.value,
            )
            return
        if endpoint.run.is_after(known.run):
            self._replace(known, TrackedEndpoint(endpoint))
            return
        if known.endpoint.readiness is not endpoint.readiness:
            _log.info(
                "fleet: endpoint changed",
                endpoint=endpoint.id,
                readiness=endpoint.readiness.value,
            )
        known.update(endpoint)

    def put_unreadable(self, endpoint_id: EndpointId, reason: str) -> None:
        """Record an entry that cannot be decoded.

        A known endpoint gets no new requests, but its requests in progress continue.
        """
        known = self._tracked.get(endpoint_id)
        if known is not None:
            known.mark_unreadable()
        if self._unreadable.get(endpoint_id) != reason:
            self._unreadable[endpoint_id] = reason
            _log.warning(
                "fleet: entry not understood", endpoint=endpoint_id, reason=reason
            )

    def note_run(self, run: EndpointRun) -> TrackedEndpoint | None:
        """Record a run of an endpoint that was not learned from the list.

        Returns
        -------
        TrackedEndpoint or None
            The endpoint if `run` is its latest run; None if `run` is an earlier one or
            the endpoint is not listed.
        """
        known = self._tracked.get(run.endpoint)
        if known is None or run.is_before(known.run):
            return None
        if run.is_after(known.run):
            entry = msgspec.structs.replace(known.endpoint, born=run.born)
            later = TrackedEndpoint(entry, are_versions_known=False)
            if not known.is_readable:
                later.mark_unreadable()
            self._replace(known, later)
            return later
        return known

    def _replace(self, known: TrackedEndpoint, later: TrackedEndpoint) -> None:
        self._tracked[later.run.endpoint] = later
        _log.info(
            "fleet: endpoint started again",
            endpoint=later.run.endpoint,
            born=later.run.born,
            born_before=known.run.born,
            in_flight=known.in_flight,
        )
        known.mark_ended()

    def remove(self, endpoint_id: EndpointId, keep_until: float) -> None:
        """Remove an endpoint, now or at `keep_until` unless it is listed again by then.

        `keep_until` is a monotonic time.
        """
        self._unreadable.pop(endpoint_id, None)
        if endpoint_id not in self._tracked:
            return
        if keep_until > self._clock.monotonic():
            self._kept_until[endpoint_id] = keep_until
            return
        self._kept_until.pop(endpoint_id, None)
        self._tracked.pop(endpoint_id).mark_unlisted()
        _log.info("fleet: endpoint gone", endpoint=endpoint_id)

    def remove_expired(self) -> None:
        """Remove the endpoints that were not listed again in time."""
        now = self._clock.monotonic()
        for endpoint_id in [
            key for key, until in self._kept_until.items() if until <= now
        ]:
            self.remove(endpoint_id, now)

    def of_service(
        self, service: ServiceName, data_centres: Collection[DataCentreName] = ()
    ) -> list[TrackedEndpoint]:
        """Return the endpoints of a service that accept new requests.

        Parameters
        ----------
        data_centres : collection of DataCentreName
            Data centres that are allowed; empty for all.
        """
        return [
            each
            for each in self._tracked.values()
            if each.endpoint.service == service
            and each.takes_work
            and (not data_centres or each.endpoint.data_centre in data_centres)
        ]

    def all(self) -> list[TrackedEndpoint]:
        """Return all listed endpoints, sorted by name."""
        return sorted(self._tracked.values(), key=lambda each: each.endpoint.id)

    def services(self) -> set[ServiceName]:
        """Return the services that have endpoints."""
        return {each.endpoint.service for each in self._tracked.values()}

    def mean_latency_s(self, service: ServiceName) -> float | None:
        """Return the mean latency of a service's endpoints, None if none answered.

        Momentary slowness of endpoints that report it is left out.
        """
        now = self._clock.monotonic()
        return mean_latency_s(
            each.usual_latency_s(now) for each in self.of_service(service)
        )

    def choose(
        self,
        service: ServiceName,
        tried: Collection[EndpointId] = (),
        data_centres: Collection[DataCentreName] = (),
        is_suspect: bool = False,
    ) -> TrackedEndpoint | None:
        """Return the endpoint for a request, None if there is none.

        It is the one with the lowest expected cost or, if endpoints of the service
        report their slowdown, one that is drawn by speed and has little work ahead.

        Endpoints that work on a suspect are used only if all others were tried or are
        suspended, suspended endpoints only if all others were tried, and endpoints that
        were tried only if no other is left.

        Parameters
        ----------
        is_suspect : bool
            Whether endpoints crashed while processing the request. Such a suspect is
            not sent to an endpoint that works on another one, because a further crash
            could not be attributed to either.
        """
        now = self._clock.monotonic()
        candidates = self.of_service(service, data_centres)
        if is_suspect:
            candidates = [each for each in candidates if not each.suspects]
        fresh = [each for each in candidates if each.endpoint.id not in tried]
        healthy = [each for each in fresh if not each.is_suspended(now)]
        safe = [each for each in healthy if not each.suspects]
        return self._best(safe or healthy or fresh or candidates, now)

    def _best(
        self, endpoints: Sequence[TrackedEndpoint], now: float
    ) -> TrackedEndpoint | None:
        if any(each.reports_slowdown for each in endpoints):
            contenders = [self._contender(each, now) for each in endpoints]
            return endpoints[choose_contender(contenders, self._rng)]
        candidates = [self._candidate(each, now) for each in endpoints]
        mean_s = mean_latency_s(each.latency_s for each in candidates)
        # Without the random factor, all hosts would choose the same of several equals.
        costs_s = [
            expected_cost_s(each, mean_s) * self._rng.uniform(0.95, 1.05)
            for each in candidates
        ]
        if not costs_s:
            return None
        return endpoints[costs_s.index(min(costs_s))]

    def _candidate(self, tracked: TrackedEndpoint, now: float) -> Candidate:
        return Candidate(
            slots=tracked.endpoint.slots,
            load=tracked.in_flight + tracked.other_hosts_load(now),
            latency_s=tracked.latency_s,
            is_local=tracked.endpoint.data_centre == self._data_centre,
            is_connected=tracked.is_connected(now),
        )

    def _contender(self, tracked: TrackedEndpoint, now: float) -> Contender:
        speed = tracked.speed
        return Contender(
            slots=tracked.endpoint.slots,
            load=tracked.load(now),
            duration_s=tracked.lasting_latency_s or None,
            bin_count=1 if speed is None else speed.latency_bin_count,
            slowdown=tracked.slowdown(now),
            is_local=tracked.endpoint.data_centre == self._data_centre,
            is_connected=tracked.is_connected(now),
        )
