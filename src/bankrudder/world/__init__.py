"""Value types that the packages share: configuration, identifiers, steps and clock."""

from bankrudder.world._addresses import address_error, host_and_port
from bankrudder.world._callers import Caller, CallerClass, CallerRole, Job, Workspace
from bankrudder.world._clock import Clock, SystemClock
from bankrudder.world._configuration import Configuration
from bankrudder.world._endpoints import Contract, Pool, PoolKind
from bankrudder.world._ids import (
    NO_WORKSPACE,
    Address,
    CallerClassName,
    CallerName,
    CallKey,
    DataCentreName,
    DataClassName,
    GroupId,
    HostId,
    JobName,
    ModelVersion,
    PoolName,
    RegionName,
    Revision,
    SampleId,
    StepNumber,
    WorkspaceName,
)
from bankrudder.world._limits import RpcLimits
from bankrudder.world._places import DataCentre, DataClass
from bankrudder.world._request_marks import request_mark
from bankrudder.world._steps import (
    SampleSlot,
    StepEnd,
    StepSample,
    StepShape,
    VersionSpan,
)

__all__ = [
    "Address",
    "CallKey",
    "Caller",
    "CallerClass",
    "CallerClassName",
    "CallerName",
    "CallerRole",
    "Clock",
    "Configuration",
    "Contract",
    "DataCentre",
    "DataCentreName",
    "DataClass",
    "DataClassName",
    "GroupId",
    "HostId",
    "Job",
    "JobName",
    "ModelVersion",
    "NO_WORKSPACE",
    "Pool",
    "PoolKind",
    "PoolName",
    "RegionName",
    "Revision",
    "RpcLimits",
    "SampleId",
    "SampleSlot",
    "StepEnd",
    "StepNumber",
    "StepSample",
    "StepShape",
    "SystemClock",
    "VersionSpan",
    "Workspace",
    "WorkspaceName",
    "request_mark",
    "address_error",
    "host_and_port",
]
