"""Applying a configuration, and the configuration in force on one host."""

import asyncio

import pytest

from bankrudder.config import ConfigurationService
from bankrudder.config._service import MAX_CONFIGURATION_AGE_S
from bankrudder.exceptions import InvalidError, NotRunError, OutcomeUnknownError
from bankrudder.failures import FailureReason
from bankrudder.presence import Presence
from bankrudder.world import SystemClock
from outside.site import until
from outside.store import GateMode


@pytest.fixture
async def service(store, manual_clock):
    presence = Presence(store, "host", "life", SystemClock())
    service = ConfigurationService(store, presence, manual_clock)
    task = asyncio.ensure_future(service.run())
    yield service
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def test_before_the_first_configuration_requests_are_refused(service):
    with pytest.raises(NotRunError) as caught:
        _ = service.index
    assert caught.value.failure.reason is FailureReason.NO_CONFIGURATION


async def test_an_applied_configuration_comes_into_force(service, document):
    assert (await service.apply(document(), 0)).revision == 1
    await until(lambda: service.revision == 1)
    assert service.index.pool("quotes").model
    assert service.document == document()


async def test_a_host_refuses_requests_with_an_outdated_configuration(
    service, document, gate, manual_clock
):
    await service.apply(document(), 0)
    await until(lambda: service.revision == 1)
    gate.mode = GateMode.BUSY
    await asyncio.sleep(1.0)
    manual_clock.advance(MAX_CONFIGURATION_AGE_S - 1)
    assert service.index
    manual_clock.advance(2)
    with pytest.raises(NotRunError) as caught:
        _ = service.index
    assert caught.value.failure.reason is FailureReason.STALE_CONFIGURATION
    gate.mode = GateMode.OPEN
    await until(lambda: _is_known(service))


def _is_known(service):
    try:
        return service.index is not None
    except NotRunError:
        return False


async def test_a_base_that_is_not_the_newest_is_a_conflict(service, document):
    await service.apply(document(), 0)
    with pytest.raises(InvalidError) as caught:
        await service.apply(document(queue_limit=7), 0)
    assert caught.value.failure.reason is FailureReason.REVISION_CONFLICT


async def test_an_apply_without_a_reply_from_the_store_has_an_unknown_outcome(
    store, document, gate
):
    presence = Presence(store, "host", "life", SystemClock())
    service = ConfigurationService(store, presence, SystemClock())
    gate.hang_replies = True
    with pytest.raises(OutcomeUnknownError):
        await service.apply(document(), 0)
    gate.hang_replies = False
    assert (await service.apply(document(), 0)).revision == 1


async def test_an_invalid_document_does_not_replace_the_one_in_force(
    service,
    document,
    rows,
):
    await service.apply(document(), 0)
    await until(lambda: service.revision == 1)
    rows.objects["strange"] = b"{}"
    rows.put("configuration", "newest", {"revision": 2, "object_name": "strange"})
    await asyncio.sleep(0.3)
    assert service.revision == 1
    assert service.index.pool("quotes")


async def test_an_apply_waits_for_hosts_that_became_ready_just_before(
    store, document, rows, monkeypatch
):
    monkeypatch.setattr("bankrudder.config._service.IN_FORCE_WAIT_S", 0.3)
    # This host has not read the heartbeats since the other one became ready.
    presence = Presence(store, "host", "life", SystemClock())
    service = ConfigurationService(store, presence, SystemClock())
    heartbeat = {"lifetime": "other-life", "count": 1, "rpc_address": "127.0.0.1:1"}
    rows.put("hosts", "other", heartbeat)
    outcome = await service.apply(document(), 0)
    assert outcome.pending_hosts == ("other",)
    rows.put("hosts", "other", {**heartbeat, "count": 2, "revision": 1})
    assert (await service.apply(document(), 0)).accepted
