"""Helpers for the project's own RPC interface on a site: configuration and clients."""

import hashlib
import json

from bankrudder.client import Caller, CallerSettings, OperatorClient, Trainer
from outside.site import ENGINES, MODEL, SCORERS

OPERATOR_TOKEN = "first-token"
DATA_CENTRES = ("north", "south")


def digest(token):
    return hashlib.sha256(token.encode()).hexdigest()


RPC = {"operator_token_sha256": digest(OPERATOR_TOKEN)}
"""Settings of the RPC interface without its address."""


def caller(name, caller_class, data_classes, *roles, workspace=""):
    return {
        "name": name,
        "caller_class": caller_class,
        "token_sha256": digest(f"{name}-token"),
        "data_classes": list(data_classes),
        "roles": list(roles or ("caller",)),
        "workspace": workspace,
    }


def document(**changes):
    """Return a configuration that allows leases in the north only, notices anywhere."""
    contract = {"timeout_s": 3.0}
    complete_document = {
        "data_centres": [{"name": name, "region": "island"} for name in DATA_CENTRES],
        "data_classes": [
            {"name": "leases", "allowed_data_centres": ["north"]},
            {"name": "notices", "allowed_data_centres": list(DATA_CENTRES)},
        ],
        "caller_classes": [
            {"name": "brokers", "priority": 0, "reserved": 1},
            {"name": "ledgers", "priority": 1},
            {"name": "rollouts", "priority": 2},
        ],
        "callers": [
            caller("broker", "brokers", ["leases", "notices"], workspace="desk"),
            caller("ledger", "ledgers", ["notices"]),
            caller(
                "wording",
                "rollouts",
                ["leases", "notices"],
                "trainer",
                workspace="models",
            ),
            caller("stranger", "rollouts", ["notices"], "trainer"),
            caller("operator", "brokers", [], "operator"),
        ],
        "pools": [
            {
                "name": "desk",
                "kind": "service",
                "service": SCORERS,
                "path": "/desk/",
                "contract": {"retry_window_s": 60.0, **contract},
            },
            {
                "name": "lookup",
                "kind": "service",
                "service": SCORERS,
                "path": "/lookup/",
                "contract": {"idempotent": True, **contract},
            },
            {
                "name": "writer",
                "kind": "engine",
                "service": ENGINES,
                "model": MODEL,
                "path": "/write/",
                "contract": {"idempotent": True, "resumes": True, **contract},
            },
        ],
        "workspaces": [{"name": "desk"}, {"name": "models"}],
        "jobs": [
            {
                "name": "wording",
                "pool": "writer",
                "data_class": "notices",
                "trainer": "wording",
                "caller_class": "rollouts",
            },
            {
                "name": "terms",
                "pool": "writer",
                "data_class": "leases",
                "trainer": "wording",
                "caller_class": "rollouts",
            },
        ],
    }
    return json.dumps({**complete_document, **changes})


async def apply(site, text=None, base=0, host=0):
    """Apply a configuration through a host; return the result."""
    address = site.hosts[host].rpc_address
    async with OperatorClient(address, OPERATOR_TOKEN) as operator:
        return await operator.apply(text or document(), base)


def client(site, name="broker", data_class="notices", hosts=None, timeout_s=8.0):
    """Return a caller's client for some hosts, by default all."""
    hosts = site.hosts if hosts is None else hosts
    return Caller.from_config(
        [host.rpc_address for host in hosts],
        f"{name}-token",
        data_class=data_class,
        settings=CallerSettings(timeout_s=timeout_s),
    )


def trainer(site, name="wording", hosts=None):
    """Return a trainer's client for some hosts, by default all."""
    hosts = site.hosts if hosts is None else hosts
    return Trainer.from_config([host.rpc_address for host in hosts], f"{name}-token")


def runs(site, request_id):
    """Return how many times the scorers ran a request."""
    return sum(scorer.run_counts[request_id] for scorer in site.scorers)
