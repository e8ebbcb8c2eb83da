"""AMQP brokers of the settings as links.  Apart from the shell: loading the codec is a tenth of a start."""

from __future__ import annotations

import random

from swiftwell.fronts.amqp.consumer import BrokerLink as AmqpBroker
from swiftwell.fronts.amqp.consumer import Queue as AmqpQueue
from swiftwell.fronts.amqp.contract import Contract as AmqpContract
from swiftwell.fronts.amqp.link import Link as AmqpLink
from swiftwell.fronts.amqp.redelivery import RedeliveryPolicy
from swiftwell.fronts.amqp.session import Login
from swiftwell.fronts.host import Host
from swiftwell.settings.site import AmqpBroker as AmqpSettings
from swiftwell.settings.site import Site, host_port


def links(host: Host, site: Site, deadlines: dict[str, float], chance: random.Random) -> list[AmqpLink]:
    """A link for each broker, not connected yet."""
    alone = site.gateways == 1
    contract = AmqpContract(site.topic, deadlines, site.hint, alone)
    return [AmqpLink(host, contract, amqp_link(one, site), chance, alone) for one in site.amqp]


def amqp_link(one: AmqpSettings, site: Site) -> AmqpBroker:
    """A broker of the settings, as its link wants it."""
    login = Login(
        site.name, one.username, one.password, one.vhost, one.heartbeat_s, one.frame_bytes, one.body_bytes
    )
    queues = tuple(
        AmqpQueue(
            queue.name, queue.declare, queue.durable, queue.exchange, queue.exchange_type, queue.key,
            queue.dead_letter, queue.max_priority,
        )
        for queue in one.queues
    )  # fmt: skip
    return AmqpBroker(
        one.name, tuple(map(host_port, one.address)), login, queues, one.prefetch_least, one.prefetch_most,
        RedeliveryPolicy(one.redelivered), one.dead_letter, one.unroutable, one.waiting_answers,
        one.open_calls, one.waiting_bytes,
    )  # fmt: skip
