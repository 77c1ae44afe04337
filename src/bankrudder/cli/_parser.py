"""The command line: subcommands, options and their help."""

import argparse
from collections.abc import Callable

from bankrudder.cli import _calls, _commands, _logs
from bankrudder.cli._commands import Command
from bankrudder.cli._exit import EXIT_CODES_HELP
from bankrudder.config import address_error
from bankrudder.world import Address

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

The entry is the ip:port where any node listens for callers and operators.
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser; each subcommand sets ``run`` to its `Command`."""
    parser = argparse.ArgumentParser(
        prog="bankrudder",
        description="Configure, watch and try out a bankrudder system.",
        epilog=f"{_EXAMPLES}\n{EXIT_CODES_HELP}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    subparsers = parser.add_subparsers(metavar="COMMAND", required=True)

    def add(
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

    _add_configuring(add)
    _add_reading(add)
    _add_operation(add)
    _add_trials(add)
    _add_logs(add)
    return parser


Add = Callable[..., argparse.ArgumentParser]


def _add_logs(add: Add) -> None:
    find = add(
        "find", _logs.find, "follow an id through the logs of hosts", entry=False
    )
    find.add_argument("id", metavar="ID", help="of a request, a batch or a sample")
    find.add_argument(
        "files", metavar="LOG", nargs="+", help="logs of hosts; - for stdin"
    )


def _add_configuring(add: Add) -> None:
    check = add("check", _commands.check_file, "check a file, offline", entry=False)
    check.add_argument("file", metavar="FILE", help="a configuration; - for stdin")
    check.add_argument(
        "--settings", action="store_true", help="the file holds settings of a node"
    )

    apply = add("apply", _commands.apply, "replace the configuration")
    apply.add_argument("file", metavar="FILE", help="a configuration; - for stdin")
    apply.add_argument(
        "--base-revision",
        type=_count,
        metavar="N",
        help="the revision that FILE was made from (default: the newest, so that a "
        "change which you have not seen is overwritten)",
    )
    apply.add_argument(
        "--wait",
        type=_seconds,
        default=0.0,
        metavar="SECONDS",
        help="ask again for so long until it is accepted",
    )


def _add_reading(add: Add) -> None:
    diff = add("diff", _commands.diff, "show what applying a file would change")
    diff.add_argument("file", metavar="FILE", help="a configuration; - for stdin")

    get = add("get", _commands.get, "print the configuration in force")
    get.add_argument("--output", metavar="FILE", help="write it to FILE instead")
    get.add_argument(
        "--revision",
        type=_count,
        default=0,
        metavar="N",
        help="fail with 3 if the node holds a lower revision",
    )
    get.add_argument(
        "--wait",
        type=_seconds,
        default=0.0,
        metavar="SECONDS",
        help="ask again for so long until the node holds --revision",
    )

    schema = add("schema", _commands.schema, "print a JSON Schema", entry=False)
    schema.add_argument("document", choices=("configuration", "settings"))


def _add_operation(add: Add) -> None:
    status = add("status", _commands.status, "show a node, or all of them")
    status.add_argument("--all", action="store_true", help="tell of all hosts")
    status.add_argument("--endpoints", action="store_true", help="list endpoints too")

    usage = add("usage", _commands.usage, "show what workspaces used")
    usage.add_argument(
        "--windows",
        type=_count,
        default=0,
        metavar="N",
        help="the newest N windows (default: those of about a minute)",
    )

    drain = add("drain", _commands.drain, "stop a node gracefully", entry=False)
    drain.add_argument("host_address", type=_address, metavar="HOST-ADDRESS")
    _add_token_options(drain)

    trace = add("trace", _commands.trace, "print the finished spans of a trace")
    trace.add_argument("trace_id", metavar="ID", help="32 hexadecimal digits")


def _add_trials(add: Add) -> None:
    call = add("call", _calls.call, "make one call as the token's caller")
    call.add_argument("pool", metavar="POOL")
    call.add_argument("--method", default="", help="method of a plain service")
    call.add_argument(
        "--payload", default="-", metavar="FILE", help="its payload (default: stdin)"
    )
    call.add_argument("--data-class", default="", metavar="NAME")
    call.add_argument(
        "--key",
        metavar="UUID",
        help="idempotency key, a UUID of version 7 (default: a new one)",
    )
    call.add_argument("--max-tokens", type=_count, default=0, metavar="N")

    step = add("step", _calls.step, "run one step as the token's trainer")
    step.add_argument("job", metavar="JOB")
    step.add_argument("--step", type=_count, required=True, metavar="N")
    step.add_argument(
        "--prompts", required=True, metavar="FILE", help="one prompt a line"
    )
    step.add_argument("--samples-per-group", type=_count, default=1, metavar="N")
    step.add_argument("--data-class", default="", metavar="NAME")


def _common_options() -> argparse.ArgumentParser:
    options = argparse.ArgumentParser(add_help=False)
    options.add_argument("--json", action="store_true", help="write JSON")
    return options


def _entry_options() -> argparse.ArgumentParser:
    options = argparse.ArgumentParser(add_help=False)
    options.add_argument(
        "--entry",
        type=_address,
        required=True,
        metavar="ADDRESS",
        help="ip:port of a node",
    )
    _add_token_options(options)
    return options


def _add_token_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--token-file", metavar="FILE", help="file that holds the bearer token"
    )
    parser.add_argument(
        "--ca", metavar="FILE", help="PEM certificates to trust (default: no TLS)"
    )
    parser.add_argument(
        "--certificate", metavar="FILE", help="PEM certificate to show, for mutual TLS"
    )
    parser.add_argument(
        "--key-file", metavar="FILE", help="PEM private key of --certificate"
    )
    parser.add_argument(
        "--timeout",
        type=_seconds,
        default=DEFAULT_TIMEOUT_S,
        metavar="SECONDS",
        help="longest wait for one reply (default: %(default)s)",
    )


def _address(text: str) -> Address:
    problem = address_error(text)
    if problem:
        raise argparse.ArgumentTypeError(f"{text!r}: {problem}")
    return Address(text)


def _count(text: str) -> int:
    if not text.isascii() or not text.isdigit():
        raise argparse.ArgumentTypeError(f"{text!r}: allowed is a number from 0")
    return int(text)


def _seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 <= seconds < float("inf"):
        raise argparse.ArgumentTypeError(f"{text!r}: allowed are seconds from 0")
    return seconds
