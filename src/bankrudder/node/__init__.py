"""One host of the system on the platform."""

from bankrudder.node._adapter import Adapter, CallerListening, Listener
from bankrudder.node._documents import Documents, UnreadableDocumentError
from bankrudder.node._gateway import Gateway
from bankrudder.node._main import run_daemon
from bankrudder.node._node import Node
from bankrudder.node._settings import (
    DutySettings,
    FeedSettings,
    NodeSettings,
    RpcSettings,
    StoreSettings,
    UsageSettings,
    load_settings,
    parse_settings,
)
from bankrudder.node._world_view import WorldView

__all__ = [
    "Adapter",
    "CallerListening",
    "Documents",
    "DutySettings",
    "FeedSettings",
    "Gateway",
    "Listener",
    "Node",
    "NodeSettings",
    "RpcSettings",
    "StoreSettings",
    "UnreadableDocumentError",
    "UsageSettings",
    "WorldView",
    "load_settings",
    "parse_settings",
    "run_daemon",
]
