"""Runs the soak: ``python -m soak --seed 7 --seconds 20``.

Prints progress while it runs and a report at the end; exits with 1 if a promise was
broken. A seed names the schedule of faults; what happens between processes is not
repeated exactly.
"""

import argparse
import asyncio
import itertools
import random
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "src"), str(ROOT / "tests")]

from outside.rpc_interface import RPC, apply  # noqa: E402
from outside.site import ENGINES, SCORERS, Site, configuration  # noqa: E402
from soak.clients import Caller, CrashingCaller, Trainer  # noqa: E402
from soak.faults import (  # noqa: E402
    CRASHING_KINDS,
    DUTY_KINDS,
    FIRST_KINDS,
    HEAL_S,
    KINDS,
    SECOND_KINDS,
    THIRD_KINDS,
    WORKSPACE_KINDS,
    draw,
)
from soak.history import History, violations  # noqa: E402
from soak.keyed import KeyedCaller  # noqa: E402
from soak.proxy import Proxy  # noqa: E402
from soak.workspaces import OTHER_CALLER, OTHER_KEY, SoakWorkspaces  # noqa: E402

EVENTS = 12
SAMPLES = 8
EVENT_GAP_S = 0.03
SLOW_EVENT_GAP_S = 0.15
"""Time between two events, for even and for odd seeds: short batches are many, long
ones are more often in the middle when a fault strikes."""

SERVED_SHARE = 0.9
"""Share of the requests made after the faults have healed that must be served."""

MIN_READERS = 3
"""Hosts from which on one reads the store for the others, so that runs have both."""

DOWN_S = 0.5
"""Time for which a crashed endpoint is away: some seconds on the platform."""

PLOT_COLUMNS = 60


KINDS_BY_NAME = {
    "first": FIRST_KINDS,
    "second": SECOND_KINDS,
    "third": THIRD_KINDS,
    "crashing": CRASHING_KINDS,
    "duties": DUTY_KINDS,
    "all": frozenset(KINDS),
}


class SoakRun:
    """One run: a site behind proxies, clients, a schedule, and what was seen."""

    def __init__(self, seed, seconds, hosts, engines, strikes, folder):
        self.seed = seed
        self._event_gap_s = SLOW_EVENT_GAP_S if seed % 2 else EVENT_GAP_S
        self.history = History()
        # A host that can be suspended runs on another loop than the daemon's own.
        is_suspended = any(strike.kind == "suspend" for strike in strikes)
        self.site = Site(
            folder,
            hosts,
            engines,
            EVENTS,
            rpc=RPC,
            min_feed_hosts=MIN_READERS,
            suspendable=int(is_suspended),
        )
        has_workspaces = any(strike.kind in WORKSPACE_KINDS for strike in strikes)
        self.workspaces = SoakWorkspaces(self) if has_workspaces else None
        self.engine_proxies = []
        self.revision = 1
        self.trainers = []
        self._over = asyncio.Event()
        self._crashing = {}
        self._starts = itertools.count(1)
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._strikes = strikes
        self._struck = []
        self._began = 0.0
        self._restarting = set()

    def pick_host(self, strike):
        """Return the host that a strike is on."""
        return self.site.hosts[strike.target % len(self.site.hosts)]

    async def restart(self, host):
        """Start a host again unless another strike has done so."""
        if host in self._restarting or host.is_running:
            return
        self._restarting.add(host)
        try:
            await host.start()
        finally:
            self._restarting.discard(host)

    async def run(self):
        """Play the run; return the broken promises."""
        await self._start()
        trainers, callers = self._clients()
        self.trainers = trainers
        self._began = time.monotonic()
        over = self._over
        keeper = asyncio.ensure_future(self._bring_back())
        clients = [
            asyncio.ensure_future(client.run(over)) for client in trainers + callers
        ]
        strikes = [
            asyncio.ensure_future(self._strike(strike)) for strike in self._strikes
        ]
        try:
            await asyncio.gather(*strikes)
            await self._heal()
            healed = self.history.healed_at = time.monotonic()
            await asyncio.sleep(HEAL_S)
            over.set()
            await asyncio.gather(*clients, *self._crashing.values())
            for trainer in trainers:
                await trainer.check_kept()
            self._collect()
            found = violations(self.history, EVENTS)
            if self.workspaces is not None:
                found += await self.workspaces.broken(self.site)
            return found + self._not_recovered(callers, trainers, healed)
        finally:
            self.report(trainers, callers)
            for task in [*clients, *strikes, *self._crashing.values(), keeper]:
                task.cancel()

    async def stop(self):
        """End all that was started."""
        await self.site.stop()
        for proxy in self.engine_proxies:
            await proxy.stop()
        if self.workspaces is not None:
            await self.workspaces.platform.stop()

    def put_configuration(self):
        """Write the next version of the configuration."""
        self.revision += 1
        tenants = {}
        if self.workspaces is not None:
            tenants = {"tenants": self.workspaces.document()}
        document = configuration(self.revision, **tenants)
        self.site.rows.put("op", "config", document)

    async def _start(self):
        if self.workspaces is not None:
            self.site.duties = await self.workspaces.start()
        await self.site.start(proxy_factory=Proxy)
        if self.workspaces is not None:
            self.put_configuration()
            self.site.key = self.workspaces.key
        for engine in self.site.engines:
            engine.event_gap_s = self._event_gap_s
            engine.appends_version = True
            proxy = await Proxy(engine.address).start()
            engine.on_crash.append(proxy.refuse)
            self.engine_proxies.append(proxy)
        for number in range(len(self.site.engines)):
            self.list_engine(number)
        await apply(self.site)
        await asyncio.sleep(0.5)

    async def ask_on_and_on(self, content):
        """Make a request that crashes endpoints until the run is over."""
        if content not in self._crashing:
            caller = CrashingCaller(self.site, random.Random(content), content)
            self._crashing[content] = asyncio.ensure_future(caller.run(self._over))

    async def _bring_back(self):
        """Start crashed endpoints again, engines under their names."""
        while True:
            for scorer in self.site.scorers:
                if scorer.has_crashed:
                    self.site.rows.remove("servers", scorer.id)
                    await asyncio.sleep(DOWN_S)
                    await scorer.restart_after_crash(
                        f"scorer-again-{next(self._starts)}"
                    )
                    document = scorer.document(SCORERS)
                    self.site.rows.put("servers", scorer.id, document)
            for number, engine in enumerate(self.site.engines):
                if engine.has_crashed:
                    await asyncio.sleep(DOWN_S)
                    await engine.restart_after_crash(born=time.time_ns() // 1_000_000)
                    await self.engine_proxies[number].start()
                    self.list_engine(number)
            await asyncio.sleep(DOWN_S / 10)

    def list_engine(self, number):
        """Write an engine's entry as it is now."""
        engine = self.site.engines[number]
        address = self.engine_proxies[number].address
        document = {**engine.document(ENGINES), "address": address}
        self.site.rows.put("servers", engine.id, document)

    def _clients(self):
        def rng():
            return random.Random(self._rng.random())

        trainers = [
            Trainer(self.site, self.history, rng(), "first", SAMPLES, True),
            Trainer(self.site, self.history, rng(), "second", SAMPLES, False),
        ]
        callers: list[Caller | KeyedCaller] = [
            Caller(self.site, self.history, rng(), name, self._key_of(name))
            for name in ("caller0", "caller1", "caller2")
        ]
        callers += [KeyedCaller(self.site, self.history, rng()) for _ in range(2)]
        return trainers, callers

    def _key_of(self, caller):
        has_own = self.workspaces is not None and caller == OTHER_CALLER
        return OTHER_KEY if has_own else ""

    async def _strike(self, strike):
        await asyncio.sleep(self._began + strike.at_s - time.monotonic())
        self._struck.append((strike.at_s, strike.kind))
        print(f"{strike.at_s:7.2f} s  {strike.kind}", flush=True)
        await KINDS[strike.kind](self, strike)

    async def _heal(self):
        for host in self.site.hosts:
            await self.restart(host)
        await self.site.wait_ready()

    def _collect(self):
        for endpoint in self.site.engines + self.site.scorers:
            self.history.arrivals += endpoint.arrival_times
            self._collect_crashes(endpoint)
            for request_id, count in endpoint.run_counts.items():
                runs = self.history.runs.get(request_id, 0)
                self.history.runs[request_id] = runs + count
        for engine in self.site.engines:
            self.history.orders += [
                (at, engine.id, holder, fence)
                for at, holder, fence in engine.order_times
            ]

    def _collect_crashes(self, endpoint):
        moments = [at for at, _ in endpoint.arrival_times]
        for at, (_, _, path, body) in zip(moments, endpoint.arrivals, strict=True):
            if body in endpoint.crash_on:
                self.history.crashes[path, body].append(at)

    def _not_recovered(self, callers, trainers, healed):
        since = healed + HEAL_S / 2
        served = sum(at > since for each in callers for at in each.served)
        failed = sum(at > since for each in callers for at in each.failed)
        if served < SERVED_SHARE * (served + failed) or not served:
            yield_text = f"{served} of {served + failed} requests after healing"
            return [f"not recovered: served {yield_text}"]
        if not any(trainer.steps_done for trainer in trainers):
            return ["no step was whole in the whole run"]
        return []

    def usage_lines(self):
        """Return a table of what workspaces used, if there are any."""
        return self.workspaces.usage_lines() if self.workspaces is not None else []

    def report(self, trainers, callers):
        """Print figures and a plot of served requests with the faults marked."""
        served = sorted(at for each in callers for at in each.served)
        failed = sum(len(each.failed) for each in callers)
        print(
            f"seed {self.seed}: {len(served)} requests served, {failed} not; steps "
            f"whole {sum(each.steps_done for each in trainers)}, "
            f"cut {sum(each.steps_cut for each in trainers)}; "
            f"{len(self._struck)} faults; orders {len(self.history.orders)}"
        )
        for (path, body), moments in self.history.crashes.items():
            print(f"crashing {path} {body!r}: {len(moments)} runs")
        if served:
            self._plot(served)

    def _plot(self, served):
        span = max(served[-1] - self._began, 1.0)
        counts = [0] * PLOT_COLUMNS
        marks = [" "] * PLOT_COLUMNS
        for at in served:
            counts[min(int((at - self._began) / span * PLOT_COLUMNS), 59)] += 1
        for at_s, _ in self._struck:
            marks[min(int(at_s / span * PLOT_COLUMNS), PLOT_COLUMNS - 1)] = "x"
        most = max(counts)
        blocks = " .:-=+*#"
        line = "".join(blocks[round(7 * count / most)] for count in counts)
        print(f"served  |{line}|\nfaults  |{''.join(marks)}|  {span:.0f} s")


def _keep_logs(run, folder):
    folder.mkdir(parents=True, exist_ok=True)
    for host in run.site.hosts:
        target = folder / f"seed-{run.seed}-{host.name}.log"
        target.write_bytes(host.log_path.read_bytes())


async def _play(arguments, seed):
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        run = SoakRun(
            seed,
            arguments.seconds,
            arguments.hosts,
            arguments.engines,
            draw(
                random.Random(seed),
                arguments.seconds,
                arguments.strikes,
                KINDS_BY_NAME[arguments.kinds],
            ),
            Path(folder),
        )
        try:
            found = await run.run()
            if found and arguments.keep_logs:
                _keep_logs(run, Path(arguments.keep_logs))
        finally:
            await run.stop()
    for sentence in found:
        print(f"BROKEN with seed {seed}: {sentence}")
    return found


def main():
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=None, help="the first seed")
    parser.add_argument("--runs", type=int, default=1, help="seeds, one after another")
    parser.add_argument("--seconds", type=float, default=15.0, help="time of faults")
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--engines", type=int, default=3)
    parser.add_argument("--strikes", type=int, default=10, help="faults or series")
    parser.add_argument(
        "--kinds",
        choices=sorted(KINDS_BY_NAME),
        default="all",
        help="draw from some kinds of faults only; kept seeds draw from earlier ones",
    )
    parser.add_argument("--keep-logs", default="", help="folder for logs of failures")
    arguments = parser.parse_args()
    first = arguments.seed
    if first is None:
        first = random.SystemRandom().randrange(10**6)
    broken = []
    for seed in range(first, first + arguments.runs):
        if asyncio.run(_play(arguments, seed)):
            broken.append(seed)
    print(f"{arguments.runs} runs from seed {first}: broken {broken or 'none'}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
