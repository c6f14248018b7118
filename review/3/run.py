"""A request that crashes workers comes again and again, on warm connections."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "1"))

import harness  # noqa: E402
import http1  # noqa: E402

SERVICE = "orders"
WORKERS = 10
SLOTS = 6
WORK_S = 0.03
BACK_S = 3.0  # a worker that crashed is back after this time
SOUND_S = 0.02  # between two sound requests
POISON_S = 4.0  # between two attempts with the request that crashes workers
POISON_COUNT = 14
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
        path = line.split(" ")[1]
        if path == POISON and harness.TROUBLE:
            self.world.record.add("worker %s runs %s and crashes" % (
                self.id, attempt))
            self.world.crashes.append((self.world.record.now(), attempt))
            self.crash()
            self.world.spawn(self.start_again())
            return
        self.world.runs += 1
        await asyncio.sleep(WORK_S)
        writer.write(http1.message(
            "HTTP/1.1 200 OK", self.head_fields(attempt) +
            [("Response-Seal", "seal-" + attempt)], b"." * 800))

    async def start_again(self):
        await asyncio.sleep(BACK_S)
        await self.start()


async def get(world, gateway, path, attempt):
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


async def sound_requests(world, tally):
    number = 0

    async def one(gateway, attempt):
        status = await get(world, gateway, "/jobs/%d" % (number % 500),
                           attempt)
        tally[status] = tally.get(status, 0) + 1

    while True:
        number += 1
        world.spawn(one(world.gateways[number % len(world.gateways)],
                        "j%05d" % number))
        await asyncio.sleep(SOUND_S)


async def case(world):
    world.crashes = []  # (time, attempt)
    world.runs = 0
    for n in range(WORKERS):
        worker = Desk(world, "i-desk-%d" % n, SERVICE, "127.0.2.%d" % (n + 1),
                      "a", SLOTS)
        world.workers.append(worker)
        await worker.start()
    world.put_config([ROUTE], SERVICES)
    await world.start_gateways(["a", "a", "a"])
    tally = {}
    sound = world.spawn(sound_requests(world, tally))
    await asyncio.sleep(5)
    sent = {}  # attempt -> time
    for number in range(POISON_COUNT):
        attempt = "p%03d" % number
        gateway = world.gateways[number % len(world.gateways)]
        sent[attempt] = world.record.now()
        status = await get(world, gateway, POISON, attempt)
        world.record.add("client: %s at %s answered %d" % (
            attempt, gateway.name, status))
        await asyncio.sleep(POISON_S)
    sound.cancel()
    late = set()
    if len(world.crashes) >= 3:
        limit = world.crashes[2][0] + harness.CONTACT_S
        late = {a for _, a in world.crashes if sent[a] > limit}
    world.record.add("sound requests by status: %s" % sorted(tally.items()))
    world.record.add(
        "%d crashes; %d attempts sent later than %.0f s after the third crash "
        "reached workers; the rule allows 3" % (
            len(world.crashes), len(late), harness.CONTACT_S))
    print("BUDGET: %d retries reached workers later than contact_ms after the "
          "third crash (at most 3 are allowed); %d crashes; sound requests by "
          "status %s" % (len(late), len(world.crashes), sorted(tally.items())))
    return len(late) > 3


harness.run_case(os.path.dirname(os.path.abspath(__file__)), case)
