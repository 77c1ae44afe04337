"""The argument parser: subcommands, options and their help."""

import argparse
from collections.abc import Callable

from bankrudder.cli import _calls, _commands, _logs
from bankrudder.cli._commands import Command
from bankrudder.cli._exit import EXIT_CODES_HELP
from bankrudder.client import TrainerSettings
from bankrudder.decoding import decode_decimal
from bankrudder.world import Address, address_error

DEFAULT_TIMEOUT_S = 20.0

_EXAMPLES = """\
examples:
  bankrudder check tasman.json
  bankrudder check --settings node.json
  bankrudder get --entry 10.10.1.11:7000 --token-file op.token --output now.json
  bankrudder diff now.json --entry 10.10.1.11:7000 --token-file op.token
  bankrudder apply now.json --base-revision 7 --wait 10 \\
      --entry 10.10.1.11:7000 --token-file op.token
  bankrudder status --all --entry 10.10.1.11:7000 --token-file op.token
  bankrudder find 9c41d07be2a35f68 logs/*.log
  bankrudder drain 10.10.2.11:7000 --token-file op.token
  echo '{"lease": 7}' | bankrudder call quote-desk --method quote \\
      --entry 10.10.1.11:7000 --token-file desk.token --data-class lease

The entry is the ip:port on which a node accepts callers and operators.
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser; each subcommand sets ``run`` to its `Command`."""
    parser = argparse.ArgumentParser(
        prog="bankrudder",
        description="Configure, monitor and test a bankrudder system.",
        epilog=f"{_EXAMPLES}\n{EXIT_CODES_HELP}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    subparsers = parser.add_subparsers(metavar="COMMAND", required=True)

    def add_subparser(
        name: str, command: Command, summary: str, *, entry: bool = True
    ) -> argparse.ArgumentParser:
        parents = [_common_options(), *([_entry_options()] if entry else [])]
        subparser = subparsers.add_parser(
            name,
            help=summary,
            description=summary,
            epilog=EXIT_CODES_HELP,
            parents=parents,
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        subparser.set_defaults(run=command)
        return subparser

    _add_configuration_commands(add_subparser)
    _add_query_commands(add_subparser)
    _add_operation_commands(add_subparser)
    _add_client_commands(add_subparser)
    _add_log_commands(add_subparser)
    return parser


AddSubparser = Callable[..., argparse.ArgumentParser]


def _add_log_commands(add_subparser: AddSubparser) -> None:
    find = add_subparser(
        "find", _logs.find, "search the logs of hosts for an ID", entry=False
    )
    find.add_argument(
        "id",
        metavar="ID",
        help="ID of a request, batch, sample or call, or of a request's content",
    )
    find.add_argument(
        "files", metavar="LOG", nargs="+", help="log files of hosts; - for stdin"
    )


def _add_configuration_commands(add_subparser: AddSubparser) -> None:
    check = add_subparser(
        "check",
        _commands.check_file,
        "validate a file without contacting a node",
        entry=False,
    )
    check.add_argument("file", metavar="FILE", help="configuration file; - for stdin")
    check.add_argument(
        "--settings", action="store_true", help="FILE holds the settings of a node"
    )

    apply = add_subparser("apply", _commands.apply, "replace the configuration")
    apply.add_argument("file", metavar="FILE", help="configuration file; - for stdin")
    apply.add_argument(
        "--base-revision",
        type=_parse_count,
        metavar="N",
        help="revision that FILE is based on (default: the newest one, which may "
        "overwrite a change that FILE does not contain)",
    )
    apply.add_argument(
        "--wait",
        type=_parse_seconds,
        default=0.0,
        metavar="SECONDS",
        help="retry for up to SECONDS until the revision is accepted",
    )


def _add_query_commands(add_subparser: AddSubparser) -> None:
    diff = add_subparser(
        "diff", _commands.diff, "show what applying a file would change"
    )
    diff.add_argument("file", metavar="FILE", help="configuration file; - for stdin")

    get = add_subparser("get", _commands.get, "print the configuration in force")
    get.add_argument("--output", metavar="FILE", help="write to FILE instead of stdout")
    get.add_argument(
        "--revision",
        type=_parse_count,
        default=0,
        metavar="N",
        help="exit with 3 if the node has an older revision",
    )
    get.add_argument(
        "--wait",
        type=_parse_seconds,
        default=0.0,
        metavar="SECONDS",
        help="retry for up to SECONDS until the node has --revision",
    )

    schema = add_subparser(
        "schema", _commands.schema, "print a JSON Schema", entry=False
    )
    schema.add_argument("document", choices=("configuration", "settings"))


def _add_operation_commands(add_subparser: AddSubparser) -> None:
    status = add_subparser(
        "status", _commands.status, "show the state of one node or all"
    )
    status.add_argument(
        "--all", action="store_true", help="show the nodes of all hosts"
    )
    status.add_argument("--endpoints", action="store_true", help="also list endpoints")

    usage = add_subparser("usage", _commands.usage, "show the usage of workspaces")
    usage.add_argument(
        "--windows",
        type=_parse_count,
        default=0,
        metavar="N",
        help="show the newest N windows (default: about a minute)",
    )

    drain = add_subparser(
        "drain", _commands.drain, "shut down a node gracefully", entry=False
    )
    drain.add_argument("host_address", type=_parse_address, metavar="HOST-ADDRESS")
    _add_connection_options(drain)

    trace = add_subparser(
        "trace", _commands.trace, "print the finished spans of a trace"
    )
    trace.add_argument("trace_id", metavar="ID", help="32 hexadecimal digits")


def _add_client_commands(add_subparser: AddSubparser) -> None:
    call = add_subparser(
        "call", _calls.call, "make one call as the caller with the token"
    )
    call.add_argument("pool", metavar="POOL")
    call.add_argument("--method", default="", help="method of a service")
    call.add_argument(
        "--payload",
        default="-",
        metavar="FILE",
        help="payload of the call (default: stdin)",
    )
    call.add_argument("--data-class", default="", metavar="NAME")
    call.add_argument(
        "--key",
        metavar="UUID",
        help="idempotency key, a version 7 UUID (default: a new one)",
    )
    call.add_argument("--max-tokens", type=_parse_count, default=0, metavar="N")

    step = add_subparser(
        "step", _calls.step, "run one step as the trainer with the token"
    )
    step.add_argument("job", metavar="JOB")
    step.add_argument("--step", type=_parse_count, required=True, metavar="N")
    step.add_argument(
        "--prompts", required=True, metavar="FILE", help="file with one prompt per line"
    )
    step.add_argument("--samples-per-group", type=_parse_count, default=1, metavar="N")
    step.add_argument("--data-class", default="", metavar="NAME")
    step.set_defaults(timeout=TrainerSettings().patience_s)


def _common_options() -> argparse.ArgumentParser:
    options = argparse.ArgumentParser(add_help=False)
    options.add_argument(
        "--json", action="store_true", help="write JSON instead of text"
    )
    return options


def _entry_options() -> argparse.ArgumentParser:
    options = argparse.ArgumentParser(add_help=False)
    options.add_argument(
        "--entry",
        type=_parse_address,
        required=True,
        metavar="ADDRESS",
        help="ip:port of a node",
    )
    _add_connection_options(options)
    return options


def _add_connection_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--token-file", metavar="FILE", help="file that holds the bearer token"
    )
    parser.add_argument(
        "--ca", metavar="FILE", help="PEM certificates to trust (default: no TLS)"
    )
    parser.add_argument(
        "--certificate", metavar="FILE", help="PEM client certificate for mutual TLS"
    )
    parser.add_argument(
        "--key-file", metavar="FILE", help="PEM private key of --certificate"
    )
    parser.add_argument(
        "--timeout",
        type=_parse_seconds,
        default=DEFAULT_TIMEOUT_S,
        metavar="SECONDS",
        help="longest wait for a reply (default: %(default)s)",
    )


def _parse_address(text: str) -> Address:
    problem = address_error(text)
    if problem:
        raise argparse.ArgumentTypeError(f"{text!r}: {problem}")
    return Address(text)


def _parse_count(text: str) -> int:
    number = decode_decimal(text)
    if number is None:
        raise argparse.ArgumentTypeError(f"{text!r}: must be an integer, 0 or more")
    return number


def _parse_seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 <= seconds < float("inf"):
        raise argparse.ArgumentTypeError(
            f"{text!r}: must be a number of seconds, 0 or more"
        )
    return seconds
