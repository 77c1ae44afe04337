"""Runs the soak test: ``python -m soak --seed 7 --seconds 20``.

Prints the injected faults during a run and a report at its end. The exit status is 1 if
a guarantee was violated. A seed determines the schedule of faults, but not the timing
between processes.
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
    BROKEN_ANSWER_KINDS,
    CRASHING_KINDS,
    DUTY_KINDS,
    FIRST_KINDS,
    KINDS,
    RECOVERY_WAIT_S,
    SECOND_KINDS,
    THIRD_KINDS,
    WORKSPACE_KINDS,
    draw,
)
from soak.history import History, violations  # noqa: E402
from soak.keyed import KeyedCaller  # noqa: E402
from soak.proxy import Proxy  # noqa: E402
from soak.workspaces import OTHER_CALLER, OTHER_KEY, SoakWorkspaces  # noqa: E402

EVENTS_PER_SAMPLE = 12
SAMPLES_PER_STEP = 8
EVENT_GAP_S = 0.03
"""Time between two events of a sample for even seeds; it is short, so that there are
many batches."""

SLOW_EVENT_GAP_S = 0.15
"""Time between two events of a sample for odd seeds; it is long, so that batches are
more often in progress when a fault is injected."""

SERVED_SHARE = 0.9
"""Share of the requests after recovery that must be served."""

MIN_FEED_HOSTS = 3
"""Smallest number of running hosts at which one host reads the store for the others.

It is less than the default number of hosts, so that one host reads for all until faults
stop others, and each host then reads for itself.
"""

RESTART_DELAY_S = 0.5
"""Time after which crashed endpoints are restarted; on the platform, some seconds."""

PLOT_COLUMNS = 60


KINDS_BY_NAME = {
    "first": FIRST_KINDS,
    "second": SECOND_KINDS,
    "third": THIRD_KINDS,
    "crashing": CRASHING_KINDS,
    "duties": DUTY_KINDS,
    "broken_answers": BROKEN_ANSWER_KINDS,
    "all": frozenset(KINDS),
}


class SoakRun:
    """One soak run: hosts and engines behind proxies, clients, faults and a history."""

    def __init__(self, seed, seconds, hosts, engines, schedule, folder):
        self.seed = seed
        self._event_gap_s = SLOW_EVENT_GAP_S if seed % 2 else EVENT_GAP_S
        self.history = History()
        # A host that can be suspended does not run on the daemon's usual event loop.
        has_suspension = any(fault.kind == "suspend" for fault in schedule)
        self.site = Site(
            folder,
            hosts,
            engines,
            EVENTS_PER_SAMPLE,
            rpc=RPC,
            min_feed_hosts=MIN_FEED_HOSTS,
            suspendable=int(has_suspension),
        )
        has_workspaces = any(fault.kind in WORKSPACE_KINDS for fault in schedule)
        self.workspaces = SoakWorkspaces(self) if has_workspaces else None
        self.engine_proxies = []
        self.revision = 1
        self.trainers = []
        self._stop_event = asyncio.Event()
        self._crashing_callers = {}
        self._start_numbers = itertools.count(1)
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._schedule = schedule
        self._injected = []
        self._started_at = 0.0
        self._restarting = set()
        self.frozen = set()

    def pick_host(self, fault):
        """Return the host that `fault` affects."""
        return self.site.hosts[fault.target % len(self.site.hosts)]

    async def restart(self, host):
        """Restart a host unless it runs already or another fault is restarting it."""
        if host in self._restarting or host.is_running:
            return
        self._restarting.add(host)
        try:
            await host.start()
        finally:
            self._restarting.discard(host)

    async def run(self):
        """Execute the run; return a sentence for each violated guarantee."""
        await self._start()
        trainers, callers = self._make_clients()
        self.trainers = trainers
        self._started_at = time.monotonic()
        stop_event = self._stop_event
        restart_task = asyncio.ensure_future(self._restart_crashed_endpoints())
        clients = [
            asyncio.ensure_future(client.run(stop_event))
            for client in trainers + callers
        ]
        fault_tasks = [
            asyncio.ensure_future(self._inject(fault)) for fault in self._schedule
        ]
        try:
            await asyncio.gather(*fault_tasks)
            await self._recover_hosts()
            recovery_time = self.history.recovered_at = time.monotonic()
            await asyncio.sleep(RECOVERY_WAIT_S)
            stop_event.set()
            await asyncio.gather(*clients, *self._crashing_callers.values())
            for trainer in trainers:
                await trainer.check_results_kept()
            self._collect()
            found = violations(self.history, EVENTS_PER_SAMPLE)
            if self.workspaces is not None:
                found += await self.workspaces.find_violations(self.site)
            return found + self._recovery_violations(callers, trainers, recovery_time)
        finally:
            self.report(trainers, callers)
            for task in [
                *clients,
                *fault_tasks,
                *self._crashing_callers.values(),
                restart_task,
            ]:
                task.cancel()

    async def stop(self):
        """Stop all processes, proxies and servers of the run."""
        await self.site.stop()
        for proxy in self.engine_proxies:
            await proxy.stop()
        if self.workspaces is not None:
            await self.workspaces.platform.stop()

    def put_configuration(self):
        """Write the next revision of the configuration."""
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

    async def repeat_crashing_request(self, content):
        """Repeat a request that crashes endpoints until the run ends."""
        if content not in self._crashing_callers:
            caller = CrashingCaller(self.site, random.Random(content), content)
            self._crashing_callers[content] = asyncio.ensure_future(
                caller.run(self._stop_event)
            )

    async def _restart_crashed_endpoints(self):
        """Restart crashed endpoints: scorers get a new name, engines keep theirs."""
        while True:
            for scorer in self.site.scorers:
                if scorer.has_crashed:
                    self.site.rows.remove("servers", scorer.id)
                    await asyncio.sleep(RESTART_DELAY_S)
                    await scorer.restart_after_crash(
                        f"scorer-again-{next(self._start_numbers)}"
                    )
                    document = scorer.document(SCORERS)
                    self.site.rows.put("servers", scorer.id, document)
            for number, engine in enumerate(self.site.engines):
                if engine.has_crashed:
                    await asyncio.sleep(RESTART_DELAY_S)
                    await engine.restart_after_crash(born=time.time_ns() // 1_000_000)
                    await self.engine_proxies[number].start()
                    self.list_engine(number)
            await asyncio.sleep(RESTART_DELAY_S / 10)

    def list_engine(self, number):
        """Write the current entry of an engine to the store."""
        engine = self.site.engines[number]
        address = self.engine_proxies[number].address
        document = {**engine.document(ENGINES), "address": address}
        self.site.rows.put("servers", engine.id, document)

    def _make_clients(self):
        def rng():
            return random.Random(self._rng.random())

        trainers = [
            Trainer(self.site, self.history, rng(), "first", SAMPLES_PER_STEP, True),
            Trainer(self.site, self.history, rng(), "second", SAMPLES_PER_STEP, False),
        ]
        callers: list[Caller | KeyedCaller] = [
            Caller(self.site, self.history, rng(), name, self._api_key_of(name))
            for name in ("caller0", "caller1", "caller2")
        ]
        callers += [KeyedCaller(self.site, self.history, rng()) for _ in range(2)]
        return trainers, callers

    def _api_key_of(self, caller):
        has_own = self.workspaces is not None and caller == OTHER_CALLER
        return OTHER_KEY if has_own else ""

    async def _inject(self, fault):
        await asyncio.sleep(self._started_at + fault.at_s - time.monotonic())
        self._injected.append((fault.at_s, fault.kind))
        print(f"{fault.at_s:7.2f} s  {fault.kind}", flush=True)
        await KINDS[fault.kind](self, fault)

    async def _recover_hosts(self):
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
        run_times = [at for at, _ in endpoint.arrival_times]
        for at, (_, _, path, body) in zip(run_times, endpoint.arrivals, strict=True):
            if body in endpoint.crash_on:
                self.history.crashes[path, body].append(at)

    def _recovery_violations(self, callers, trainers, recovery_time):
        since = recovery_time + RECOVERY_WAIT_S / 2
        served = sum(at > since for each in callers for at in each.served)
        failed = sum(at > since for each in callers for at in each.failed)
        if served < SERVED_SHARE * (served + failed) or not served:
            share_text = f"{served} of {served + failed} requests after recovery"
            return [f"not recovered: served {share_text}"]
        if not any(trainer.completed_step_count for trainer in trainers):
            return ["no step was completed in the whole run"]
        return []

    def usage_lines(self):
        """Return a table of usage by workspace as lines; empty without workspaces."""
        return self.workspaces.usage_lines() if self.workspaces is not None else []

    def report(self, trainers, callers):
        """Print counts and a plot of served requests over time, with faults marked."""
        served = sorted(at for each in callers for at in each.served)
        failed = sum(len(each.failed) for each in callers)
        print(
            f"seed {self.seed}: {len(served)} requests served, {failed} not; steps "
            f"completed {sum(each.completed_step_count for each in trainers)}, "
            f"timed out {sum(each.timed_out_step_count for each in trainers)}; "
            f"{len(self._injected)} faults; orders {len(self.history.orders)}"
        )
        for (path, body), run_times in self.history.crashes.items():
            print(f"crashing request {path} {body!r}: {len(run_times)} runs")
        if served:
            self._plot(served)

    def _plot(self, served):
        span = max(served[-1] - self._started_at, 1.0)
        counts = [0] * PLOT_COLUMNS
        marks = [" "] * PLOT_COLUMNS
        for at in served:
            counts[min(int((at - self._started_at) / span * PLOT_COLUMNS), 59)] += 1
        for at_s, _ in self._injected:
            marks[min(int(at_s / span * PLOT_COLUMNS), PLOT_COLUMNS - 1)] = "x"
        max_count = max(counts)
        blocks = " .:-=+*#"
        line = "".join(blocks[round(7 * count / max_count)] for count in counts)
        print(f"served  |{line}|\nfaults  |{''.join(marks)}|  {span:.0f} s")


def _copy_logs(run, folder):
    folder.mkdir(parents=True, exist_ok=True)
    for host in run.site.hosts:
        target = folder / f"seed-{run.seed}-{host.name}.log"
        target.write_bytes(host.log_path.read_bytes())


async def _run_seed(arguments, seed):
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
                _copy_logs(run, Path(arguments.keep_logs))
        finally:
            await run.stop()
    for sentence in found:
        print(f"BROKEN with seed {seed}: {sentence}")
    return found


def main():
    """Run the command-line interface."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument(
        "--seed", type=int, default=None, help="first seed, random by default"
    )
    parser.add_argument(
        "--runs", type=int, default=1, help="number of consecutive seeds"
    )
    parser.add_argument(
        "--seconds", type=float, default=15.0, help="time in which faults are injected"
    )
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--engines", type=int, default=3)
    parser.add_argument(
        "--strikes", type=int, default=10, help="number of fault series"
    )
    parser.add_argument(
        "--kinds",
        choices=sorted(KINDS_BY_NAME),
        default="all",
        help="set of fault kinds to draw from; seeds kept as tests use older sets",
    )
    parser.add_argument(
        "--keep-logs", default="", help="folder for the logs of failed runs"
    )
    arguments = parser.parse_args()
    first = arguments.seed
    if first is None:
        first = random.SystemRandom().randrange(10**6)
    broken = []
    for seed in range(first, first + arguments.runs):
        if asyncio.run(_run_seed(arguments, seed)):
            broken.append(seed)
    print(f"{arguments.runs} runs from seed {first}: broken {broken or 'none'}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
