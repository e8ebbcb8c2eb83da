"""The new process's side: ask the old one for everything, be ready, and own it.

`step` is a place where a test (or a day) ends or hangs this process, named by the environment; outside of
them it does nothing.
"""

from __future__ import annotations

import os
import socket
from typing import TYPE_CHECKING

from swiftwell import __version__
from swiftwell.handover import state
from swiftwell.handover.channel import Channel, HandoverError
from swiftwell.handover.fault import step
from swiftwell.handover.predecessor import FROZEN_S, HELLO_S, LEAST, PROTOCOL, socket_path

if TYPE_CHECKING:
    from swiftwell.gateway.shell import Gateway

STEPS = ("connected", "hello", "offer", "prepared", "state", "fds", "restored", "commit", "owned")
PATIENCE_S = 10.0  # s for the old process to come to rest and give its state


def connect(state_folder: str) -> Channel | None:
    """The channel to the running gateway; None where none runs there."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        sock.settimeout(HELLO_S)
        sock.connect(str(socket_path(state_folder)))
    except OSError:
        sock.close()
        return None
    return Channel(sock)


def take_over(channel: Channel, gateway: Gateway) -> None:
    """Take over: returns when this process owns everything.  Raises HandoverError where it does not, and must end.

    Nothing is done to what was received before `owned` has been sent; if that can't be sent, the old process
    carries on.
    """
    step("connected")
    told_protocol = 99 if os.environ.get("SWIFTWELL_HANDOVER_FAULT") == "lie:hello" else PROTOCOL
    least = told_protocol if told_protocol == 99 else LEAST
    name = gateway.site.name
    channel.send("hello", HELLO_S, protocol=told_protocol, least=least, version=__version__, name=name)
    step("hello")
    offer = channel.receive(HELLO_S, "offer")
    step("offer")
    if "listeners" in offer:
        try:
            # Found now, while the old process serves: after the commit nobody could carry on.
            gateway.open_new([(name, address, port) for name, address, port in offer["listeners"]])
        except (OSError, ValueError, TypeError) as error:
            raise HandoverError(f"a new listener can't be opened: {error}") from error
    channel.send("prepared", HELLO_S)
    step("prepared")
    told = channel.receive(PATIENCE_S, "state")
    step("state")
    fds = channel.receive_fds(int(told["fds"]), FROZEN_S)
    step("fds")
    try:
        state.restore(gateway, state.decode(told["state"]), fds)
    except Exception as error:  # whatever is wrong with the state: the old process carries on
        raise HandoverError(f"the state can't be restored: {type(error).__name__}: {error}") from error
    channel.send("restored", FROZEN_S)
    step("restored")
    channel.receive(FROZEN_S, "commit")
    step("commit")
    channel.send("owned", FROZEN_S)
    step("owned")
