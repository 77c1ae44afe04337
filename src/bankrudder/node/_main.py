"""Entry point of the daemon: settings, logging, signals, and the node's event loop."""

import argparse
import asyncio
import os
import signal
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path

import structlog
import uvloop

from bankrudder.exceptions import InvalidError
from bankrudder.logs import (
    LogFormat,
    LogLevel,
    LogRateLimiter,
    NonBlockingSink,
    configure_logging,
)
from bankrudder.memory import return_freed_blocks
from bankrudder.node._adapter import Adapter
from bankrudder.node._node import Node
from bankrudder.node._settings import NodeSettings, load_settings
from bankrudder.world import Clock, SystemClock

EXIT_NOT_STARTED = 1
EXIT_INVALID_SETTINGS = 2

SETTINGS_VARIABLE = "BANKRUDDER_SETTINGS"

_log = structlog.get_logger("node")


def run_daemon(
    make_adapter: Callable[[NodeSettings], Adapter],
    complete_settings: Callable[[NodeSettings], NodeSettings] = lambda given: given,
    argv: list[str] | None = None,
) -> None:
    """Run a daemon; exit with an error code if it cannot start.

    Parameters
    ----------
    make_adapter : callable
        Creates the connections of the daemon to the platform.
    complete_settings : callable, optional
        Adds the settings that the platform's contract calls for.
    """
    arguments = _parser().parse_args(argv)
    return_freed_blocks()
    clock = SystemClock()
    line_limit = LogRateLimiter(clock)
    sink = NonBlockingSink(sys.stdout.fileno())
    configure_logging(LogFormat.JSON, LogLevel.INFO, stream=sink, limit=line_limit)
    path = Path(arguments.settings)
    try:
        settings = complete_settings(load_settings(path))
        set_log_level = partial(
            configure_logging,
            LogFormat.JSON,
            stream=sink,
            limit=line_limit,
            host=settings.host,
        )
        set_log_level(settings.log_level)
    except InvalidError as error:
        failure = error.failure
        _log.error("node: wrong settings", field=failure.field, reason=failure.detail)
        sys.exit(EXIT_INVALID_SETTINGS)
    try:
        uvloop.run(_run(settings, path, make_adapter, clock, line_limit, set_log_level))
    except OSError as error:
        _log.error("node: not started", reason=str(error))
        sys.exit(EXIT_NOT_STARTED)


def _reload(node: Node, path: Path, set_log_level: Callable[[LogLevel], None]) -> None:
    try:
        settings = load_settings(path)
    except InvalidError as error:
        failure = error.failure
        _log.error(
            "node: wrong settings, the ones in force stay",
            field=failure.field,
            reason=failure.detail,
        )
        return
    node.reload(settings)
    set_log_level(settings.log_level)


async def _run(
    settings: NodeSettings,
    path: Path,
    make_adapter: Callable[[NodeSettings], Adapter],
    clock: Clock,
    line_limit: LogRateLimiter,
    set_log_level: Callable[[LogLevel], None],
) -> None:
    node = Node.from_config(settings, make_adapter(settings), clock, line_limit)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, node.stop)
    loop.add_signal_handler(signal.SIGHUP, _reload, node, path, set_log_level)
    await node.run()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        description="Run one node; SIGTERM stops it once its requests are completed."
    )
    parser.add_argument(
        "--settings",
        default=os.environ.get(SETTINGS_VARIABLE, ""),
        metavar="FILE",
        help=f"JSON file of the node's settings (default: {SETTINGS_VARIABLE}'s value)",
    )
    return parser
