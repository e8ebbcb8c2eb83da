"""The worker protocol: what a request to a worker says, and what its answer proves.  No I/O;
docs/worker-protocol.md."""

from __future__ import annotations

from urllib.parse import quote

import msgspec

from swiftwell.fronts.trigger import Ran, Trigger
from swiftwell.http.http1 import Request, Response
from swiftwell.interface import Status
from swiftwell.workers.verdict import Verdict

NO_FUNCTION = "-"  # a question that is about the worker and no function
_FOUND = {"warm": 1, "loaded": 2, "waited": 3}


def run(gateway: str, worker: str, id_: str, number: int, left_us: int, trigger: Trigger) -> Request:
    """The request that runs a call.  Names are percent-encoded: they come from publishers."""
    headers = {
        "host": worker,
        "swiftwell-gateway": gateway,
        "swiftwell-call": f"{gateway}/{id_}/{number}",
        "swiftwell-class": quote(trigger.request_class, safe=""),
        "swiftwell-tenant": quote(trigger.tenant, safe=""),
        "swiftwell-left-ms": str(max(0, left_us // 1_000)),
        "swiftwell-memory-mb": f"{trigger.memory_mb:g}",
        "swiftwell-lanes": str(trigger.lanes),
    }
    if trigger.key:
        headers["swiftwell-key"] = quote(trigger.key, safe="")
    return Request("POST", "/run/" + quote(trigger.function, safe="/"), headers, trigger.payload)


def hold(gateway: str, worker: str, function: str, copies: int, memory_mb: float, lanes: int) -> Request:
    """The order to hold so many copies of a function; with 0 copies it only asks how many stand."""
    headers = {"host": worker, "swiftwell-gateway": gateway}
    target = "/copies/" + quote(function, safe="/")
    if not copies:
        return Request("GET", target, headers)
    headers |= {
        "swiftwell-copies": str(copies),
        "swiftwell-memory-mb": f"{memory_mb:g}",
        "swiftwell-lanes": str(lanes),
    }
    return Request("PUT", target, headers)


def _number(response: Response, name: str, default: float) -> float:
    try:
        value = float(response.headers.get(name, default))
    except ValueError:
        return default
    return value if 0 <= value < 1e15 else default


def started_ms(response: Response) -> float:
    """The start that a worker says of itself; 0 where it says none."""
    return _number(response, "swiftwell-started-ms", 0.0)


def ran(response: Response) -> Verdict:
    """What the answer to `run` proves.

    Only the worker's own word, `swiftwell-verdict`, says that it did not run: a plain 503 may come from
    anything on
    the way.  Reports that can't be read count as untold.
    """
    verdict = response.headers.get("swiftwell-verdict", "")
    held = _number(response, "swiftwell-held", -1.0)
    crowd = int(_number(response, "swiftwell-crowd", 0))
    start = started_ms(response)
    if response.status == 200:
        found = _FOUND.get(response.headers.get("swiftwell-found", ""), 0)
        return Verdict(Status.OK, Ran.YES, found, crowd, held, verdict == "draining", start)
    if response.status == 503 and verdict in ("full", "draining"):
        return Verdict(Status.FULL, Ran.NEVER, 0, crowd, held, verdict == "draining", start)
    if response.status == 404 and verdict == "miss":
        return Verdict(Status.MISS, Ran.NEVER, 0, crowd, held, False, start)
    return Verdict(Status.ERROR, Ran.MAYBE, 0, crowd, held, verdict == "draining", start)


def held(response: Response) -> tuple[Status, int, bool]:
    """What the answer to `hold` says: status, copies that stand, whether the worker drains."""
    draining = response.headers.get("swiftwell-verdict", "") == "draining"
    if response.status == 200:
        try:
            copies = msgspec.json.decode(response.body, type=dict[str, int]).get("copies", 0)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return Status.ERROR, 0, draining
        return Status.OK, max(0, copies), draining
    if response.status == 503:
        return Status.FULL, 0, draining
    return Status.ERROR, 0, draining
