"""One node: the daemon that serves requests and batches on a host."""

from bankrudder.node._adapter import Adapter, Listener, RequestListener
from bankrudder.node._documents import Documents
from bankrudder.node._gateway import Gateway
from bankrudder.node._main import run_daemon
from bankrudder.node._node import Node
from bankrudder.node._platform_state import PlatformState
from bankrudder.node._settings import (
    DutySettings,
    FeedSettings,
    NodeSettings,
    OverloadSettings,
    RpcSettings,
    StoreSettings,
    UsageSettings,
    load_settings,
    parse_settings,
)

__all__ = [
    "Adapter",
    "Documents",
    "DutySettings",
    "FeedSettings",
    "Gateway",
    "Listener",
    "Node",
    "NodeSettings",
    "OverloadSettings",
    "PlatformState",
    "RequestListener",
    "RpcSettings",
    "StoreSettings",
    "UsageSettings",
    "load_settings",
    "parse_settings",
    "run_daemon",
]
