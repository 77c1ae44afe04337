"""Routes that a configuration defines: one for each pool and each job."""

from collections.abc import Iterator

from bankrudder.config._index import ConfigurationIndex
from bankrudder.routing import (
    ModelName,
    Route,
    RouteKind,
    RouteName,
    ServiceName,
    WeightedService,
)
from bankrudder.world import DataCentreName, Job, Pool, PoolKind

TARGET_TIMEOUT_SHARE = 0.2
"""Target latency as a share of a pool's timeout. An idempotent request may be sent to a
second endpoint once it has waited for half the target latency."""

BASE_ADAPTER = "base"
"""Adapter name of a job that trains the model of the pool itself."""


def service_of(pool: Pool) -> ServiceName:
    """Return the service name of a pool's endpoints."""
    return ServiceName(pool.service or pool.name)


def model_of(pool: Pool, job: Job) -> ModelName:
    """Return the model whose versions a job's trainer publishes."""
    return ModelName(pool.model if job.adapter == BASE_ADAPTER else job.adapter)


def pool_route(pool: Pool, data_centres: tuple[DataCentreName, ...]) -> Route:
    """Return the route of a pool's calls, restricted to `data_centres`."""
    return Route(
        name=RouteName(f"pools/{pool.name}"),
        host=pool.host or pool.name,
        path_prefix=pool.path,
        kind=_kind(pool),
        services=(WeightedService(service_of(pool), 1.0),),
        timeout_s=pool.contract.timeout_s,
        target_latency_s=TARGET_TIMEOUT_SHARE * pool.contract.timeout_s,
        max_attempts=pool.contract.max_attempts,
        is_resumable=pool.contract.resumes,
        data_centres=data_centres,
    )


def job_route(pool: Pool, job: Job, data_centres: tuple[DataCentreName, ...]) -> Route:
    """Return the route of the samples of a job."""
    return Route(
        name=RouteName(f"jobs/{job.name}"),
        host=pool.host or pool.name,
        path_prefix=f"{pool.path}{job.name}/",
        kind=RouteKind.ROLLOUT,
        services=(WeightedService(service_of(pool), 1.0),),
        timeout_s=pool.contract.timeout_s,
        target_latency_s=TARGET_TIMEOUT_SHARE * pool.contract.timeout_s,
        result_target_s=job.sample_timeout_s,
        retention_s=job.sample_timeout_s,
        max_attempts=pool.contract.max_attempts,
        is_resumable=True,
        data_centres=data_centres,
    )


def job_routes(index: ConfigurationIndex) -> Iterator[Route]:
    """Yield the routes of all jobs."""
    for job in index.configuration.jobs:
        allowed = tuple(sorted(index.allowed(job.data_class)))
        yield job_route(index.pool(job.pool), job, allowed)


def _kind(pool: Pool) -> RouteKind:
    if pool.kind is PoolKind.ENGINE:
        return RouteKind.STREAM
    if pool.contract.idempotent:
        return RouteKind.IDEMPOTENT
    return RouteKind.AT_MOST_ONCE
