"""What the emulator's models are calibrated with.  Each figure was measured on the sockets, on loopback, or
is stated by a day file; docs/lab.md says how.
"""

from __future__ import annotations

CLIENT_US, CLIENT_SPREAD = 250.0, 0.5  # us: a message between a client (or broker) and a gateway, one way
WORKER_US, WORKER_SPREAD = 200.0, 0.5  # us: a request or answer between a gateway and a worker, one way
BROKER_US = 150.0  # us that a stand-in broker takes for a message
COMMIT_US, COMMIT_SPREAD = 1_200.0, 0.6  # us that a commit of the ledger takes; benchmarks/ledger.py
TURN_US = 45.0  # us of a gateway's loop for each input that it takes; benchmarks/path.py, 4 inputs a call
CONNECT_FAIL_US = 300.0  # us until a connection to nothing is refused
LIST_POLL_US = 1_000.0  # us from a change of the list to the answer of the question that waits for it
RECONNECT_S = (0.1, 0.3)  # s between a client's attempts to connect
START_S = 0.9  # s that a gateway's process takes to start
RECEIVE = 256  # Receive Maximum of a gateway at an MQTT broker
