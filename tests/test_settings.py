"""Tests of settings: all errors are reported together with their lines, and every field is documented."""

import dataclasses
from pathlib import Path

import pytest
from click.testing import CliRunner

from swiftwell.cli.main import main
from swiftwell.discovery.entries import parse_instances, parse_worker_file
from swiftwell.interface import State
from swiftwell.proof import days
from swiftwell.settings import schema, site
from swiftwell.settings.document import SettingsError, parse

EXAMPLE = Path(__file__).parents[1] / "examples" / "site.kdl"


def problems_of(text, read=site.read):
    with pytest.raises(SettingsError) as error:
        read(text, "s.kdl")
    return [str(problem) for problem in error.value.problems]


def test_the_example_passes_and_says_what_the_module_is_told():
    settings = site.load(EXAMPLE).router_settings()
    assert settings.routers == 3 and [request_class.name for request_class in settings.classes] == [
        "lectura",
        "consulta",
        "consigna",
    ]
    assert settings.classes[2].effect.value == "at_most_once" and settings.cold_us == 17_000_000
    result = CliRunner().invoke(main, ["check", str(EXAMPLE)])
    assert result.exit_code == 0 and ": valid; " in result.output


def test_all_errors_come_at_once_each_with_its_line():
    text = """name 5
clas "x"
class "a" wanted-ms=0 deadline-ms=5
class "k" effect="keyed" wanted-ms=10 deadline-ms=5 {
   worht 3
}
/-class "b" {
  foo 1
}
/* over
lines */ workers {
  worker "abc"
  attempts "three"
}
position 4
"""
    found = problems_of(text)
    assert "s.kdl:1: name: expected a string, got 5" in found
    assert "s.kdl:2: the document has no setting clas; did you mean class?" in found
    assert "s.kdl:3: wanted-ms: expected an integer from 1 to 8.64e+07; got 0" in found
    assert "s.kdl:4: class k: wanted-ms is greater than deadline-ms" in found
    assert "s.kdl:4: class k: effect keyed needs memory-ms, the time for which workers drop repeats" in found
    assert "s.kdl:5: class has no setting worht; did you mean worth?" in found
    assert "s.kdl:12: worker: 'abc' is not HOST:PORT" in found
    assert "s.kdl:13: attempts: expected an integer, got 'three'" in found
    assert any("position 4 must be less than gateways, 1" in problem for problem in found)
    assert any("no source of calls" in problem for problem in found)


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ('a 1\nb {\n c "x\n}\n', 3),
        ("a 1\nb {{\n", 2),
        ("a\nb = 3\nc", 2),
        ("a {\n b\n", 3),
        ("a\n}\nb", 2),
        ('a "one\ntwo"\nb = 1\n', 3),
        ("/* a\n/* b */\nc", 1),
        ('a r#"x\ny"#\n{', 3),
    ],
)
def test_a_syntax_error_names_its_line(text, line):
    assert problems_of(text, parse)[0].startswith(f"s.kdl:{line}: ")


def test_lines_are_right_whatever_stands_between_the_nodes():
    text = 'a 1; b 2 {\n  c "x\ny" \\\n   3\n  /-d 1\n  /- e {\n    f\n  }\n  g /-4 5\n}\n'
    text += "// h\n/* i */ j k=1 /-{\n l\n}\nm\n"

    def names(nodes):
        return [entry for node in nodes for entry in [(node.name, node.line), *names(node.children)]]

    assert names(parse(text, "x")) == [("a", 1), ("b", 1), ("c", 2), ("g", 9), ("j", 12), ("m", 15)]


def test_bad_settings_end_the_command_line_with_two(tmp_path):
    bad = tmp_path / "bad.kdl"
    bad.write_text("nme 1\n")
    result = CliRunner().invoke(main, ["check", str(bad)])
    assert result.exit_code == 2 and "bad.kdl:1" in result.output
    missing = CliRunner().invoke(main, ["serve", str(tmp_path / "none.kdl")])
    assert missing.exit_code == 2 and "can't be read" in missing.output
    bad.write_bytes(b"\xff\xfe")
    assert "is not UTF-8" in CliRunner().invoke(main, ["check", str(bad)]).output


def test_every_field_is_documented():
    def walk(cls):
        for spec in schema.fields_of(cls):
            yield cls, spec
            if spec.block:
                yield from walk(spec.block)

    for top in (site.Site, days.Day):
        for cls, spec in walk(top):
            assert spec.meta["doc"], (cls, spec.name)
            assert len(dataclasses.fields(cls)) == len(list(schema.fields_of(cls)))
    reference = CliRunner().invoke(main, ["check", "--fields"]).output
    assert "wanted-ms" in reference and "mqtt-broker NAME (may be repeated)" in reference


def test_all_days_are_read_and_their_sites_pass(tmp_path):
    for path in sorted(days.folder().glob("*.kdl")):
        _, day = days.load(str(path))
        text = days.site(day, 0, tmp_path, 0, ["127.0.0.1:1"], "127.0.0.1:2")
        assert site.read(text, path.name).gateways == day.gateways and day.doc
    assert any("known days" in str(problem) for problem in _day_problems("no-such-day"))
    found = problems_of(
        (days.folder() / "quiet.kdl").read_text() + 'trouble "die" at=1 workers=99\n', days.read
    )
    assert "the day has 8" in found[0]


def _day_problems(name):
    with pytest.raises(SettingsError) as error:
        days.load(name)
    return error.value.problems


def test_a_file_of_workers():
    text = 'worker "127.0.0.1:1" kind="k" state="draining" started-ms=5.0\nworker "127.0.0.1:2"\n'
    first, second = parse_worker_file(text, "w.kdl", lambda ms: int(ms * 1_000))
    assert (first.state, first.started_us, first.kind) == (
        State.DRAINING,
        5_000,
        "k",
    ) and second.state is State.READY
    with pytest.raises(SettingsError, match=r"w.kdl:2.*given twice"):
        parse_worker_file('worker "a:1"\nworker "a:1"\n', "w.kdl", int)


def test_an_answer_of_the_list_service_with_malformed_entries_keeps_the_others():
    good = b'{"Service":{"Address":"127.0.0.1","Port":9,"Meta":{"kind":"k","started_ms":"2.0"}},"Checks":[]}'
    draining = b'{"Service":{"Address":"127.0.0.1","Port":8,"Meta":{}},"Checks":[{"Status":"critical"}]}'
    invalid_port = b'{"Service":{"Address":"127.0.0.1","Port":0}}'
    entries, rejected = parse_instances(
        b"[" + b",".join([good, draining, invalid_port, b"5"]) + b"]", lambda ms: int(ms)
    )
    assert [(entry.worker, entry.state, entry.started_us) for entry in entries] == [
        ("127.0.0.1:9", State.READY, 2), ("127.0.0.1:8", State.DRAINING, 0)]  # fmt: skip
    assert len(rejected) == 2
    for malformed in (b"", b"{}", b"[", b"\xff"):
        with pytest.raises(SettingsError):
            parse_instances(malformed, int)


def test_an_amqp_broker_is_checked_as_a_whole():
    text = """
class "a" wanted-ms=1 deadline-ms=5
workers { worker "h:1" }
amqp-broker "one" prefetch-least=5 prefetch-most=4 redelivered="always" {
  address "h"
  queue "q" declare=false exchange="x"
  queue "q" key="a.#"
}
amqp-broker "one" { address "h:1" }
"""
    found = problems_of(text)
    assert 's.kdl:4: redelivered: expected one of known, never; got "always"' in found or any(
        "redelivered" in problem and problem.startswith("s.kdl:4") for problem in found
    )
    for line, expected in (
        (4, "'h' is not HOST:PORT"),
        (4, "prefetch-least is greater than prefetch-most"),
        (6, "queue q is not declared"),
        (7, "queue q has keys but no exchange"),
        (7, "queue 'q' is given twice"),
        (9, "amqp-broker 'one' is given twice"),
        (9, "no queue"),
    ):
        assert any(problem.startswith(f"s.kdl:{line}:") and expected in problem for problem in found), (
            line,
            expected,
            found,
        )


def test_a_fleet_is_checked_with_what_it_divides():
    """Budgets below one connection a member and rate limits on delayed load orders are rejected."""

    def text(fleet, workers="", source='list { servers "127.0.0.1:1" }'):
        members = "; ".join(f'member "gw-{n}" at="127.0.0.1:{9000 + n}"' for n in range(4))
        return (
            'name "gw-0"\nclass "a" wanted-ms=10 deadline-ms=50\nmqtt-listener\n'
            f"workers {{ {source}; {workers} }}\nfleet {fleet[0]} {{ {members}; {fleet[1]} }}\n"
        )

    budgets = ("one-reader=true", 'budgets "cold" "connections"')
    good = site.read(text(budgets, "worker-connections 8"), "s.kdl")
    assert good.fleet.one_reader and good.workers.worker_connections == 8
    too_few = problems_of(text(("", 'budgets "connections"'), "worker-connections 7"))
    assert too_few[0].startswith("s.kdl:4: workers")
    assert "need each other" in problems_of(text(("", 'budgets "connections"')))[0]
    assert "need each other" in problems_of(text(("", ""), "worker-connections 8"))[0]
    assert "load-window-ms" in problems_of(text(("one-order=true", ""), "load-window-ms 1000"))[0]
    assert "one-reader" in problems_of(text(("one-reader=true", ""), source='worker "127.0.0.1:9"'))[0]
    without_fleet = text(("", ""), "worker-connections 8").split("fleet")[0]
    assert "s.kdl:4: worker-connections needs a fleet" in problems_of(without_fleet)[0]
