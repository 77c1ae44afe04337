"""Subcommands for operators."""

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

POLL_INTERVAL_S = 1.0
"""Pause between two requests of a command that waits, in seconds."""

TRACE_ID = re.compile(r"[0-9a-f]{32}")

Command = Callable[[argparse.Namespace, Output], Awaitable[ExitCode]]


class _CheckResult(msgspec.Struct, frozen=True):
    file: str
    right: bool = True


async def check_file(arguments: argparse.Namespace, output: Output) -> ExitCode:
    """Validate a configuration, or the settings of a node."""
    data = read_file(arguments.file)
    if arguments.settings:
        # The import is local because the package imports the whole daemon.
        from bankrudder.node import parse_settings

        parse_settings(data)
    else:
        check(data)
    output.value(_CheckResult(arguments.file), [f"{arguments.file} is valid"])
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
    """Replace the configuration; wait for ``--wait`` seconds until it is accepted."""
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
        current = await client.configuration()
    old = decode_document(current.document.encode(), Configuration)
    change = difference(old, new)
    lines = [f"against revision {current.revision}", *difference_lines(change)]
    output.value(change, lines)
    return ExitCode.OK


async def get(arguments: argparse.Namespace, output: Output) -> ExitCode:
    """Print the configuration in force, or write it to a file."""
    async with _client(arguments, arguments.entry) as client:
        current = await _wait_for_revision(client, arguments.revision, arguments.wait)
    if arguments.output:
        write_file(arguments.output, current.document)
        output.value(
            current, [f"revision {current.revision} written to {arguments.output}"]
        )
    else:
        output.value(current, current.document.splitlines())
    if current.revision < arguments.revision:
        return ExitCode.NOT_ACCEPTED_YET
    return ExitCode.OK


async def status(arguments: argparse.Namespace, output: Output) -> ExitCode:
    """Show the state of one node or all; fail if a node is unreachable."""
    async with _client(arguments, arguments.entry) as client:
        nodes = await client.status(arguments.all)
    output.value(nodes, status_lines(nodes, arguments.endpoints))
    unreachable = any(node.unreachable for node in nodes)
    return ExitCode.FAILED if unreachable else ExitCode.OK


async def usage(arguments: argparse.Namespace, output: Output) -> ExitCode:
    """Show the usage of workspaces, by window."""
    async with _client(arguments, arguments.entry) as client:
        windows = await client.usage(arguments.windows)
    output.value(windows, usage_table_lines(windows))
    return ExitCode.OK


async def drain(arguments: argparse.Namespace, output: Output) -> ExitCode:
    """Start the graceful shutdown of a node."""
    address = arguments.host_address
    async with _client(arguments, address) as client:
        await client.drain()
    output.value(_DrainResult(address), [f"{address} is stopping"])
    return ExitCode.OK


async def trace(arguments: argparse.Namespace, output: Output) -> ExitCode:
    """Print the finished spans of a trace from all hosts; fail if there are none."""
    if not TRACE_ID.fullmatch(arguments.trace_id):
        detail = "ID: must be 32 lower-case hexadecimal digits"
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
        *(_spans_of_host(arguments, address, output) for address in others)
    )
    spans += tuple(span for host_spans in found for span in host_spans)
    output.value([msgspec.Raw(span.encode()) for span in spans], spans)
    if not spans:
        output.note(
            _NoSpansNote(arguments.trace_id), "no host holds spans of the trace"
        )
    return ExitCode.OK if spans else ExitCode.FAILED


async def _spans_of_host(
    arguments: argparse.Namespace, address: Address, output: Output
) -> tuple[str, ...]:
    """Return the spans that another host holds, an empty tuple if it fails."""
    try:
        async with _client(arguments, address) as client:
            return await client.trace(arguments.trace_id)
    except BankrudderError as error:
        output.note(error.failure, f"{address}: {error.failure.reason.value}")
        return ()


class _NoSpansNote(msgspec.Struct, frozen=True):
    trace_id: str
    spans: int = 0


class _DrainResult(msgspec.Struct, frozen=True):
    address: Address
    stopping: bool = True


def _client(arguments: argparse.Namespace, address: Address) -> OperatorClient:
    token = read_token(arguments.token_file)
    credentials = credentials_of(arguments)
    return OperatorClient(address, token, credentials, timeout_s=arguments.timeout)


async def _apply_until_accepted(
    client: OperatorClient, document: str, base: Revision, wait_s: float
) -> Applied:
    """Apply a document, and apply it again until it is accepted or time is up.

    Applying the same document to the same base again makes no second revision, so
    the request is also sent again when a reply was lost.
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
        await asyncio.sleep(POLL_INTERVAL_S)


async def _wait_for_revision(
    client: OperatorClient, revision: Revision, wait_s: float
) -> ConfigurationDocument:
    """Return the node's configuration once it has `revision` or time is up."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_s
    while True:
        current = await client.configuration()
        if current.revision >= revision or loop.time() >= deadline:
            return current
        await asyncio.sleep(POLL_INTERVAL_S)
