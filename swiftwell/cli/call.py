"""`swiftwell call`: publish one trigger and print its answer."""

from __future__ import annotations

import asyncio
import sys
import time
import uuid

import click
import msgspec

from swiftwell.fronts.amqp import client as amqp_client
from swiftwell.fronts.amqp.wire import Incoming
from swiftwell.fronts.mqtt.client import Client, Refused
from swiftwell.fronts.mqtt.codec import V5, V311, Publish
from swiftwell.settings.site import host_port

EXIT_CODES = {"served": 0, "refused": 3, "failed": 4}  # also 5: no answer in time; 1: no connection


@click.command()
@click.argument("address")
@click.argument("topic")
@click.argument("payload", default="")
@click.option("--key", default="", help="The publisher's key; random by default.")
@click.option("--timeout-ms", default=2_500, show_default=True, help="Time until this client times out.")
@click.option("--qos", type=click.IntRange(0, 2), default=1, show_default=True)
@click.option("--version", type=click.Choice(["5.0", "3.1.1"]), default="5.0", show_default=True)
@click.option("--user", default=None, help="NAME:PASSWORD")
@click.option("--amqp", is_flag=True, help="ADDRESS is an AMQP broker; TOPIC becomes the routing key.")
@click.option("--exchange", default="calls", show_default=True, help="With --amqp: exchange to publish to.")
@click.option(
    "--priority", type=click.IntRange(0, 255), default=0, help="With --amqp: priority of the message."
)
@click.option("--json", "as_json", is_flag=True, help="Print the answer as one JSON object.")
def call(
    address: str, topic: str, payload: str, key: str, timeout_ms: int, qos: int, version: str,
    user: str | None, amqp: bool, exchange: str, priority: int, as_json: bool,
) -> None:  # fmt: skip
    """Publish one trigger to ADDRESS (HOST:PORT of a gateway or broker) on TOPIC and print the answer.

    TOPIC is calls/TENANT/CLASS/FUNCTION, over either protocol.

    The exit code is 0 for served, 3 refused, 4 failed, 5 no answer in time, 1 no connection.
    """
    try:
        host, port = host_port(address)
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="ADDRESS") from None
    level = V5 if version == "5.0" else V311
    key = key or uuid.uuid4().hex
    answer = asyncio.run(
        _over_amqp(host, port, topic, payload, key, timeout_ms, user, exchange, priority)
        if amqp
        else _call(host, port, topic, payload, key, timeout_ms, qos, level, user)
    )
    code = answer.pop("code")
    if as_json:
        click.echo(msgspec.json.encode(answer).decode())
    else:
        click.echo(
            f"{answer['status']}" + (f" ({answer['reason']})" if answer.get("reason") else ""), err=code != 0
        )
        if answer.get("body"):
            click.echo(answer["body"])
    sys.exit(code)


async def _call(
    host: str, port: int, topic: str, payload: str, key: str, timeout_ms: int, qos: int, version: int,
    user: str | None,
) -> dict:  # fmt: skip
    answer: asyncio.Future[dict] = asyncio.get_running_loop().create_future()
    client_id = f"call-{uuid.uuid4().hex[:12]}"
    reply = f"answers/{client_id}"

    def on_message(packet: Publish) -> None:
        if answer.done():
            return
        if version == V311:
            message = msgspec.json.decode(packet.payload, type=dict)
            answer.set_result(
                {name: message.get(name) for name in ("status", "reason", "worker", "body", "wait_ms")}
            )
        else:
            fields = dict(packet.properties.get("user", []))
            fields["body"] = packet.payload.decode(errors="replace")
            answer.set_result(fields)

    def on_ack(_: int, reason: int) -> None:
        if reason >= 0x80 and not answer.done():
            loop = asyncio.get_running_loop()  # an answer with more detail may follow at once
            loop.call_later(0.1, lambda: answer.done() or answer.set_result(
                {"status": "refused", "reason": f"reason code {reason:#x}"}))  # fmt: skip

    def on_end(reason: str) -> None:
        if not answer.done():
            answer.set_result({"status": "no answer", "reason": reason, "code": 1})

    username, _, password = (user or "").partition(":")
    client = Client(
        client_id, version, on_message=on_message, on_ack=on_ack, on_end=on_end,
        username=username or None, password=password if user else None,
    )  # fmt: skip
    try:
        await client.connect(host, port)
        await client.subscribe(reply)
    except (Refused, OSError, TimeoutError) as error:
        return {"status": "no connection", "reason": str(error), "code": 1}
    if version == V311:
        envelope = {
            "body": payload,
            "key": key,
            "reply": reply,
            "timeout_ms": timeout_ms,
            "sent_ms": time.time() * 1e3,
        }
        client.publish(Publish(topic, msgspec.json.encode(envelope), qos))
    else:
        properties = {
            "response_topic": reply,
            "correlation_data": key.encode(),
            "user": [("key", key), ("timeout-ms", str(timeout_ms)), ("sent-ms", f"{time.time() * 1e3:.3f}")],
        }
        client.publish(Publish(topic, payload.encode(), qos, properties=properties))
    try:
        result = await asyncio.wait_for(answer, timeout_ms / 1e3)
    except TimeoutError:
        result = {"status": "no answer", "reason": f"nothing within {timeout_ms} ms", "code": 5}
    client._on_end = None
    await client.close()
    result.setdefault("code", EXIT_CODES.get(str(result.get("status")), 1))
    return result


async def _over_amqp(
    host: str, port: int, topic: str, payload: str, key: str, timeout_ms: int, user: str | None,
    exchange: str, priority: int,
) -> dict:  # fmt: skip
    answer: asyncio.Future[dict] = asyncio.get_running_loop().create_future()

    def settle(result: dict) -> None:
        if not answer.done():
            answer.set_result(result)

    def on_message(event: Incoming) -> None:
        headers = (event.properties.headers if event.properties else None) or {}
        result = {name: value for name, value in headers.items() if name != "key"}
        settle(result | {"body": event.body.decode(errors="replace")})

    def on_return(event: Incoming) -> None:
        settle(
            {
                "status": "no answer",
                "reason": "no queue takes it: is a gateway bound to the exchange?",
                "code": 1,
            }
        )

    username, _, password = (user or "guest:guest").partition(":")
    client = amqp_client.Client(
        f"call-{uuid.uuid4().hex[:12]}", on_message=on_message, on_return=on_return,
        on_end=lambda reason: settle({"status": "no answer", "reason": reason, "code": 1}),
        username=username, password=password,
    )  # fmt: skip
    try:
        await client.connect(host, port)
        reply = await client.declare_reply_queue("")
    except (amqp_client.Refused, OSError, TimeoutError) as error:
        return {"status": "no connection", "reason": str(error), "code": 1}
    properties = amqp_client.trigger(key, reply, key, timeout_ms)
    properties.priority = priority
    client.publish(exchange, topic.replace("/", "."), properties, payload.encode())
    try:
        result = await asyncio.wait_for(answer, timeout_ms / 1e3)
    except TimeoutError:
        result = {"status": "no answer", "reason": f"nothing within {timeout_ms} ms", "code": 5}
    client._on_end = None
    await client.close()
    result.setdefault("code", EXIT_CODES.get(str(result.get("status")), 1))
    return result
