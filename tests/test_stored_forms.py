"""Guards every stored or sent form against changes by a renamed identifier.

The files in tests/stored were written by an earlier build.  The present code must read each of them, and
write it again exactly as that build did."""

import ast
import asyncio
import dataclasses
import io as text
import json
import os
import socket
from collections import Counter
from contextlib import suppress
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from helpers import ORDERS

import swiftwell
from swiftwell import interface as io
from swiftwell.choice import Router
from swiftwell.cli import sites as site_plans
from swiftwell.cli.main import main as command
from swiftwell.discovery import entries, saved
from swiftwell.fleet import messages as fleet_messages
from swiftwell.fronts.mqtt import codec, contract
from swiftwell.fronts.trigger import Answer, Kind
from swiftwell.gateway import effects, journal
from swiftwell.gateway.logs import Logs
from swiftwell.gateway.shell import Gateway
from swiftwell.handover import snapshot, snapshot_file, state
from swiftwell.lab.world import World
from swiftwell.proof import account, days, rules, trace, verdict
from swiftwell.scale import results
from swiftwell.settings import platform, schema, site
from swiftwell.sites import operator_commands, recovery
from swiftwell.starting import copies, list_follower

STORED = Path(__file__).parent / "stored"
SOURCES = Path(swiftwell.__file__).parent


def stored(name):
    return (STORED / name).read_bytes()


def stored_json(name):
    return json.loads(stored(name))


def plain(raw):
    return msgspec.msgpack.decode(raw)


def outer(value):
    """A value without its inner names: settings by the keys of the document, others by position."""
    if isinstance(value, type) or value is None or isinstance(value, bool | int | float | str):
        return value
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, dict):
        return [[outer(key), outer(inner)] for key, inner in value.items()]
    if dataclasses.is_dataclass(value) and (named := list(schema.fields_of(type(value)))):
        return {field.name: outer(getattr(value, field.attribute)) for field in named}
    if dataclasses.is_dataclass(value):
        return [outer(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if hasattr(value, "value"):
        return value.value
    return [outer(inner) for inner in value]


# A router's snapshot.


def restored_router(settings, raw):
    router = Router(settings, 1)
    snapshot.restore(router, msgspec.msgpack.decode(raw, type=snapshot.RouterSnapshot))
    return router


def test_a_stored_snapshot_is_restored_and_captured_again_with_every_field():
    raw = stored("router.msgpack")
    router = restored_router(io.Settings(()), raw)
    assert plain(msgspec.msgpack.encode(snapshot.capture(router))) == plain(raw)


def test_every_stored_timer_is_set_again_with_its_action_subject_and_time():
    raw = stored("router.msgpack")
    router = restored_router(io.Settings(()), raw)
    timers = plain(raw)["timers"]
    assert {timer["act"] for timer in timers} == {
        "_sweep", "_watch", "_finish", "_half", "_late", "_load_failed", "look",
    }  # fmt: skip
    assert {token: due for token, (_, _, due) in router._timers.items()} == {
        timer["token"]: timer["due"] for timer in timers
    }
    methods = {}
    for timer in timers:
        method, args, _ = router._timers[timer["token"]]
        methods.setdefault(timer["act"], set()).add(getattr(method, "__func__", method))
        if timer["act"] in ("_finish", "_half"):
            assert args == (router.calls[timer["about"][0]],)
        elif timer["act"] == "_late":
            call, number = timer["about"]
            assert args == (router.calls[call].attempts[number],)
        elif timer["act"] == "_load_failed":
            worker, function = (router.workers[timer["about"][0]], router.functions[timer["about"][1]])
            assert args[:2] == (worker, function) and args[2] is not None
        else:
            assert args == ()
    # Each stored name has one method, and no two names share one.
    assert all(len(alike) == 1 for alike in methods.values())
    assert len(set.union(*methods.values())) == len(methods)


def decisions(raw, step_us):
    """The actions of a router restored from a snapshot, as plain values."""
    router, values = restored_router(ORDERS, raw), plain(raw)
    unanswered = [
        (call["request"]["id"], number, attempt["worker"])
        for call in values["calls"]
        for number, attempt in enumerate(call["attempts"])
        if attempt["out"]
    ]
    now, steps = values["now"], []
    for number in range(30):
        now += step_us
        due = sorted(token for token, (_, _, at) in router._timers.items() if at <= now)
        events = [io.Request(f"n{number}", "safe", "t", f"f{number % 9}", 900_000, 0, 100.0, 4, 0, False)]
        for call, attempt, worker in unanswered[number : number + 1]:
            events.append(io.Outcome(call, attempt, worker, io.Status.OK, 50_000, False, 0, ()))
        actions = router.handle(now, events + [io.Timer(token) for token in due])
        steps.append([[type(action).__name__, *map(outer, action)] for action in actions])
    return steps


def test_a_router_restored_from_a_stored_snapshot_decides_as_the_earlier_build_did():
    """The comparison of fields would not notice two stored fields that changed places."""
    expected = stored_json("router_actions.json")
    assert decisions(stored("router.msgpack"), expected["step_us"]) == expected["actions"]


def test_a_stored_snapshot_file_is_read_and_written_the_same():
    raw = stored("books")
    saved_snapshot = snapshot_file.decode(raw)
    assert snapshot_file.encode(saved_snapshot) == raw
    assert plain(msgspec.msgpack.encode(saved_snapshot.router)) == plain(stored("router.msgpack"))


# A gateway's state.


def test_a_state_with_every_field_off_its_default_is_read_and_written_the_same():
    raw = stored("gateway_every_field.msgpack")
    assert plain(state.encode(state.decode(raw))) == plain(raw)


def without_descriptors(value):
    """A state in which each index of a descriptor is replaced by whether there is one."""
    if isinstance(value, dict):
        return {
            name: inner >= 0 if name in ("fd", "lock", "ledger_lock") else without_descriptors(inner)
            for name, inner in value.items()
        }
    return [without_descriptors(inner) for inner in value] if isinstance(value, list) else value


async def captured_again(raw, folder):
    """Restore a stored state in a gateway, and capture it before the gateway does anything with it."""
    read = state.decode(raw)
    document = stored("gateway.kdl").decode().replace("{state}", str(folder))
    gateway = Gateway(site.read(document, "gateway.kdl"), Logs("json", "debug", 1_000, text.StringIO()))
    listening = {listener["fd"] for listener in plain(raw)["listeners"]}
    fds, peers = [], []
    for number in range(20):
        if number in listening:
            server = socket.socket()
            server.bind(("127.0.0.1", 0))
            server.listen()
            fds.append(server.detach())
        else:
            ours, theirs = socket.socketpair()
            peers.append(theirs)
            fds.append(ours.detach())
    state.restore(gateway, read, fds)
    gateway.journal = gateway._journal()
    gateway._ledger_folder.mkdir(parents=True)
    (gateway._ledger_folder / f"{plain(raw)['segment']:08d}.log").touch()
    gateway.link.set_paused(True)
    state.activate(gateway)
    await asyncio.sleep(0)  # adopted connections begin to read
    captured, _ = state.capture(gateway)
    try:
        return state.encode(captured)
    finally:
        gateway.link.close()
        gateway.endpoint.close()
        gateway.journal.close()
        with suppress(OSError):
            os.close(gateway._lock)
        for peer in peers:
            peer.close()
        await asyncio.sleep(0.05)


def test_a_stored_state_of_a_real_gateway_is_taken_over_whole(tmp_path):
    raw = stored("gateway.msgpack")
    again, before = plain(asyncio.run(captured_again(raw, tmp_path))), plain(raw)
    for values in (again, before):
        for listener in values["listeners"]:
            listener["port"] = 0
    assert without_descriptors(again) == without_descriptors(before)
    kinds = {job["kind"] for job in before["jobs"]}
    assert kinds == {"run", "order", "ask"}


# Other files and messages.


def test_a_stored_list_of_workers_is_read_and_written_the_same(tmp_path):
    (tmp_path / "current").write_bytes(stored("list"))
    found = saved.read(tmp_path)
    assert not found.problems and saved.encode(found.saved) == stored("list")
    *head, workers = msgspec.structs.astuple(found.saved)
    assert head == [7, 1_700, 900, "boot-1"]
    assert [msgspec.structs.astuple(worker) for worker in workers] == [
        ("h:1", "std", "east", 3, True, 11, 12, 13),
        ("h:2", "", "", 0, False, 0, 0, 0),
    ]
    saved.write(tmp_path / "new", found.saved)
    assert (tmp_path / "new" / "current").read_bytes() == stored("list")


def test_a_stored_segment_of_the_ledger_is_read_and_written_the_same():
    raw = stored("ledger.log")
    records = [record for _, _, record in journal.scan(raw)]
    assert b"".join(map(journal.encode, records)) == raw
    assert [plain(msgspec.msgpack.encode(record)) for record in records] == [
        ["intent", "t", "k1", 1_001, b"p1", b"", "", 900],
        ["done", "t", "k2", 1_002, b"p2", b"answer", "w1", 901],
        ["doubt", "u", "k3", 1_003, b"p3", b"", "", 902],
        ["free", "u", "k4", 1_004, b"", b"", "", 0],
    ]
    ledger = effects.Ledger(effects.Bounds(10, 10, 1 << 20))
    for record in records[:3]:
        ledger.replay(record)
    assert ledger.records() == records[:3]


def test_stored_lists_of_workers_give_the_same_entries():
    expected = stored_json("entries.json")
    found = entries.parse_worker_file(stored("workers.kdl").decode(), "workers.kdl", lambda ms: int(ms * 10))
    assert outer(found) == expected["file"]
    found, problems = entries.parse_instances(stored("service.json"), lambda ms: int(ms * 10))
    assert outer(found) == expected["service"] and not problems


def test_a_stored_plan_is_read_compared_and_worked_out_the_same(tmp_path):
    result = CliRunner().invoke(
        command, ["sites", "plan", str(STORED / "sites.kdl"), "--out", str(tmp_path / "plan.json")]
    )
    assert result.exit_code == stored_json("plan_exit.json"), result.output
    assert json.loads((tmp_path / "plan.json").read_bytes()) == stored_json("plan.json")
    shown = CliRunner().invoke(
        command, ["sites", "diff", str(STORED / "plan.json"), str(tmp_path / "plan.json")]
    )
    assert (shown.exit_code, shown.output.strip()) == (0, "no difference")
    assert outer(site_plans._read(STORED / "plan.json")) == stored_json("plan_read.json")


def test_stored_rows_of_a_scale_run_are_read_and_written_the_same(tmp_path):
    for row in results.read(STORED / "scale.jsonl"):
        results.append(tmp_path / "rows", row)
    assert (tmp_path / "rows").read_bytes() == stored("scale.jsonl")


@pytest.mark.parametrize("number", range(17))
def test_a_stored_datagram_is_read_and_packed_the_same(number):
    raw = bytes.fromhex(stored_json("datagrams.json")[number])
    read = fleet_messages.unpack(raw, b"key")
    assert fleet_messages.pack(read, b"key") == raw


def test_the_stored_datagrams_hold_every_type_of_message():
    read = [plain(bytes.fromhex(raw)[:-8]) for raw in stored_json("datagrams.json")]
    assert [message[3][0][0] for message in read] == [
        1, 2, 3, 4, 10, 11, 12, 13, 14, 15, 20, 21, 22, 30, 31, 32, 40,
    ]  # fmt: skip


@pytest.mark.parametrize(
    "name, kind",
    [
        ("return", recovery.RecoveryProgress),
        ("site", operator_commands.SiteMessage),
        ("copy", copies.CopyMessage),
        ("row", list_follower.Row),
    ],
)
def test_a_stored_message_between_gateways_is_read_and_written_the_same(name, kind):
    for raw in map(bytes.fromhex, stored_json("messages.json")[name]):
        assert msgspec.msgpack.encode(msgspec.msgpack.decode(raw, type=kind)) == raw


def test_a_stored_mqtt_envelope_is_read_and_written_the_same():
    raw = stored("envelope.json")
    read = msgspec.json.decode(raw, type=contract._Envelope)
    assert msgspec.json.decode(msgspec.json.encode(read)) == msgspec.json.decode(raw)


def over_mqtt():
    """Triggers read from messages of MQTT 3.1.1 and 5, and the messages that answer them."""
    settings = site.read(stored("site.kdl").decode(), "site.kdl")
    reader = contract.Contract("calls", {"lectura": 2_500.0}, settings.hint, True)
    values = stored_json("envelope.json")
    names = ("timeout_ms", "deadline_ms", "sent_ms", "attempt", "unanswered", "memory_mb", "lanes")
    user = [(name.replace("_", "-"), str(values[name])) for name in names] + [("key", "k")]
    properties = {"user": user, "response_topic": "r/t", "correlation_data": b"c"}
    found = []
    # Each alone: of several the shortest time applies.
    for name in ("timeout-ms", "deadline-ms", "sent-ms"):
        message = codec.Publish("calls/t/lectura/f", b"", 1, properties={"user": [(name, "1500")]})
        trigger = reader.read(message, "mqtt:c1", reader.ref(message, 5, None, "c1"), 1_000.0)
        found.append([name, trigger.left_us])
    for version, payload, more in ((4, stored("envelope.json"), {}), (5, b"body", properties)):
        message = codec.Publish("calls/t/lectura/heat/a", payload, 1, id=7, properties=more)
        ref = reader.ref(message, version, None, "c1")
        trigger = reader.read(message, "mqtt:c1", ref, 1_000.0)
        fields = [
            outer(getattr(trigger, field.name))
            for field in dataclasses.fields(trigger)
            if field.name != "ref"
        ]
        for kind, reason in (
            (Kind.SERVED, "ok"),
            (Kind.REFUSED, "too-many-calls"),
            (Kind.FAILED, "may-have-run"),
        ):
            answer = contract.answer(ref, Answer(kind, reason, b"done", 1_234_567, "w1", 2))
            found.append([fields, answer.topic, answer.payload.decode(), outer(answer.properties)])
    return found


def test_triggers_and_answers_over_mqtt_have_the_same_names():
    assert json.loads(json.dumps(over_mqtt())) == stored_json("over_mqtt.json")


# Settings, by the names in the documents.


def keys(kind, path=""):
    """Every key of a document with its type, bounds and default: `check --fields` without its texts."""
    for setting in schema.fields_of(kind):
        name, meta = f"{path}/{setting.name}", setting.meta
        bounds = f"{meta['low']}..{meta['high']} {'|'.join(meta['choice'])} most={meta['max_count']}"
        how = " ".join(
            ["argument"] * meta["arg"] + ["repeated"] * setting.repeated + ["required"] * setting.required
        )
        if setting.block:
            yield f"{name}: block {how} {bounds}"
            yield from keys(setting.block, name)
            continue
        default = next(field.default for field in dataclasses.fields(kind) if field.name == setting.attribute)
        shown = "none" if default is dataclasses.MISSING else repr(default)
        yield f"{name}: {setting.type.__name__} {how} {bounds} default={shown}"


@pytest.mark.parametrize("kind, name", [(site.Site, "site_keys.txt"), (days.Day, "day_keys.txt")])
def test_the_documents_have_the_same_keys(kind, name):
    assert list(keys(kind)) == stored(name).decode().splitlines()
    reference = [line.split()[0].rstrip(":") for line in schema.reference(kind)]
    assert reference == [line.split(":")[0].rpartition("/")[2] for line in keys(kind)]


def test_a_stored_site_is_read_the_same():
    read = site.read(stored("site.kdl").decode(), "site.kdl")
    assert outer(read) == stored_json("site.json")
    assert outer(read.router_settings()) == stored_json("site_settings.json")


def test_a_stored_site_with_every_key_is_read_the_same():
    read = site.read(stored("site_every_key.kdl").decode(), "site_every_key.kdl")
    assert {"document": outer(read), "settings": outer(read.router_settings())} == stored_json(
        "site_every_key.json"
    )


def test_a_stored_platform_configuration_is_read_the_same():
    read = platform.read(stored("platform.json"), "platform.json")
    assert outer(read) == stored_json("platform_read.json")


# Traces and verdicts.


def trace_events():
    """Each event with its keys that the sources write to traces, with the number of places that write it."""
    names, written = {trace.Trace.note.__name__, World.record.__name__}, Counter()
    for path in sorted(
        file for folder in ("standins", "lab", "proof") for file in (SOURCES / folder).glob("*.py")
    ):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and getattr(node.func, "attr", "") in names and node.args:
                event = node.args[0].value if isinstance(node.args[0], ast.Constant) else "*"
                written[" ".join([event, *sorted(keyword.arg or "**" for keyword in node.keywords)])] += 1
    return dict(sorted(written.items()))


def test_traces_are_written_by_the_same_names():
    assert trace_events() == stored_json("trace_words.json")["written"]


def test_the_checker_knows_the_same_names():
    known = {
        node.value
        for path in (SOURCES / "proof").glob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Constant)
    }
    assert set(stored_json("trace_words.json")["read"]) <= known


def judged(folder):
    """All results of the checker and the verdict for the traces in a folder."""
    events = trace.read(folder)
    limits = rules.Limits(500_000, 1.0, 0.1, 1_000_000, {"consigna": "unsafe", "lectura": "safe"}, 400_000)
    findings = rules.check(events, limits)
    result = verdict.verdict("stored", 1, 12.0, events, findings)
    # Only the rule of each, as the texts may change.
    result["breaches"] = [line.partition(":")[0] for line in result["breaches"]]
    return {
        "verdict": result,
        "starting": verdict.starting(events),
        "handovers": verdict.handovers(events),
        "sharing": verdict.sharing(events),
        "warmth": verdict.warmth(events),
        "account": account.account(events),
    }


def test_a_stored_trace_is_judged_the_same():
    assert json.loads(json.dumps(judged(STORED / "traces"))) == stored_json("judged.json")


def test_stored_events_are_written_again_the_same(tmp_path):
    for event in trace.read(STORED / "traces"):
        fields = {name: value for name, value in event.items() if name not in ("t", "who", "ev")}
        trace.Trace(event["who"], tmp_path / "one.trace").note(event["ev"], **fields)
    again = trace.read(tmp_path)
    before = [event | {"t": 0} for event in trace.read(STORED / "traces")]
    assert [event | {"t": 0} for event in again] == before
