"""Wait until a sample may run that was running on engines when they crashed."""

import asyncio

import structlog

from bankrudder.batches._values import BatchId
from bankrudder.crashes import Admission, ContentId, CrashGuard, RefusalPolicy
from bankrudder.world import SampleId

MAX_HOLD_S = 1.0
"""Longest pause before a sample under which engines crashed is checked again. An answer
to the same request on any host, or another sample that explains the crashes, may clear
it at any time."""

_log = structlog.get_logger("batches")


async def wait_for_admission(
    crashes: CrashGuard, content: ContentId, batch: BatchId, sample: SampleId
) -> bool:
    """Wait until a sample may run; return whether it is a suspect.

    The sample is owed, so that it waits for seconds at most.
    """
    is_logged = False
    while True:
        decision = crashes.decision(content, RefusalPolicy.BRIEF)
        if decision.admission is not Admission.REFUSED:
            return decision.admission is Admission.ALONE
        if not is_logged:
            is_logged = True
            _log.warning(
                "batches: sample held back",
                batch=batch,
                sample=sample,
                content=content,
                reason="crashes_endpoints",
                strikes=decision.strikes,
                retry_after_s=round(decision.retry_after_s, 1),
            )
        await asyncio.sleep(min(decision.retry_after_s, MAX_HOLD_S))
