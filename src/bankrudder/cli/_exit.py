"""Exit codes of the command."""

from enum import IntEnum

from bankrudder.failures import Failure, FailureKind, FailureReason


class ExitCode(IntEnum):
    """Exit code of the command; `EXIT_CODES_HELP` explains each one."""

    OK = 0
    FAILED = 1
    WRONG_INPUT = 2
    NOT_ACCEPTED_YET = 3
    CONFLICT = 4


EXIT_CODES_HELP = """\
exit codes:
  0  done
  1  failed; the error says whether the command may have taken effect
  2  invalid input; nothing was sent, or the node refused it as invalid
  3  not yet: the revision is written, but not in force on all live hosts, or the
     node has an older revision than --revision
  4  conflict: a newer revision was applied meanwhile
"""


def exit_code_of(failure: Failure) -> ExitCode:
    """Return the exit code for a failure."""
    match failure:
        case Failure(reason=FailureReason.REVISION_CONFLICT):
            return ExitCode.CONFLICT
        case Failure(reason=FailureReason.NOT_YET_EVERYWHERE):
            return ExitCode.NOT_ACCEPTED_YET
        case Failure(kind=FailureKind.INVALID):
            return ExitCode.WRONG_INPUT
        case _:
            return ExitCode.FAILED
