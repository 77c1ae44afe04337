"""The periodic work of a node beside the tasks of its components."""

import asyncio

from bankrudder import batches, crashes, presence
from bankrudder.node._components import AsyncFunction, NodeComponents
from bankrudder.orders import PACES_PAUSE_S


def background_tasks(components: NodeComponents) -> dict[str, AsyncFunction]:
    """Return the periodic work of a node, by name."""

    async def share_paces() -> None:
        await _share_paces(components)

    return {
        "paces": share_paces,
        **_platform_duties(components),
        **_cleaning_tasks(components),
    }


async def _share_paces(components: NodeComponents) -> None:
    """Write the measured paces of engines, and read all while holding the lease."""
    while True:
        await asyncio.sleep(PACES_PAUSE_S)
        if components.batches.running_batch_count:
            await components.paces.write_changed()
        if components.lease.is_valid:
            await components.paces.read_all()


def _platform_duties(components: NodeComponents) -> dict[str, AsyncFunction]:
    """Return the tasks for duties to the platform."""
    tasks: dict[str, AsyncFunction] = {}
    if components.usage is not None:
        tasks |= components.usage.background_tasks()
    if components.supply is not None:
        tasks |= components.supply.background_tasks()
    return tasks


def _cleaning_tasks(components: NodeComponents) -> dict[str, AsyncFunction]:
    """Return the tasks that remove old rows, by what they remove."""
    cleaners = {
        "batches": (batches.CLEANING_PAUSE_S, components.batch_cleaner.clean),
        "hosts": (presence.CLEANING_PAUSE_S, components.host_cleaner.clean),
        "crashes": (crashes.CLEANING_PAUSE_S, components.crashes.clean),
    }
    return {
        f"cleaning {name}": components.while_lease_held(
            f"cleaning of {name}", pause_s, clean
        )
        for name, (pause_s, clean) in cleaners.items()
    }
