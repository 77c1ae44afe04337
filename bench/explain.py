"""Demonstration of ``bankrudder find`` on four kinds of failed requests.

Starts a few hosts and endpoints on loopback and causes four failures: a refused call, a
non-idempotent call whose answer is lost, a delayed step, and a request that crashes
endpoints. For each it prints what ``bankrudder find`` finds in the logs of the hosts.
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
    """Make a non-idempotent request while endpoints fail; return its id."""
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
    """Call while all endpoints are at capacity; return the request id."""
    return await ask(site, "refused-1", ["full"] * 20)


async def lose(site):
    """Lose the answer to a non-idempotent call; return the request id."""
    return await ask(site, "lost-1", ["reset"])


async def delay(site):
    """Kill the host that runs a step; return the id of the step."""
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
    print(f"the last sample arrived {time.monotonic() - began:.1f} s after the kill")
    return "late-1"


async def crash(site):
    """Repeat a request that crashes endpoints until it is refused; return its id."""
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
        answer_text = (
            f"Retry-After {headers.get('Retry-After')}, {body.decode().strip()}"
        )
        print(f"the caller got {status}, {answer_text}")
    await service.stop()
    return "crash-3"


async def explain():
    """Cause the failures one after the other; return the ids without any log lines."""
    missing = []
    with tempfile.TemporaryDirectory(prefix="explain-") as folder:
        site = await Site(Path(folder)).start()
        try:
            for cause_failure in (refuse, lose, crash, delay):
                print(f"\n== {(cause_failure.__doc__ or '').partition(';')[0]}")
                identifier = await cause_failure(site)
                await asyncio.sleep(0.2)
                logs = [str(host.log_path) for host in site.hosts]
                print(f"$ bankrudder find {identifier} logs/*.log")
                text = await asyncio.to_thread(_find_output, identifier, logs)
                print(text, end="")
                if not text:
                    missing.append(identifier)
        finally:
            await site.stop()
    return missing


def _find_output(identifier, logs):
    text = io.StringIO()
    with contextlib.redirect_stdout(text):
        command(["find", identifier, *logs])
    return text.getvalue()


if __name__ == "__main__":
    sys.exit(1 if asyncio.run(explain()) else 0)
