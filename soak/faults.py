"""The faults of the soak, struck from outside the daemons."""

import asyncio
import time
from dataclasses import dataclass, replace

from outside.crashing import CRASHING
from outside.site import HANGUP_SIGNAL, PAUSE_SIGNAL, RESUME_SIGNAL
from outside.store import GateMode
from soak.proxy import LinkMode

HEAL_S = 6.0
"""Time after the last fault in which everything has to work again."""


@dataclass
class Strike:
    """One fault: when, which, on whom, for how long."""

    at_s: float
    kind: str
    target: int
    seconds: float


def draw(rng, length_s, count, kinds):
    """Draw a schedule; strikes come in series and overlap.

    ``kinds`` are names of `KINDS`; the same seed draws the same schedule only from the
    same ones.
    """
    strikes = []
    for _ in range(count):
        at_s = rng.uniform(1.0, length_s)
        series = rng.choice([1, 1, 2, 3])
        for number in range(series):
            strikes.append(
                Strike(
                    min(at_s + number * rng.uniform(0.05, 1.0), length_s),
                    rng.choice(sorted(kinds)),
                    rng.randrange(1000),
                    rng.uniform(0.3, 4.0),
                )
            )
    return sorted(strikes, key=lambda strike: strike.at_s)


async def _kill(run, strike):
    host = run.pick_host(strike)
    await host.kill()
    await asyncio.sleep(strike.seconds / 4)
    await run.restart(host)


async def _kill_all(run, strike):
    hosts = list(run.site.hosts)
    for host in hosts:
        await host.kill()
    await asyncio.sleep(strike.seconds / 4)
    for host in hosts:
        await run.restart(host)


async def _stop(run, strike):
    host = run.pick_host(strike)
    if host.is_running:
        host.terminate()
        await host.wait_exited(9.0)
    await run.restart(host)


async def _freeze(run, strike):
    host = run.pick_host(strike)
    host.signal_if_running(PAUSE_SIGNAL)
    await asyncio.sleep(strike.seconds)
    host.signal_if_running(RESUME_SIGNAL)


async def _hang_up(run, strike):
    run.pick_host(strike).signal_if_running(HANGUP_SIGNAL)


async def _store_gate(run, strike, mode):
    gate = run.pick_host(strike).gate
    gate.mode = mode
    await asyncio.sleep(strike.seconds)
    gate.mode = GateMode.OPEN


async def _store_all(run, strike, mode):
    for host in run.site.hosts:
        host.gate.mode = mode
    await asyncio.sleep(strike.seconds)
    for host in run.site.hosts:
        host.gate.mode = GateMode.OPEN


async def _store_link(run, strike, mode):
    proxy = run.pick_host(strike).store_proxy
    proxy.mode = mode
    await asyncio.sleep(strike.seconds)
    proxy.mode = LinkMode.OPEN
    if mode is not LinkMode.DELAYED:
        # What was swallowed leaves these connections of no use to anybody.
        proxy.reset_all()


async def _store_reset(run, strike):
    run.pick_host(strike).store_proxy.reset_all()


async def _store_lost(run, strike):
    run.pick_host(strike).gate.lose_replies += 3


async def _store_late(run, strike):
    gate = run.pick_host(strike).gate
    gate.delay_commits += 2
    await asyncio.sleep(strike.seconds)
    gate.apply_delayed()


async def _history_lost(run, strike):
    run.site.rows.discard_history()


async def _engine_link(run, strike, mode):
    proxy = run.engine_proxies[strike.target % len(run.engine_proxies)]
    proxy.mode = mode
    await asyncio.sleep(strike.seconds)
    proxy.mode = LinkMode.OPEN
    proxy.reset_all()


async def _engine_cuts(run, strike):
    run.site.engines[strike.target % len(run.site.engines)].reset_after += [1, 2, 3]


async def _endpoint_fails(run, strike, how):
    endpoints = run.site.engines + run.site.scorers
    endpoints[strike.target % len(endpoints)].fail_next += [how] * 3


async def _order_lost(run, strike):
    run.site.engines[strike.target % len(run.site.engines)].lose_order_replies += 1


async def _order_late(run, strike):
    engine = run.site.engines[strike.target % len(run.site.engines)]
    engine.delay_orders += 1
    await asyncio.sleep(strike.seconds)
    await engine.apply_delayed()


async def _engine_starts_again(run, strike):
    """Restart an engine under its name; every other time the list tells so later."""
    number = strike.target % len(run.site.engines)
    run.site.engines[number].begin_new_run(time.time_ns() // 1_000_000)
    run.engine_proxies[number].reset_all()
    if strike.target % 2:
        await asyncio.sleep(strike.seconds)
    run.list_engine(number)


async def _entry_unreadable(run, strike):
    number = strike.target % len(run.site.engines)
    key = ("servers", "", run.site.engines[number].id)
    run.site.rows.commit([], [(key, b'{"state": "\xff')], [])
    await asyncio.sleep(strike.seconds)
    run.list_engine(number)


async def _request_crashes(run, strike):
    """Have a request come again and again that crashes the endpoints which run it."""
    content = b"crash %d" % strike.target
    for scorer in run.site.scorers:
        scorer.crash_on.add(content)
    await run.ask_on_and_on(content)


async def _sample_crashes(run, strike):
    """Have one sample of a next step crash the engines which run it."""
    run.trainers[strike.target % len(run.trainers)].crash_next()
    for engine in run.site.engines:
        engine.crash_on.add(CRASHING)
        engine.crash_after_events = strike.target % 3


async def _suspend(run, strike):
    """Suspend the host for which that can be done."""
    await run.site.hosts[0].suspend(strike.seconds)


async def _configure(run, strike):
    run.put_configuration()


async def _key_taken_away(run, strike):
    """Replace the key that clients show; the former one goes a moment later."""
    await run.workspaces.replace_key(strike.seconds)


async def _duty_answers(run, strike, answer):
    run.workspaces.platform.answers += [answer] * 3


UNLEARNED = 40
"""Answers that are lost one after the other, more than a holder makes calls."""

SETTLED_S = 4.0
"""Time after which a window is settled without the counts of a host: as the soak's
platform asks for reports within this time."""


async def _counts_late(run, strike):
    """Have counts come after their reports, of which nobody learns that they arrived.

    Then the holder is lost, and another one has the reports and more counts than they
    tell of.
    """
    gates = [host.gate for host in run.site.hosts]
    for gate in gates:
        gate.refuses_table = "usage"
    answers = run.workspaces.platform.answers
    answers += ["lost"] * UNLEARNED
    await asyncio.sleep(SETTLED_S)
    for gate in gates:
        gate.refuses_table = ""
    await asyncio.sleep(strike.seconds / 2)
    await _holder(run, strike, _kill)
    answers.clear()


async def _duty_slow(run, strike):
    run.workspaces.platform.delay_s = strike.seconds
    await asyncio.sleep(2 * strike.seconds)
    run.workspaces.platform.delay_s = 0.0


async def _holder(run, strike, struck):
    """Strike the host that made the last call of a duty."""
    calls = run.workspaces.platform.calls
    name = calls[-1][1] if calls else ""
    for number, host in enumerate(run.site.hosts):
        if host.name == name:
            await struck(run, replace(strike, target=number))


def _with(strike_kind, *arguments):
    async def struck(run, strike):
        await strike_kind(run, strike, *arguments)

    return struck


KINDS = {
    "kill": _kill,
    "kill_all": _kill_all,
    "stop": _stop,
    "freeze": _freeze,
    "hang_up": _hang_up,
    "store_busy_for_one": _with(_store_gate, GateMode.BUSY),
    "store_reset_for_one": _with(_store_gate, GateMode.RESET),
    "store_busy_for_all": _with(_store_all, GateMode.BUSY),
    "store_silent_for_all": _with(_store_all, GateMode.SILENT),
    "store_link_silent": _with(_store_link, LinkMode.SILENT),
    "store_link_one_way": _with(_store_link, LinkMode.NO_REPLIES),
    "store_link_slow": _with(_store_link, LinkMode.DELAYED),
    "store_connections_reset": _store_reset,
    "store_replies_lost": _store_lost,
    "store_commits_late": _store_late,
    "store_history_lost": _history_lost,
    "engine_link_silent": _with(_engine_link, LinkMode.SILENT),
    "engine_link_one_way": _with(_engine_link, LinkMode.NO_REPLIES),
    "engine_link_slow": _with(_engine_link, LinkMode.DELAYED),
    "engine_cuts_streams": _engine_cuts,
    "endpoint_errors": _with(_endpoint_fails, "500"),
    "endpoint_full": _with(_endpoint_fails, "full"),
    "endpoint_resets": _with(_endpoint_fails, "reset"),
    "endpoint_truncates": _with(_endpoint_fails, "truncated"),
    "endpoint_answers_another": _with(_endpoint_fails, "foreign"),
    "order_reply_lost": _order_lost,
    "order_late": _order_late,
    "configuration_changed": _configure,
}

FIRST_KINDS = frozenset(KINDS)
"""What seeds that are kept as tests draw from, so that they stay what they were."""

KINDS |= {
    "engine_starts_again": _engine_starts_again,
    "entry_unreadable": _entry_unreadable,
}

SECOND_KINDS = frozenset(KINDS)
"""The same for seeds that are kept from later on."""

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
"""Requests that crash endpoints, and what may hide them or be taken for one."""

KINDS |= {
    "request_crashes": _request_crashes,
    "sample_crashes": _sample_crashes,
    "suspend": _suspend,
}

THIRD_KINDS = frozenset(KINDS)
"""The same for seeds that are kept from before workspaces."""

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
"""Workspaces whose keys change, and hosts that lose a duty in the middle of it."""

KINDS |= {
    "key_taken_away": _key_taken_away,
    "counts_late": _counts_late,
    "duty_answers_lost": _with(_duty_answers, "lost"),
    "duty_refused": _with(_duty_answers, 503),
    "duty_silent": _with(_duty_answers, "silent"),
    "duty_slow": _duty_slow,
    "holder_killed": _with(_holder, _kill),
    "holder_frozen": _with(_holder, _freeze),
    "holder_stopped": _with(_holder, _stop),
}

WORKSPACE_KINDS = DUTY_KINDS - THIRD_KINDS
"""Kinds that need workspaces: runs without any of them have none."""
