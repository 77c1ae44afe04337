"""One host of the system on the platform."""

from bankrudder.node._adapter import Adapter, CallerListening, Listener
from bankrudder.node._documents import Documents, UnreadableDocumentError
from bankrudder.node._gateway import Gateway
from bankrudder.node._main import run_daemon
from bankrudder.node._node import Node
from bankrudder.node._settings import (
    FeedSettings,
    NodeSettings,
    RpcSettings,
    StoreSettings,
    load_settings,
    parse_settings,
)
from bankrudder.node._world_view import WorldView

__all__ = [
    "Adapter",
    "CallerListening",
    "Documents",
    "FeedSettings",
    "Gateway",
    "Listener",
    "Node",
    "NodeSettings",
    "RpcSettings",
    "StoreSettings",
    "UnreadableDocumentError",
    "WorldView",
    "load_settings",
    "parse_settings",
    "run_daemon",
]
