"""The configuration: everything that operators manage, in one document."""

import msgspec

from bankrudder.world._callers import Caller, CallerClass, Job, Workspace
from bankrudder.world._endpoints import Pool
from bankrudder.world._places import DataCentre, DataClass


class Configuration(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """The document in force on every host, replaced as a whole by a new revision.

    The order within each tuple has no meaning; names are unique within a tuple.
    """

    data_centres: tuple[DataCentre, ...] = ()
    data_classes: tuple[DataClass, ...] = ()
    caller_classes: tuple[CallerClass, ...] = ()
    callers: tuple[Caller, ...] = ()
    pools: tuple[Pool, ...] = ()
    jobs: tuple[Job, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
