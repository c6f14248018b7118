"""A rolling restart of the gateways while a request that crashes workers comes."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "1"))

import harness  # noqa: E402
import http1  # noqa: E402

SERVICE = "orders"
WORKERS = 6
SLOTS = 6
BACK_S = 3.0  # a worker that crashed is back after this time
POISON_S = 2.0  # between two attempts with the request that crashes workers
LEARN_S = 20.0  # until the gateways have it in quarantine
GAP_S = 12.0  # between two restarts
ROUTE = {"name": "jobsheet", "host": harness.HOST, "path_prefix": "/jobs/",
         "kind": "safe", "timeout_ms": 1200, "target_latency_ms": 150,
         "priority": 0, "service": SERVICE, "max_attempts": 2,
         "public": False, "session_affinity": False, "can_resume": False}
SERVICES = [{"name": SERVICE, "health_path": "/health",
             "max_connections": 100, "protocol": "h1", "tls": False}]
POISON = "/jobs/4711"


class Desk(harness.Worker):
    """Answers job sheets; one request crashes it, as the pages describe."""

    async def handle(self, writer, line, fields, body):
        attempt = fields["attempt-id"]
        if line.split(" ")[1] == POISON:
            self.world.record.add("worker %s runs %s and crashes" % (
                self.id, attempt))
            self.world.crashes.append((self.world.record.now(), attempt))
            self.crash()
            self.world.spawn(self.start_again())
            return
        writer.write(http1.message(
            "HTTP/1.1 200 OK", self.head_fields(attempt) +
            [("Response-Seal", "seal-" + attempt)], b"." * 800))

    async def start_again(self):
        await asyncio.sleep(BACK_S)
        await self.start()


async def get(gateway, path, attempt):
    """Returns the status, or 0 if the connection ended without an answer."""
    try:
        reader, writer = await asyncio.open_connection(
            gateway.host, gateway.front)
    except OSError:
        return 0
    try:
        writer.write(harness.request("GET", path, attempt,
                                     [("Time-Budget-Ms", "2500")]))
        line, fields = await asyncio.wait_for(http1.read_head(reader), 3)
        await http1.read_body(reader, fields)
        return int(line.split(" ")[1])
    except (http1.ConnectionLost, OSError, asyncio.TimeoutError):
        return 0
    finally:
        writer.transport.abort()


async def poison_requests(world):
    number = 0
    while True:
        gateway = world.gateways[number % len(world.gateways)]
        attempt = "p%03d" % number
        number += 1
        if await gateway.is_ready():
            world.sent[attempt] = (world.record.now(), gateway,
                                   gateway.started_at)
            status = await get(gateway, POISON, attempt)
            world.record.add("client: %s at %s answered %d" % (
                attempt, gateway.name, status))
        await asyncio.sleep(POISON_S)


async def case(world):
    world.crashes = []  # (time, attempt)
    world.sent = {}  # attempt -> (time, gateway, start of its process)
    for n in range(WORKERS):
        worker = Desk(world, "i-desk-%d" % n, SERVICE, "127.0.2.%d" % (n + 1),
                      "a", SLOTS)
        world.workers.append(worker)
        await worker.start()
    world.put_config([ROUTE], SERVICES)
    await world.start_gateways(["a", "a", "a", "a"])
    await asyncio.sleep(4)
    poison = world.spawn(poison_requests(world))
    await asyncio.sleep(LEARN_S)
    world.record.add("%d crashes so far" % len(world.crashes))
    for gateway in world.gateways:
        if harness.TROUBLE:
            gateway.signal(signal.SIGTERM)
            await gateway.process.wait()
            await asyncio.sleep(0.5)
            await gateway.start()
            await gateway.wait_ready()
        await asyncio.sleep(GAP_S)
    poison.cancel()
    if len(world.crashes) < 3:
        raise harness.CannotRun("fewer than three crashes")
    limit = world.crashes[2][0] + harness.CONTACT_S
    late = {a for _, a in world.crashes
            if world.sent[a][0] > limit and
            world.sent[a][0] > world.sent[a][2] + harness.CONTACT_S}
    world.record.add(
        "%d crashes; %d attempts sent by gateways in touch later than %.0f s "
        "after the third crash reached workers; the rule allows 3" % (
            len(world.crashes), len(late), harness.CONTACT_S))
    print("BUDGET: %d retries, sent by gateways in touch later than contact_ms "
          "after the third crash, reached workers (at most 3 are allowed); "
          "%d crashes" % (len(late), len(world.crashes)))
    return len(late) > 3


harness.run_case(os.path.dirname(os.path.abspath(__file__)), case)
