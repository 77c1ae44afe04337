"""Configuration: decoding, checks, look-ups, distribution to hosts, and routes."""

from bankrudder.config._check import Finding, check, findings
from bankrudder.config._decode import decode_document, json_excerpt
from bankrudder.config._difference import ConfigurationDifference, difference
from bankrudder.config._index import ConfigurationIndex
from bankrudder.config._placement import PlacementGuard
from bankrudder.config._routes import job_route, job_routes, model_of, pool_route
from bankrudder.config._schema import published_schema
from bankrudder.config._service import (
    CONFIGURATION_TABLE,
    ApplyOutcome,
    ConfigurationService,
)

__all__ = [
    "ApplyOutcome",
    "CONFIGURATION_TABLE",
    "ConfigurationDifference",
    "ConfigurationIndex",
    "ConfigurationService",
    "Finding",
    "PlacementGuard",
    "check",
    "decode_document",
    "difference",
    "findings",
    "job_route",
    "job_routes",
    "json_excerpt",
    "model_of",
    "pool_route",
    "published_schema",
]
