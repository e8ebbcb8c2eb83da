"""The HTTP worker protocol: requests to workers, and what their answers prove (docs/worker-protocol.md).

No I/O.
"""

from __future__ import annotations

from urllib.parse import quote

import msgspec

from swiftwell.fronts.trigger import Ran, Trigger
from swiftwell.http.http1 import Request, Response
from swiftwell.interface import Status
from swiftwell.workers.verdict import Verdict

NO_FUNCTION = "-"  # the function name of a query about the worker itself
_COPY_STATES = {"warm": 1, "loaded": 2, "waited": 3}


def run_request(gateway: str, worker: str, id_: str, number: int, left_us: int, trigger: Trigger) -> Request:
    """The request that runs a call.  Names are percent-encoded, as publishers choose them."""
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


def load_request(
    gateway: str, worker: str, function: str, copies: int, memory_mb: float, lanes: int
) -> Request:
    """The order to load this many copies of a function; with 0, a query for the number of copies."""
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
    """When the worker reports that it started; 0 where it reports nothing."""
    return _number(response, "swiftwell-started-ms", 0.0)


def run_verdict(response: Response) -> Verdict:
    """What the response to a run request proves.

    Only the worker's own header, `swiftwell-verdict`, proves that the call did not run: a plain 503 may come
    from any intermediary.  Reports that can't be parsed count as absent.
    """
    verdict = response.headers.get("swiftwell-verdict", "")
    calls_held = _number(response, "swiftwell-held", -1.0)
    calls_waiting = int(_number(response, "swiftwell-crowd", 0))
    start = started_ms(response)
    if response.status == 200:
        copy_state = _COPY_STATES.get(response.headers.get("swiftwell-found", ""), 0)
        return Verdict(
            Status.OK, Ran.YES, copy_state, calls_waiting, calls_held, verdict == "draining", start
        )
    if response.status == 503 and verdict in ("full", "draining"):
        return Verdict(Status.FULL, Ran.NEVER, 0, calls_waiting, calls_held, verdict == "draining", start)
    if response.status == 404 and verdict == "miss":
        return Verdict(Status.MISS, Ran.NEVER, 0, calls_waiting, calls_held, False, start)
    return Verdict(Status.ERROR, Ran.MAYBE, 0, calls_waiting, calls_held, verdict == "draining", start)


def load_result(response: Response) -> tuple[Status, int, bool]:
    """The response to a load request: status, number of copies, whether the worker drains."""
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
