"""Requests of a `non_idempotent` route while servers lose the answers of a few.

A server that loses an answer has run the request and resets the channel without an
answer. Rule TWICE allows one run of each request, whatever its method is.
"""

import asyncio
import itertools
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import HOST_NAME, CaseError, Server, Site, exchange, main, reset  # noqa: E402

DAEMON_COUNT = 3
SERVER_COUNT = 4
SLOTS = 6
WORK_S = 0.0375

METHODS = ("POST", "PUT", "GET", "DELETE")
REQUEST_COUNT = 300
REQUESTS_PER_S = 80.0
"""300 requests in 3.75 s: the disruption is allowed to last for 4.0 s."""

TIME_BUDGET_MS = 1500

LOSING_SERVER_COUNT = 2
"""Half of the servers lose answers: the pages allow a share of 0.5."""

LOST_SHARE = 0.05
"""Share of the requests run by such a server whose answers are lost: at most 0.05."""

CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "stock",
            "host": HOST_NAME,
            "path_prefix": "/stock/",
            "kind": "non_idempotent",
            "service": "preorder-api",
            "timeout_ms": 1500,
            "target_latency_ms": 200,
            "max_attempts": 3,
            "priority": 2,
        }
    ],
    "services": [{"name": "preorder-api", "max_connections": 110}],
    "limits": {},
}


class StockServer(Server):
    """An application server that may lose answers."""

    def __init__(self, number, record, loses_answers):
        super().__init__(number, "preorder-api", SLOTS)
        self.runs = []
        self.lost_count = 0
        self._record = record
        self._loses_answers = loses_answers

    async def run(self, writer, request):
        """Run a request; lose the answer if the share of lost ones allows it."""
        self.runs.append(request.id)
        self._record.note(f"{self.id} runs {request.method} {request.id}")
        await asyncio.sleep(WORK_S)
        if self._loses_answers and self.lost_count < int(LOST_SHARE * len(self.runs)):
            self.lost_count += 1
            self._record.note(f"{self.id} loses the answer of {request.id}")
            reset(writer)
            return
        self.answer(writer, request, 200, b"held " + request.body)


async def send(number, daemon, record):
    """Send one request once, as a requester that does not retry."""
    method = METHODS[number % len(METHODS)]
    request_id = f"r{number:04d}"
    headers = {
        "X-Request-Id": request_id,
        "X-Request-Deadline": str(TIME_BUDGET_MS),
    }
    body = b"bottle" if method in ("POST", "PUT") else b""
    record.note(f"sent {method} {request_id} to {daemon.name}")
    try:
        status, _, _ = await exchange(
            daemon.port, method, f"/stock/{number}", headers, body, 3.0
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record.note(f"{request_id} got no answer: {type(error).__name__}")
        return 0
    record.note(f"{request_id} answered {status}")
    return status


async def case(folder, record, with_disruption):
    """Return the violations of rule TWICE."""
    servers = [
        StockServer(number, record, with_disruption and number < LOSING_SERVER_COUNT)
        for number in range(SERVER_COUNT)
    ]
    site = Site(folder, DAEMON_COUNT, servers, CONFIGURATION)
    try:
        await site.start()
        daemons = itertools.cycle(site.daemons)
        sending = []
        for number in range(REQUEST_COUNT):
            sending.append(asyncio.ensure_future(send(number, next(daemons), record)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        statuses = Counter(await asyncio.gather(*sending))
    finally:
        await site.stop()
    lost = sum(server.lost_count for server in servers)
    record.note(f"answers by status (0: none): {dict(statuses)}; lost: {lost}")
    if statuses[200] < REQUEST_COUNT // 2 or (with_disruption and not lost):
        raise CaseError("too few requests were served, or no answer was lost")
    runs = Counter(request for server in servers for request in server.runs)
    return [
        f"TWICE: {request} ({METHODS[int(request[1:]) % len(METHODS)]}) ran {count}"
        " times, sent once by its requester"
        for request, count in sorted(runs.items())
        if count > 1
    ]


if __name__ == "__main__":
    main(case, FOLDER)
