"""The new process's side of a handover: it connects to the old process, restores its state and takes over.

`fault.inject` marks each step, at which a test or a day can make this process crash or hang.
"""

from __future__ import annotations

import os
import socket
from typing import TYPE_CHECKING

from swiftwell import __version__
from swiftwell.handover import state
from swiftwell.handover.channel import Channel, HandoverError
from swiftwell.handover.fault import inject
from swiftwell.handover.predecessor import (
    FROZEN_STEP_TIMEOUT_S,
    HELLO_TIMEOUT_S,
    MIN_PROTOCOL,
    PROTOCOL,
    socket_path,
)

if TYPE_CHECKING:
    from swiftwell.gateway.shell import Gateway

STEPS = ("connected", "hello", "offer", "prepared", "state", "fds", "restored", "commit", "owned")
STATE_TIMEOUT_S = 10.0  # for the old process to freeze and send its state


def connect(state_folder: str) -> Channel | None:
    """A channel to the gateway that runs on this state folder, or None if none does."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        sock.settimeout(HELLO_TIMEOUT_S)
        sock.connect(str(socket_path(state_folder)))
    except OSError:
        sock.close()
        return None
    return Channel(sock)


def take_over(channel: Channel, gateway: Gateway) -> None:
    """Take over from the old process; returns once this process owns its state and sockets.

    Raises HandoverError if it does not own them: then it must exit, and the old process carries on.  Before
    `owned` has been sent, nothing is read from or written to a received socket.
    """
    inject("connected")
    protocol = 99 if os.environ.get("SWIFTWELL_HANDOVER_FAULT") == "lie:hello" else PROTOCOL
    min_protocol = protocol if protocol == 99 else MIN_PROTOCOL
    name = gateway.site.name
    channel.send(
        "hello", HELLO_TIMEOUT_S, protocol=protocol, least=min_protocol, version=__version__, name=name
    )
    inject("hello")
    offer = channel.receive(HELLO_TIMEOUT_S, "offer")
    inject("offer")
    if "listeners" in offer:
        try:
            # Opened while the old process still serves: after the commit an error would leave nobody serving.
            gateway.open_new_listeners([(name, address, port) for name, address, port in offer["listeners"]])
        except (OSError, ValueError, TypeError) as error:
            raise HandoverError(f"a new listener can't be opened: {error}") from error
    channel.send("prepared", HELLO_TIMEOUT_S)
    inject("prepared")
    message = channel.receive(STATE_TIMEOUT_S, "state")
    inject("state")
    fds = channel.receive_fds(int(message["fds"]), FROZEN_STEP_TIMEOUT_S)
    inject("fds")
    try:
        state.restore(gateway, state.decode(message["state"]), fds)
    except Exception as error:  # of any kind: the old process can still carry on
        raise HandoverError(f"the state can't be restored: {type(error).__name__}: {error}") from error
    channel.send("restored", FROZEN_STEP_TIMEOUT_S)
    inject("restored")
    channel.receive(FROZEN_STEP_TIMEOUT_S, "commit")
    inject("commit")
    channel.send("owned", FROZEN_STEP_TIMEOUT_S)
    inject("owned")
