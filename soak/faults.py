"""Faults of the soak test, which are injected from outside the daemons."""

import asyncio
import time
from dataclasses import dataclass, replace

from outside.crashing import CRASHING
from outside.raw_answers import BROKEN
from outside.site import HANGUP_SIGNAL, PAUSE_SIGNAL, RESUME_SIGNAL
from outside.store import GateMode
from soak.proxy import LinkMode

GRACE_S = 8.0
"""The grace period of the daemons."""

SLOW_ANSWER_S = 2.0
"""Duration of the scorers' answers during a slow stop."""

RECOVERY_WAIT_S = 6.0
"""Time after the last fault in which the service has to recover completely."""


@dataclass
class Fault:
    """One scheduled fault.

    ``target`` is an arbitrary number, from which the affected host or endpoint is
    selected by a modulo.
    """

    at_s: float
    kind: str
    target: int
    duration_s: float


def draw(rng, length_s, count, kinds):
    """Draw a random schedule, in which faults come in series and overlap.

    ``kinds`` are names from `KINDS`. A seed gives the same schedule only with the same
    kinds.
    """
    schedule = []
    for _ in range(count):
        at_s = rng.uniform(1.0, length_s)
        series = rng.choice([1, 1, 2, 3])
        for number in range(series):
            schedule.append(
                Fault(
                    min(at_s + number * rng.uniform(0.05, 1.0), length_s),
                    rng.choice(sorted(kinds)),
                    rng.randrange(1000),
                    rng.uniform(0.3, 4.0),
                )
            )
    return sorted(schedule, key=lambda fault: fault.at_s)


async def _kill(run, fault):
    host = run.pick_host(fault)
    await host.kill()
    await asyncio.sleep(fault.duration_s / 4)
    await run.restart(host)


async def _kill_all(run, fault):
    hosts = list(run.site.hosts)
    for host in hosts:
        await host.kill()
    await asyncio.sleep(fault.duration_s / 4)
    for host in hosts:
        await run.restart(host)


async def _stop(run, fault):
    host = run.pick_host(fault)
    if host.is_running:
        host.terminate()
        await host.wait_exited(GRACE_S + 1.0)
    await run.restart(host)


async def _slow_stop(run, fault):
    """Stop a host while scorers are slow; it has to end by itself in the grace."""
    host = run.pick_host(fault)
    for scorer in run.site.scorers:
        scorer.delay_s = SLOW_ANSWER_S
    if host.is_running:
        process_id = host.pid
        host.terminate()
        began = time.monotonic()
        await host.wait_exited(GRACE_S)
        if time.monotonic() - began >= GRACE_S and host not in run.frozen:
            run.history.killed_stops.append((host.name, process_id))
    for scorer in run.site.scorers:
        scorer.delay_s = 0.0
    await run.restart(host)


async def _freeze(run, fault):
    host = run.pick_host(fault)
    run.frozen.add(host)
    host.signal_if_running(PAUSE_SIGNAL)
    await asyncio.sleep(fault.duration_s)
    host.signal_if_running(RESUME_SIGNAL)
    run.frozen.discard(host)


async def _hang_up(run, fault):
    run.pick_host(fault).signal_if_running(HANGUP_SIGNAL)


async def _store_gate(run, fault, mode):
    gate = run.pick_host(fault).gate
    gate.mode = mode
    await asyncio.sleep(fault.duration_s)
    gate.mode = GateMode.OPEN


async def _store_all(run, fault, mode):
    for host in run.site.hosts:
        host.gate.mode = mode
    await asyncio.sleep(fault.duration_s)
    for host in run.site.hosts:
        host.gate.mode = GateMode.OPEN


async def _store_link(run, fault, mode):
    proxy = run.pick_host(fault).store_proxy
    proxy.mode = mode
    await asyncio.sleep(fault.duration_s)
    proxy.mode = LinkMode.OPEN
    if mode is not LinkMode.DELAYED:
        # Bytes that were dropped make these connections unusable.
        proxy.reset_all()


async def _store_reset(run, fault):
    run.pick_host(fault).store_proxy.reset_all()


async def _store_lost(run, fault):
    run.pick_host(fault).gate.lose_replies += 3


async def _store_late(run, fault):
    gate = run.pick_host(fault).gate
    gate.delay_commits += 2
    await asyncio.sleep(fault.duration_s)
    gate.apply_delayed()


async def _history_lost(run, fault):
    run.site.rows.discard_history()


async def _engine_link(run, fault, mode):
    proxy = run.engine_proxies[fault.target % len(run.engine_proxies)]
    proxy.mode = mode
    await asyncio.sleep(fault.duration_s)
    proxy.mode = LinkMode.OPEN
    proxy.reset_all()


async def _engine_cuts(run, fault):
    run.site.engines[fault.target % len(run.site.engines)].reset_after += [1, 2, 3]


async def _endpoint_fails(run, fault, failure):
    endpoints = run.site.engines + run.site.scorers
    endpoints[fault.target % len(endpoints)].fail_next += [failure] * 3


async def _endpoint_answers_none(run, fault):
    """Let an endpoint answer with bytes that are no answer."""
    endpoints = run.site.engines + run.site.scorers
    endpoints[fault.target % len(endpoints)].fail_next += _broken_answers(fault)


async def _store_answers_none(run, fault):
    run.pick_host(fault).gate.broken_replies += _broken_answers(fault)


def _broken_answers(fault):
    kinds = [*BROKEN.values()]
    return [kinds[(fault.target + number) % len(kinds)] for number in range(3)]


async def _order_lost(run, fault):
    run.site.engines[fault.target % len(run.site.engines)].lose_order_replies += 1


async def _order_late(run, fault):
    engine = run.site.engines[fault.target % len(run.site.engines)]
    engine.delay_orders += 1
    await asyncio.sleep(fault.duration_s)
    await engine.apply_delayed()


async def _engine_starts_again(run, fault):
    """Restart an engine under its name.

    For every other target, its entry in the list of endpoints is updated late.
    """
    number = fault.target % len(run.site.engines)
    run.site.engines[number].begin_new_run(time.time_ns() // 1_000_000)
    run.engine_proxies[number].reset_all()
    if fault.target % 2:
        await asyncio.sleep(fault.duration_s)
    run.list_engine(number)


async def _entry_unreadable(run, fault):
    number = fault.target % len(run.site.engines)
    key = ("servers", "", run.site.engines[number].id)
    run.site.rows.commit([], [(key, b'{"state": "\xff')], [])
    await asyncio.sleep(fault.duration_s)
    run.list_engine(number)


async def _request_crashes(run, fault):
    """Repeat a request that crashes the endpoints which run it, until the run ends."""
    content = b"crash %d" % fault.target
    for scorer in run.site.scorers:
        scorer.crash_on.add(content)
    await run.repeat_crashing_request(content)


async def _sample_crashes(run, fault):
    """Let a sample of the next step of a trainer crash the engines which run it."""
    run.trainers[fault.target % len(run.trainers)].crash_next_step()
    for engine in run.site.engines:
        engine.crash_on.add(CRASHING)
        engine.crash_after_events = fault.target % 3


async def _suspend(run, fault):
    """Suspend host 0, the only one that can be suspended."""
    await run.site.hosts[0].suspend(fault.duration_s)


async def _configure(run, fault):
    run.put_configuration()


async def _key_taken_away(run, fault):
    """Replace the API key that clients send; revoke the previous one later."""
    await run.workspaces.replace_key(fault.duration_s)


async def _duty_answers(run, fault, answer):
    run.workspaces.platform.answers += [answer] * 3


LOST_ANSWER_COUNT = 40
"""Consecutive answers that are lost, more than the calls that a duty holder makes."""

WINDOW_SETTLED_S = 4.0
"""Time after which a usage window is settled even if the counts of a host are missing.

It equals `REPORT_DUE_S` in `soak.workspaces`.
"""


async def _counts_late(run, fault):
    """Delay usage counts until their windows were reported, and lose report answers.

    Then the duty holder is killed. Its successor finds the reports, and counts that are
    higher than the reported ones.
    """
    gates = [host.gate for host in run.site.hosts]
    for gate in gates:
        gate.refuses_table = "usage"
    answers = run.workspaces.platform.answers
    answers += ["lost"] * LOST_ANSWER_COUNT
    await asyncio.sleep(WINDOW_SETTLED_S)
    for gate in gates:
        gate.refuses_table = ""
    await asyncio.sleep(fault.duration_s / 2)
    await _holder(run, fault, _kill)
    answers.clear()


async def _duty_slow(run, fault):
    run.workspaces.platform.delay_s = fault.duration_s
    await asyncio.sleep(2 * fault.duration_s)
    run.workspaces.platform.delay_s = 0.0


async def _holder(run, fault, inject_fault):
    """Inject a fault into the host that made the last call of a duty."""
    calls = run.workspaces.platform.calls
    name = calls[-1][1] if calls else ""
    for number, host in enumerate(run.site.hosts):
        if host.name == name:
            await inject_fault(run, replace(fault, target=number))


def _bound(base_injector, *arguments):
    async def inject_fault(run, fault):
        await base_injector(run, fault, *arguments)

    return inject_fault


KINDS = {
    "kill": _kill,
    "kill_all": _kill_all,
    "stop": _stop,
    "freeze": _freeze,
    "hang_up": _hang_up,
    "store_busy_for_one": _bound(_store_gate, GateMode.BUSY),
    "store_reset_for_one": _bound(_store_gate, GateMode.RESET),
    "store_busy_for_all": _bound(_store_all, GateMode.BUSY),
    "store_silent_for_all": _bound(_store_all, GateMode.SILENT),
    "store_link_silent": _bound(_store_link, LinkMode.SILENT),
    "store_link_one_way": _bound(_store_link, LinkMode.NO_REPLIES),
    "store_link_slow": _bound(_store_link, LinkMode.DELAYED),
    "store_connections_reset": _store_reset,
    "store_replies_lost": _store_lost,
    "store_commits_late": _store_late,
    "store_history_lost": _history_lost,
    "engine_link_silent": _bound(_engine_link, LinkMode.SILENT),
    "engine_link_one_way": _bound(_engine_link, LinkMode.NO_REPLIES),
    "engine_link_slow": _bound(_engine_link, LinkMode.DELAYED),
    "engine_cuts_streams": _engine_cuts,
    "endpoint_errors": _bound(_endpoint_fails, "500"),
    "endpoint_full": _bound(_endpoint_fails, "full"),
    "endpoint_resets": _bound(_endpoint_fails, "reset"),
    "endpoint_truncates": _bound(_endpoint_fails, "truncated"),
    "endpoint_answers_another": _bound(_endpoint_fails, "foreign"),
    "order_reply_lost": _order_lost,
    "order_late": _order_late,
    "configuration_changed": _configure,
}

FIRST_KINDS = frozenset(KINDS)
"""Kinds for the oldest seeds that are kept as tests, so that their schedules stay the
same when kinds are added."""

KINDS |= {
    "engine_starts_again": _engine_starts_again,
    "entry_unreadable": _entry_unreadable,
}

SECOND_KINDS = frozenset(KINDS)
"""Kinds for kept seeds that were added after those of `FIRST_KINDS`."""

CRASHING_KINDS = frozenset(
    {
        "request_crashes",
        "sample_crashes",
        "suspend",
        "kill",
        "kill_all",
        "stop",
        "store_busy_for_all",
        "store_replies_lost",
        "endpoint_resets",
    }
)
"""Requests that crash endpoints, and faults that may hide such crashes or be mistaken
for them."""

KINDS |= {
    "request_crashes": _request_crashes,
    "sample_crashes": _sample_crashes,
    "suspend": _suspend,
}

THIRD_KINDS = frozenset(KINDS)
"""Kinds for kept seeds that were added after those of `SECOND_KINDS`.

They do not include the kinds that need workspaces.
"""

DUTY_KINDS = frozenset(
    {
        "key_taken_away",
        "counts_late",
        "duty_answers_lost",
        "duty_refused",
        "duty_silent",
        "duty_slow",
        "holder_killed",
        "holder_frozen",
        "holder_stopped",
        "kill_all",
        "suspend",
        "store_busy_for_one",
        "store_silent_for_all",
        "store_commits_late",
        "store_replies_lost",
        "configuration_changed",
    }
)
"""Key changes of workspaces, and faults of hosts that hold a duty."""

KINDS |= {
    "key_taken_away": _key_taken_away,
    "counts_late": _counts_late,
    "duty_answers_lost": _bound(_duty_answers, "lost"),
    "duty_refused": _bound(_duty_answers, 503),
    "duty_silent": _bound(_duty_answers, "silent"),
    "duty_slow": _duty_slow,
    "holder_killed": _bound(_holder, _kill),
    "holder_frozen": _bound(_holder, _freeze),
    "holder_stopped": _bound(_holder, _stop),
}

WORKSPACE_KINDS = DUTY_KINDS - THIRD_KINDS
"""Kinds that need workspaces; a run without any of them has no workspaces."""

BROKEN_ANSWER_KINDS = frozenset(
    {
        "endpoint_answers_none",
        "store_answers_none",
        "slow_stop",
        "stop",
        "kill",
        "hang_up",
        "store_replies_lost",
        "endpoint_full",
        "endpoint_truncates",
        "configuration_changed",
    }
)
"""Bytes that are no answer, stops beside slow endpoints, and similar faults."""

KINDS |= {
    "endpoint_answers_none": _endpoint_answers_none,
    "store_answers_none": _store_answers_none,
    "slow_stop": _slow_stop,
}
