"""The operator adds a route whose host has a long name, and takes a key away."""
import asyncio

import rig
from rig import http1

LONG_HOST = ("uzletek.asszisztens.szunyoghalo-franchise-kozpont."
             "kozep-magyarorszag.example")
CONFIG_S = 2.0  # config_ms
REQUESTS = 30


class Desk(rig.Worker):
    def __init__(self, *args):
        super().__init__(*args)
        self.runs = {}

    async def run(self, writer, line, fields, body):
        attempt = fields.get("attempt-id", "")
        self.runs[attempt] = (self.rig.now(), line)
        await asyncio.sleep(0.02)
        writer.write(http1.message(
            "HTTP/1.1 200 OK",
            [("Attempt-Id", attempt), ("Response-Seal", "seal." + attempt)],
            b"done"))


class Caller:
    def __init__(self, world):
        self.world = world
        self.number = 0

    async def send(self, gateway, host, path, key):
        attempt = "%016x" % (0xcf000000 + self.number)
        self.number += 1
        reader, writer = await asyncio.open_connection(
            gateway.ip, gateway.ports["callers"])
        try:
            writer.write(http1.message(
                "GET %s HTTP/1.1" % path,
                [("Host", host), ("Attempt-Id", attempt),
                 ("Authorization", "Bearer " + key),
                 ("Time-Budget-Ms", "2500"), ("Connection", "close")]))
            line, fields = await asyncio.wait_for(http1.read_head(reader), 3)
            return attempt, line.split(" ")[1]
        except (OSError, http1.ConnectionLost, asyncio.TimeoutError):
            return attempt, "lost"
        finally:
            writer.transport.abort()


def configure(world, version, more_routes, keys):
    world.configure(
        version,
        [rig.route("jobsheet-read", "safe", "rendeles", timeout_ms=1200,
                   target_latency_ms=150, max_attempts=2)] + more_routes,
        [{"name": "rendeles", "max_connections": 100}],
        [{"name": "shop", "api_keys": keys}])


async def play(world):
    desk = Desk(world, "rendeles", "i-desk-1")
    await desk.listen()
    configure(world, 1, [], ["key-kept", "key-taken-away"])
    desk.beat()
    await world.start()
    await world.wait_ready()
    await asyncio.sleep(2)
    caller = Caller(world)
    for gateway in world.gateways:
        for key in ("key-kept", "key-taken-away"):
            _, status = await caller.send(gateway, rig.HOST,
                                          "/jobsheet-read/1", key)
            world.note("version 1: %s with %s at %s" % (status, key,
                                                        gateway.name))
    host = LONG_HOST if rig.TROUBLE else "uzletek.example"
    world.note("version 2 adds a route of host %s (%d characters) and takes "
               "key-taken-away away" % (host, len(host)))
    configure(world, 2, [dict(rig.route(
        "shop-read", "safe", "rendeles", timeout_ms=1200, max_attempts=2),
        host=host)], ["key-kept"])
    await asyncio.sleep(CONFIG_S + 1)
    seen = {}
    for number in range(REQUESTS):
        gateway = world.gateways[number % len(world.gateways)]
        for host_, path, key in (
                (rig.HOST, "/jobsheet-read/2", "key-taken-away"),
                (host, "/shop-read/2", "key-kept")):
            attempt, status = await caller.send(gateway, host_, path, key)
            ran = "ran" if attempt in desk.runs else "did not run"
            what = "%s with %s" % (path, key)
            seen[what, status, ran] = seen.get((what, status, ran), 0) + 1
        await asyncio.sleep(0.1)
    for (what, status, ran), count in sorted(seen.items()):
        text = "later than config_ms after version 2: %d requests for %s: " \
            "%s, %s" % (count, what, status, ran)
        world.note(text)
        if "taken-away" in what and ran == "ran":
            world.rule_broken(text)


rig.main(play, gateways=3)
