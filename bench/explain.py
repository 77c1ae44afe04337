"""Four kinds of failed request, each brought about and explained from its id.

Starts a small site on loopback, lets a call be refused, a call that may run once lose
its answer, a step come late, and a request crash endpoints, and shows for each what
``bankrudder find`` prints of the hosts' logs.
"""

import asyncio
import contextlib
import io
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]

from bankrudder.cli import main as command  # noqa: E402
from outside.crashing import CRASHING, CrashingService, add_third_scorer  # noqa: E402
from outside.site import SCORERS, Site, check_results, until  # noqa: E402


async def ask(site, request_id, faults):
    """Make a request that may run once while endpoints fail; return the id."""
    for scorer in site.scorers:
        scorer.fail_next = list(faults)
    status, headers, _ = await site.call(
        site.hosts[0],
        "POST",
        "/once/1",
        body=b"x",
        headers={"X-Request-Deadline": "1500", "X-Request-Id": request_id},
    )
    for scorer in site.scorers:
        scorer.fail_next = []
    print(f"the caller got {status}, Retry-After {headers.get('Retry-After')}")
    return request_id


async def refuse(site):
    """Let all endpoints be full; return the request's id."""
    return await ask(site, "refused-1", ["full"] * 20)


async def lose(site):
    """Let the answer to a call that may run once be lost; return its id."""
    return await ask(site, "lost-1", ["reset"])


async def delay(site):
    """Kill the host that works on a step; return the step's id."""
    for engine in site.engines:
        engine.events, engine.event_gap_s = 30, 0.05
    await site.submit(site.hosts[0], "late-1", samples=4)
    await until(lambda: any(engine.arrivals for engine in site.engines))
    [row] = [row for key, row in site.rows.rows.items() if key[0] == "owners"]
    owner = next(host for host in site.hosts if host.name in row[1].decode())
    await owner.kill()
    began = time.monotonic()
    left = [host for host in site.hosts if host is not owner]
    results = await site.read_all("late-1", 4, left)
    check_results(results, "late-1", 4, events=30)
    print(f"the last sample came {time.monotonic() - began:.1f} s after the kill")
    return "late-1"


async def crash(site):
    """Let a request crash endpoints until it is refused; return its last id."""
    service = CrashingService(site, SCORERS, await add_third_scorer(site))
    for number in range(4):
        await until(lambda: service.all_are_running)
        await asyncio.sleep(0.5)
        status, headers, body = await site.call(
            site.hosts[number % 3],
            "POST",
            "/once/1",
            body=CRASHING,
            headers={"X-Request-Deadline": "1500", "X-Request-Id": f"crash-{number}"},
        )
        told = f"Retry-After {headers.get('Retry-After')}, {body.decode().strip()}"
        print(f"the caller got {status}, {told}")
    await service.stop()
    return "crash-3"


async def explain():
    """Bring the failures about, one after the other; return the ids without lines."""
    missing = []
    with tempfile.TemporaryDirectory(prefix="explain-") as folder:
        site = await Site(Path(folder)).start()
        try:
            for bring_about in (refuse, lose, crash, delay):
                print(f"\n== {(bring_about.__doc__ or '').partition(';')[0]}")
                wanted = await bring_about(site)
                await asyncio.sleep(0.2)
                logs = [str(host.log_path) for host in site.hosts]
                print(f"$ bankrudder find {wanted} logs/*.log")
                text = await asyncio.to_thread(_found, wanted, logs)
                print(text, end="")
                if not text:
                    missing.append(wanted)
        finally:
            await site.stop()
    return missing


def _found(wanted, logs):
    text = io.StringIO()
    with contextlib.redirect_stdout(text):
        command(["find", wanted, *logs])
    return text.getvalue()


if __name__ == "__main__":
    sys.exit(1 if asyncio.run(explain()) else 0)
