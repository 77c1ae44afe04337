"""The command ``bankrudder``.

Operators configure and observe nodes with it, and make calls and steps for tests.
"""

import asyncio
from argparse import Namespace
from collections.abc import Sequence

from bankrudder.cli._commands import Command
from bankrudder.cli._exit import ExitCode, exit_code_of
from bankrudder.cli._output import Output
from bankrudder.cli._parser import build_parser
from bankrudder.exceptions import BankrudderError

__all__ = ["ExitCode", "build_parser", "main"]


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line and return its exit code.

    Parameters
    ----------
    argv : sequence of str, optional
        Arguments; the default is the arguments of the process.
    """
    arguments = build_parser().parse_args(argv)
    output = Output(arguments.json)
    command: Command = arguments.run
    try:
        return asyncio.run(_run(command, arguments, output))
    except BankrudderError as error:
        output.failure(error.failure)
        return exit_code_of(error.failure)
    except KeyboardInterrupt:
        return ExitCode.FAILED


async def _run(command: Command, arguments: Namespace, output: Output) -> ExitCode:
    return await command(arguments, output)
