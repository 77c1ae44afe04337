"""What the subcommands of operators do."""

import argparse
import asyncio
import re
from collections.abc import Awaitable, Callable

import msgspec

from bankrudder.cli._exit import ExitCode
from bankrudder.cli._files import read_file, read_token, write_file
from bankrudder.cli._output import (
    Output,
    applied_lines,
    difference_lines,
    status_lines,
    usage_table_lines,
)
from bankrudder.cli._tls import credentials_of
from bankrudder.client import Applied, ConfigurationDocument, OperatorClient
from bankrudder.config import check, decode_document, difference, published_schema
from bankrudder.exceptions import (
    BankrudderError,
    InvalidError,
    OutcomeUnknownError,
)
from bankrudder.failures import FailureReason
from bankrudder.world import Address, Configuration, Revision

PAUSE_S = 1.0
"""Seconds between two questions of a command that waits."""

TRACE_ID = re.compile(r"[0-9a-f]{32}")

Command = Callable[[argparse.Namespace, Output], Awaitable[ExitCode]]


class _Checked(msgspec.Struct, frozen=True):
    file: str
    right: bool = True


async def check_file(arguments: argparse.Namespace, output: Output) -> ExitCode:
    """Check a configuration, or the settings of a node."""
    data = read_file(arguments.file)
    if arguments.settings:
        # Imported late: the daemon's package brings every part with it.
        from bankrudder.node import parse_settings

        parse_settings(data)
    else:
        check(data)
    output.value(_Checked(arguments.file), [f"{arguments.file} is right"])
    return ExitCode.OK


async def schema(arguments: argparse.Namespace, output: Output) -> ExitCode:
    """Print the JSON Schema of a kind of file."""
    if arguments.document == "configuration":
        document = published_schema(Configuration)
    else:
        from bankrudder.node import NodeSettings

        document = published_schema(NodeSettings)
    output.text(document.decode())
    return ExitCode.OK


async def apply(arguments: argparse.Namespace, output: Output) -> ExitCode:
    """Replace the configuration, and wait until it is accepted."""
    document = read_file(arguments.file)
    check(document)
    async with _client(arguments, arguments.entry) as client:
        base = arguments.base_revision
        if base is None:
            base = (await client.configuration()).revision
        applied = await _apply_until_accepted(
            client, document.decode(), Revision(base), arguments.wait
        )
    output.value(applied, applied_lines(applied))
    return ExitCode.OK if applied.accepted else ExitCode.NOT_ACCEPTED_YET


async def diff(arguments: argparse.Namespace, output: Output) -> ExitCode:
    """Show what applying a file would change."""
    new = check(read_file(arguments.file))
    async with _client(arguments, arguments.entry) as client:
        held = await client.configuration()
    old = decode_document(held.document.encode(), Configuration)
    change = difference(old, new)
    lines = [f"against revision {held.revision}", *difference_lines(change)]
    output.value(change, lines)
    return ExitCode.OK


async def get(arguments: argparse.Namespace, output: Output) -> ExitCode:
    """Print the configuration in force, or write it to a file."""
    async with _client(arguments, arguments.entry) as client:
        held = await _held_at_least(client, arguments.revision, arguments.wait)
    if arguments.output:
        write_file(arguments.output, held.document)
        output.value(held, [f"revision {held.revision} written to {arguments.output}"])
    else:
        output.value(held, held.document.splitlines())
    if held.revision < arguments.revision:
        return ExitCode.NOT_ACCEPTED_YET
    return ExitCode.OK


async def status(arguments: argparse.Namespace, output: Output) -> ExitCode:
    """Show a node, or all of them; fail if one could not be asked."""
    async with _client(arguments, arguments.entry) as client:
        nodes = await client.status(arguments.all)
    output.value(nodes, status_lines(nodes, arguments.endpoints))
    unreachable = any(node.unreachable for node in nodes)
    return ExitCode.FAILED if unreachable else ExitCode.OK


async def usage(arguments: argparse.Namespace, output: Output) -> ExitCode:
    """Show what workspaces used, window by window."""
    async with _client(arguments, arguments.entry) as client:
        windows = await client.usage(arguments.windows)
    output.value(windows, usage_table_lines(windows))
    return ExitCode.OK


async def drain(arguments: argparse.Namespace, output: Output) -> ExitCode:
    """Begin the graceful stop of a node."""
    address = arguments.host_address
    async with _client(arguments, address) as client:
        await client.drain()
    output.value(_Draining(address), [f"{address} is stopping"])
    return ExitCode.OK


async def trace(arguments: argparse.Namespace, output: Output) -> ExitCode:
    """Print the finished spans of a trace, of all hosts; fail if there are none."""
    if not TRACE_ID.fullmatch(arguments.trace_id):
        detail = "ID: allowed are 32 lower-case hexadecimal digits"
        raise InvalidError(FailureReason.BAD_REQUEST, detail, field="ID")
    async with _client(arguments, arguments.entry) as client:
        nodes = await client.status(all_hosts=True)
        spans = await client.trace(arguments.trace_id)
    others = [
        Address(node.rpc_address)
        for node in nodes[1:]
        if node.rpc_address and not node.unreachable
    ]
    found = await asyncio.gather(
        *(_spans_at(arguments, address, output) for address in others)
    )
    spans += tuple(span for each in found for span in each)
    output.value([msgspec.Raw(span.encode()) for span in spans], spans)
    if not spans:
        output.note(_NoSpans(arguments.trace_id), "no host holds spans of the trace")
    return ExitCode.OK if spans else ExitCode.FAILED


async def _spans_at(
    arguments: argparse.Namespace, address: Address, output: Output
) -> tuple[str, ...]:
    """Return the spans that another host holds, none if it does not answer."""
    try:
        async with _client(arguments, address) as client:
            return await client.trace(arguments.trace_id)
    except BankrudderError as error:
        output.note(error.failure, f"{address}: {error.failure.reason.value}")
        return ()


class _NoSpans(msgspec.Struct, frozen=True):
    trace_id: str
    spans: int = 0


class _Draining(msgspec.Struct, frozen=True):
    address: Address
    stopping: bool = True


def _client(arguments: argparse.Namespace, address: Address) -> OperatorClient:
    token = read_token(arguments.token_file)
    credentials = credentials_of(arguments)
    return OperatorClient(address, token, credentials, timeout_s=arguments.timeout)


async def _apply_until_accepted(
    client: OperatorClient, document: str, base: Revision, wait_s: float
) -> Applied:
    """Apply; while time is left, apply the same again until it is accepted.

    The same document on the same base makes no second revision, so it may be
    sent again also when a reply was lost.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_s
    while True:
        try:
            applied = await client.apply(document, base)
        except OutcomeUnknownError:
            if loop.time() >= deadline:
                raise
        else:
            if applied.accepted or loop.time() >= deadline:
                return applied
        await asyncio.sleep(PAUSE_S)


async def _held_at_least(
    client: OperatorClient, revision: Revision, wait_s: float
) -> ConfigurationDocument:
    """Return what the node holds, once it is `revision` or time is up."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_s
    while True:
        held = await client.configuration()
        if held.revision >= revision or loop.time() >= deadline:
            return held
        await asyncio.sleep(PAUSE_S)
