"""Identifier types, one for each kind of object."""

from typing import NewType

from bankrudder.decoding import NonNegativeInt

HostId = NewType("HostId", str)
"""Name of a host, unique across all data centres."""

Address = NewType("Address", str)
"""``ip:port`` of a listener."""

DataCentreName = NewType("DataCentreName", str)
RegionName = NewType("RegionName", str)
DataClassName = NewType("DataClassName", str)
CallerClassName = NewType("CallerClassName", str)
CallerName = NewType("CallerName", str)
PoolName = NewType("PoolName", str)
JobName = NewType("JobName", str)

CallKey = NewType("CallKey", str)
"""Idempotency key that a caller generates: a UUID of version 7."""

ModelVersion = NewType("ModelVersion", NonNegativeInt)
"""Number of a set of weights of one model, increasing with each publication."""

Revision = NewType("Revision", NonNegativeInt)
"""Number of a configuration, increasing by one with each accepted change."""

WorkspaceName = NewType("WorkspaceName", str)
"""Name of a group of callers that share API keys, batches and usage reports."""

NO_WORKSPACE = WorkspaceName("")
"""Workspace of a request that belongs to none, because its route needs no API key or
no workspaces are configured."""

SampleId = NewType("SampleId", str)
"""Name of a sample, which is a text to generate, unique within its batch."""

GroupId = NewType("GroupId", str)
"""Name of a group: the samples of one prompt, which a trainer uses together."""

StepNumber = NewType("StepNumber", NonNegativeInt)
