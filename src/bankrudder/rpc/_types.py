"""Aliases of gRPC's generic types with their parameters."""

from typing import Any, TypeAlias

import grpc
import grpc.aio

ServicerContext: TypeAlias = grpc.aio.ServicerContext[Any, Any]
"""Server-side context of one call."""

MethodHandler: TypeAlias = "grpc.RpcMethodHandler[Any, Any]"
"""Handler of one method."""
