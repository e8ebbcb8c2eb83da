"""Calibration of the emulator's models, from measurements over loopback sockets or from day files.

docs/lab.md describes how each value was obtained.  Delays are lognormal: a median and the standard deviation
of the logarithm (`_SIGMA`).
"""

from __future__ import annotations

CLIENT_DELAY_US, CLIENT_DELAY_SIGMA = 250.0, 0.5  # one way, between a client or broker and a gateway
WORKER_DELAY_US, WORKER_DELAY_SIGMA = 200.0, 0.5  # one way, between a gateway and a worker
BROKER_DELAY_US = 150.0  # time a stand-in broker takes for a message
COMMIT_US, COMMIT_SIGMA = 1_200.0, 0.6  # a commit of the ledger; see benchmarks/ledger.py
INPUT_COST_US = 45.0  # event loop time of a gateway per input; see benchmarks/path.py, 4 inputs a call
CONNECT_REFUSED_US = 300.0  # until a connection attempt is refused when nothing listens
LIST_ANSWER_US = 1_000.0  # from a change of the worker list to the answer of a pending long poll
RECONNECT_RANGE_S = (0.1, 0.3)  # wait between two connection attempts of a client
GATEWAY_START_S = 0.9  # start-up time of a gateway process
RECEIVE_MAXIMUM = 256  # MQTT Receive Maximum of a gateway at a broker
