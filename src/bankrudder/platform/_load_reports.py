"""Decoding of the load that endpoints report with their answers.

A report lists the running requests, the waiting requests and the slots. An endpoint
that shares its machine with other programs adds how long work takes there at present,
in percent of the usual time.
"""

import re

import aiohttp
import structlog

from bankrudder.fleet import ReportedLoad
from bankrudder.platform import _names as names

MAX_REQUEST_COUNT = 100_000
"""Largest number of requests or slots that is believed: a hundred times as many as any
endpoint accepts connections."""

MAX_SLOWDOWN_PERCENT = 10_000
"""Longest duration of work that is believed, in percent of the usual time. A machine
that is a hundred times slower answers no request in time, and a report with an earlier
answer says nothing about it."""

MAX_LOGGED_CHARS = 60
"""Maximum length of a report in a log line."""

_FIGURE = r" *(\d{1,9}) *"
_REPORT = re.compile(f"{_FIGURE},{_FIGURE},{_FIGURE}(?:,{_FIGURE})?", re.ASCII)

_log = structlog.get_logger("endpoints")


def reported_load(response: aiohttp.ClientResponse) -> ReportedLoad | None:
    """Return the load that a response reports.

    None if it reports none, or if the report is invalid. An invalid report is logged
    and has no other effect on the request.
    """
    text = response.headers.get(names.ENDPOINT_LOAD)
    if text is None:
        return None
    load = decode_load(text)
    if load is None:
        _log.info(
            "endpoints: load report not understood",
            address=f"{response.url.host}:{response.url.port}",
            report=text[:MAX_LOGGED_CHARS],
        )
    return load


def decode_load(text: str) -> ReportedLoad | None:
    """Decode a report of three or four figures; None if it is invalid."""
    match = _REPORT.fullmatch(text)
    if match is None:
        return None
    running, waiting, slots = (int(figure) for figure in match.groups()[:3])
    if not 0 < slots <= MAX_REQUEST_COUNT or running + waiting > MAX_REQUEST_COUNT:
        return None
    if match[4] is None:
        return ReportedLoad(running, waiting, slots)
    percent = int(match[4])
    if not 0 < percent <= MAX_SLOWDOWN_PERCENT:
        return None
    return ReportedLoad(running, waiting, slots, percent / 100)
