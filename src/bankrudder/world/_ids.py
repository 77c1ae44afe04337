"""Identifier types, one for each kind of thing that is named."""

from typing import NewType

HostId = NewType("HostId", str)
"""Name of a host of the system, unique over all data centres."""

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
"""Idempotency key that a caller mints: a UUID of version 7."""

ModelVersion = NewType("ModelVersion", int)
"""Number of a set of weights of one model, growing by publication."""

Revision = NewType("Revision", int)
"""Number of a configuration, growing by one with each accepted change."""

WorkspaceName = NewType("WorkspaceName", str)
"""Name of a group of callers that share keys, batches and an account of usage."""

NO_WORKSPACE = WorkspaceName("")
"""Whose a request is that runs for no workspace: its route is open to all, or there are
no workspaces."""

SampleId = NewType("SampleId", str)
"""Name of a text to generate, unique in its batch."""

GroupId = NewType("GroupId", str)
"""Name of samples of one prompt, which a trainer uses together."""

StepNumber = NewType("StepNumber", int)
