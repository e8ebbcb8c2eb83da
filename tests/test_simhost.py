"""The simulator's host, started by the commands of the deploy file as the operators start it."""

import subprocess
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
BEGIN = (
    "BEGIN salt=5 balancers=1 position=0 tick-ms=2.0 lanes.count=1 lanes.0.name=c lanes.0.target-ms=500.0"
    " lanes.0.deadline-ms=1000.0 lanes.0.effect=idempotent limits.max-attempts=2 news.key=7"
)
PAGE = "PAGE sheet=0 records=1\nWORKER mode=Running worker=10.0.0.1:5000 block=0\n"
PAGE += "UPDATE epoch=1 how=cached sheet=0"
START = f"BATCH clock-ms=1000.0\nSWITCH_TO router-id=3\n{BEGIN}\n{PAGE}\nFLUSH\n"
CALL = "DEMAND id=r-1 band=c handler=fn/a grace-ms=900.0 mem-mb=10 width=1 unheard=1"


def run(text: str) -> subprocess.CompletedProcess[str]:
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    subprocess.run(["/bin/sh", "-c", deploy["build"]], cwd=ROOT, check=True, capture_output=True)
    return subprocess.run(
        ["/bin/sh", "-c", deploy["sim"]], cwd=ROOT, input=text, capture_output=True, text=True, check=False
    )


def test_empty_batch_is_answered_with_ok() -> None:
    result = run("BATCH clock-ms=8412.25\nFLUSH\n\n")
    assert (result.returncode, result.stdout, result.stderr) == (0, "OK\n", "")


def test_a_call_is_sent_on_and_its_answer_accepted() -> None:
    call = f"BATCH clock-ms=1002.0\nSWITCH_TO router-id=3\n{CALL}\nFLUSH\n"
    answer = "ANSWER id=r-1 n=0 worker=10.0.0.1:5000 how=0 cost-time-ms=18.5 over=1\nLEFT id=r-1"
    end = f"BATCH clock-ms=1022.0\nSWITCH_TO router-id=3\n{answer}\nFLUSH\n"
    result = run(START + call + end)
    replies = result.stdout.split("OK\n")
    assert result.returncode == 0
    assert "PASS_ON id=r-1 worker=10.0.0.1:5000 not-past-ms=1902.0" in replies[1]
    assert replies[1].startswith("AT router-id=3\n")
    assert "r-1" not in replies[2]


def test_a_restarted_router_has_no_state_and_returns_no_earlier_actions() -> None:
    stop = f"BATCH clock-ms=1002.0\nSWITCH_TO router-id=3\n{CALL}\nSTOP\nFLUSH\n"
    restart = f"BATCH clock-ms=1004.0\nSWITCH_TO router-id=3\n{BEGIN}\nFLUSH\n"
    result = run(START + stop + restart)
    assert result.returncode == 0
    assert "PASS_ON" not in result.stdout


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("HELLO\n", "BATCH"),
        ("BATCH clock-ms=soon\nFLUSH\n", "clock-ms"),
        ("BATCH clock-ms=1\nSWITCH_TO router-id=3\nNONSENSE a=1\nFLUSH\n", "NONSENSE"),
        ("BATCH clock-ms=1\nLEFT id=x\nFLUSH\n", "SWITCH_TO"),
        (START + "BATCH clock-ms=1001\nSWITCH_TO router-id=3\nDEMAND id=x\nFLUSH\n", "band"),
        (START + "BATCH clock-ms=1001\nSWITCH_TO router-id=3\nLEFT id\nFLUSH\n", "name=value"),
        (START + "BATCH clock-ms=1001\nSWITCH_TO router-id=3\n", "cut short"),
        ("BATCH clock-ms=1\nPAGE sheet=0 records=2\nWORKER mode=Running worker=a\nFLUSH\n", "PAGE"),
        ("BATCH clock-ms=1\nSWITCH_TO router-id=3\nUPDATE epoch=1 how=delta sheet=9\nFLUSH\n", "9"),
    ],
)
def test_malformed_input_gets_one_message_and_a_non_zero_exit(text: str, message: str) -> None:
    result = run(text)
    assert result.returncode != 0
    assert message in result.stderr and "line " in result.stderr and len(result.stderr.splitlines()) == 1
    assert result.stdout == "" or result.stdout.endswith("OK\n")


def test_an_exception_of_the_module_is_reported_on_the_wire() -> None:
    call = CALL.replace("band=c", "band=unheard")
    result = run(START + f"BATCH clock-ms=1002.0\nSWITCH_TO router-id=3\n{call}\nFLUSH\n")
    assert result.returncode == 0
    assert result.stdout.split("OK\n")[1].startswith("AT router-id=3\nBROKEN text=KeyError")
