"""Gateways are killed several times; a tenant's unspent tokens are gone."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "1"))

import harness  # noqa: E402
import http1  # noqa: E402

SERVICE = "assistant"
EVENTS = 10
EVENT_TOKENS = 6
PROMPT = 600
MOST = PROMPT + EVENTS * EVENT_TOKENS
PREPAID = 200000
SEND_S = 0.1  # between two requests
KILLS_S = (5.0, 13.0)  # all gateways each time
BACK_S = 2.0
END_S = 32.0
ROUTE = {"name": "doorway", "host": harness.HOST, "path_prefix": "/doorway/",
         "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 500,
         "priority": 0, "service": SERVICE, "max_attempts": 2,
         "public": False, "session_affinity": True, "can_resume": True,
         "gap_aim_ms": 500}
SERVICES = [{"name": SERVICE, "health_path": "/health",
             "max_connections": 360, "protocol": "h1", "tls": False,
             "engine": {"batch_slots": 64, "kv_capacity": 500000,
                        "stride": EVENT_TOKENS, "models": [{"name": "m"}]}}]


class Engine(harness.Worker):
    async def handle(self, writer, line, fields, body):
        attempt = fields["attempt-id"]
        last = int(fields.get("last-event-id", "0"))
        writer.write(http1.head("HTTP/1.1 200 OK", self.head_fields(attempt) + [
            ("Content-Type", "text/event-stream"),
            ("Response-Seal", "seal-" + attempt),
            ("Transfer-Encoding", "chunked")]))
        for i in range(last + 1, EVENTS + 1):
            writer.write(http1.chunk(b"id: %d\ndata: x\n\n" % i))
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")


async def ask(world, gateway, attempt):
    """Returns the status and the number of events, 0 without an answer."""
    events = 0
    try:
        reader, writer = await asyncio.open_connection(
            gateway.host, gateway.front)
    except OSError:
        return 0, 0
    try:
        writer.write(harness.request(
            "POST", "/doorway/q", attempt,
            [("Model", "m"),
             ("Token-Count", "%d,%d" % (PROMPT, EVENTS * EVENT_TOKENS)),
             ("Prompt-Prefix", "7:120,8:80,%s:400" % attempt[1:]),
             ("Time-Budget-Ms", "12000")], b"x" * 100))
        line, fields = await asyncio.wait_for(http1.read_head(reader), 12)
        status = int(line.split(" ")[1])
        if status != 200:
            await http1.read_body(reader, fields)
            return status, 0
        async for data in http1.read_chunks(reader):
            events += data.count(b"id: ")
        return status, events
    except (http1.ConnectionLost, OSError, asyncio.TimeoutError):
        return 0, events
    finally:
        writer.transport.abort()


async def kill_all(world):
    for gateway in world.gateways:
        gateway.signal(signal.SIGKILL)
    await asyncio.sleep(BACK_S)
    for gateway in world.gateways:
        await gateway.start()


async def case(world):
    for n in range(3):
        worker = Engine(world, "i-engine-%d" % n, SERVICE,
                        "127.0.2.%d" % (n + 1), "a", 64)
        world.workers.append(worker)
        await worker.start()
    world.put_config([ROUTE], SERVICES, prepaid=PREPAID)
    await world.start_gateways(["a", "a", "a", "a"])
    await asyncio.sleep(4)
    began = world.record.now()
    kills = list(KILLS_S) if harness.TROUBLE else []
    tasks, sent = [], 0
    tally = {"delivered": 0, "false": 0, "all": 0}

    async def one(gateway, attempt, sent_most):
        at = world.record.now()
        started = gateway.started_at
        status, events = await ask(world, gateway, attempt)
        tally["all"] += 1
        tally[status] = tally.get(status, 0) + 1
        if status == 200 or events:
            tally["delivered"] += PROMPT + events * EVENT_TOKENS
        in_touch = started == gateway.started_at and \
            at - started > harness.CONTACT_S
        covered = sent_most + MOST <= PREPAID * 0.97
        if status == 402 and in_touch and covered:
            tally["false"] += 1
            if tally["false"] <= 10:
                world.record.add(
                    "client: %s at %s answered 402; all %d requests so far "
                    "need %d tokens at most, of %d prepaid" % (
                        attempt, gateway.name, sent_most // MOST, sent_most,
                        PREPAID))

    while world.record.now() - began < END_S:
        gateway = world.gateways[sent % 4]
        tasks.append(asyncio.ensure_future(
            one(gateway, "a%05d" % sent, sent * MOST)))
        sent += 1
        if kills and world.record.now() - began >= kills[0]:
            kills.pop(0)
            tasks.append(asyncio.ensure_future(kill_all(world)))
        await asyncio.sleep(SEND_S)
    await asyncio.gather(*tasks)
    limit = 5 + tally["all"] / 500
    world.record.add("record in the store: %s" % world.store.items[
        "prepaid/" + harness.TENANT][0].decode())
    text = ("DENIED: %d requests got 402 although all requests so far fitted "
            "into 97 in 100 of the prepaid tokens at their most (at most %.0f "
            "are allowed); %d of %d tokens delivered; answers by status %s" % (
                tally["false"], limit, tally["delivered"], PREPAID,
                sorted((k, v) for k, v in tally.items()
                       if isinstance(k, int))))
    world.record.add(text)
    print(text)
    return tally["false"] > limit


harness.run_case(os.path.dirname(os.path.abspath(__file__)), case)
