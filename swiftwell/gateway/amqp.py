"""Links to the AMQP brokers of the settings.

A module of its own, as importing the codec takes a tenth of a gateway's start.
"""

from __future__ import annotations

import random

from swiftwell.fronts.amqp.consumer import BrokerLink as AmqpBroker
from swiftwell.fronts.amqp.consumer import Queue as AmqpQueue
from swiftwell.fronts.amqp.contract import Contract as AmqpContract
from swiftwell.fronts.amqp.link import Link as AmqpLink
from swiftwell.fronts.amqp.redelivery import Redelivered
from swiftwell.fronts.amqp.session import Login
from swiftwell.fronts.host import Host
from swiftwell.settings.site import AmqpBroker as AmqpSettings
from swiftwell.settings.site import Site, host_port


def links(
    host: Host, site: Site, deadlines: dict[str, float], random_source: random.Random
) -> list[AmqpLink]:
    """Build a link to each broker, not connected yet."""
    alone = site.gateways == 1
    contract = AmqpContract(site.topic, deadlines, site.hint, alone)
    return [AmqpLink(host, contract, amqp_link(broker, site), random_source, alone) for broker in site.amqp]


def amqp_link(broker: AmqpSettings, site: Site) -> AmqpBroker:
    """Convert the settings of a broker to those of its link."""
    login = Login(
        site.name,
        broker.username,
        broker.password,
        broker.vhost,
        broker.heartbeat_s,
        broker.frame_bytes,
        broker.body_bytes,
    )
    queues = tuple(
        AmqpQueue(
            queue.name, queue.declare, queue.durable, queue.exchange, queue.exchange_type, queue.key,
            queue.dead_letter, queue.max_priority,
        )
        for queue in broker.queues
    )  # fmt: skip
    return AmqpBroker(
        broker.name, tuple(map(host_port, broker.address)), login, queues, broker.prefetch_least,
        broker.prefetch_most, Redelivered(broker.redelivered), broker.dead_letter, broker.unroutable,
        broker.waiting_answers, broker.open_calls, broker.waiting_bytes,
    )  # fmt: skip
