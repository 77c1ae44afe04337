"""gRPC services of a node: calls, steps and operator commands."""

from bankrudder.rpc._calls import CallsServicer
from bankrudder.rpc._context import RpcContext
from bankrudder.rpc._credentials import server_credentials
from bankrudder.rpc._limits import RequestLimiter
from bankrudder.rpc._operators import OperatorsServicer
from bankrudder.rpc._server import RpcServer
from bankrudder.rpc._status import (
    EndpointSpeed,
    EndpointState,
    NodeState,
    StatusReporter,
)
from bankrudder.rpc._trainers import TrainersServicer

__all__ = [
    "CallsServicer",
    "EndpointSpeed",
    "EndpointState",
    "NodeState",
    "OperatorsServicer",
    "RequestLimiter",
    "RpcContext",
    "RpcServer",
    "StatusReporter",
    "TrainersServicer",
    "server_credentials",
]
