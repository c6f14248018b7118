#!/usr/bin/env python3
"""Requests with a part that crashes targets, beside sound ones with the others.

The first gateway serves the sound requests, the second gets those with the
deadly part, which stands first, in the middle or last.  Afterwards sound
requests must be served by all gateways, and those with the deadly part refused,
also after all gateways have started again.
"""
import argparse
import asyncio
import json
import os
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))

import gateways  # pylint: disable=wrong-import-position
import http1  # pylint: disable=wrong-import-position
import platform_store  # pylint: disable=wrong-import-position
import workers  # pylint: disable=wrong-import-position

TARGETS = 8
DOWN_S = 1.0  # until a target that has crashed is back
SOUND_BEFORE, SOUND_AFTER = 6, 12
SERIES, SERIES_GAP_S = 4, 0.15
LATE_MAX = 3  # deadly requests that reach a target after the series
PAUSE_S = 0.1
EVENTS, EVENT_S = 10, 0.04
HOST, KEY = "deadly.example", "key"


class Failed(Exception):
    """A check of the test failed."""


class Target:
    """An engine that ends as it begins to answer a deadly request."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.id = "target-%d" % number
        self.born = 1
        self.sequence = 0
        self.port = 0
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1",
                                                 self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()

    def register(self):
        self.sequence += 1
        self.fleet.store.write("servers/" + self.id, json.dumps({
            "service": "engine", "zone": "a", "version": "1",
            "address": "127.0.0.1:%d" % self.port, "batch_slots": 16,
            "state": "ready", "cold_remaining_ms": 0, "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self.sequence, "born": self.born}).encode())

    async def _crash(self):
        if self.server is None:
            return
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(DOWN_S)
        self.born += 1
        self.sequence = 0
        await self.start()

    async def _stream(self, writer, fields):
        attempt = fields.get("attempt-id", "")
        deadly = "dead" in fields.get("prompt-prefix", "")
        await asyncio.sleep(EVENT_S)
        writer.write(http1.head("HTTP/1.1 200 OK", [
            ("Attempt-Id", attempt), ("Content-Type", "text/event-stream"),
            ("Response-Seal", workers.response_seal(attempt, b"")),
            ("Transfer-Encoding", "chunked")]))
        await writer.drain()
        if deadly:
            self.fleet.crashed.append(attempt)
            await asyncio.sleep(0.01)
            await self._crash()
            return
        for i in range(1, EVENTS + 1):
            writer.write(http1.chunk(b"id: %d\ndata: x\n\n" % i))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields = await http1.read_head(reader)
                await http1.read_body(reader, fields)
                if line.startswith("GET /api/report "):
                    writer.write(http1.message(
                        "HTTP/1.1 200 OK", [],
                        json.dumps({"born": self.born}).encode()))
                elif fields.get("expect-instance") != self.id:
                    writer.write(http1.message(
                        "HTTP/1.1 421 x",
                        [("Attempt-Id", fields.get("attempt-id", "")),
                         ("Not-Executed", "misdirected")]))
                else:
                    await self._stream(writer, fields)
        except (http1.ConnectionLost, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Fleet:
    """Three gateways, their store and the targets.

    It has what a Gateway needs of the soak.
    """

    def __init__(self, folder):
        self.folder = folder
        self.binary = os.path.join(os.environ.get("BUILD", "build"),
                                   "tanagertrestle")
        self.log_level = "info"
        self.args = argparse.Namespace(grace=8)
        self.store = platform_store.Store(1)
        self.targets = [Target(self, i) for i in range(TARGETS)]
        self.gateways = []
        self.crashed = []  # attempts that crashed a target
        self.requests = 0

    @staticmethod
    def now():
        return time.monotonic()

    async def heartbeat(self):
        while True:
            await asyncio.sleep(1.2)
            for target in self.targets:
                if target.server is not None:
                    target.register()

    async def start(self):
        await self.store.start()
        self.store.write("op/config", json.dumps({
            "version": 1,
            "routes": [{"name": "draft", "host": HOST,
                        "path_prefix": "/draft/", "kind": "streaming",
                        "timeout_ms": 5000, "target_latency_ms": 1000,
                        "max_attempts": 1, "service": "engine",
                        "session_affinity": True}],
            "services": [{"name": "engine", "max_connections": 100,
                          "engine": {"batch_slots": 16, "stride": 6,
                                     "kv_capacity": 500000, "most": 12,
                                     "models": [{"name": "m"}]}}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536},
            "tenants": [{"name": "caller", "api_keys": [KEY],
                         "prepaid": 50000000}]}).encode())
        for target in self.targets:
            await target.start()
        asyncio.ensure_future(self.heartbeat())
        ports = gateways.free_ports(3)
        seeds = ["127.0.0.1:%d" % port for port in ports]
        self.gateways = [gateways.Gateway(self, i, port, seeds)
                         for i, port in enumerate(ports)]
        await self.start_gateways()

    async def start_gateways(self):
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            if not await gateway.wait_ready():
                raise Failed("%s is not ready" % gateway.name)

    async def stop(self):
        for gateway in self.gateways:
            await gateway.kill()

    async def ask(self, number, parts):
        """Sends a request at a gateway; returns its id and the status.

        The status is "cut" if the answer is not complete.
        """
        self.requests += 1
        attempt = "a-%d" % self.requests
        own = "%08x" % (0x40000000 + self.requests)
        prefix = ["%s:200" % part for part in parts] + [own + ":600"]
        writer = None
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.gateways[number].callers_port)
            writer.write(http1.message(
                "POST /draft/x HTTP/1.1",
                [("Host", HOST), ("Attempt-Id", attempt),
                 ("Authorization", "Bearer " + KEY), ("Model", "m"),
                 ("Token-Count", "%d,60" % (600 + 200 * len(parts))),
                 ("Prompt-Prefix", ",".join(prefix)),
                 ("Time-Budget-Ms", "4000")], own.encode()))
            line, fields = await asyncio.wait_for(http1.read_head(reader), 5)
            await asyncio.wait_for(http1.read_body(reader, fields), 5)
            return attempt, line.split(" ")[1]
        except (OSError, http1.ConnectionLost, asyncio.TimeoutError):
            return attempt, "cut"
        finally:
            if writer is not None:
                writer.transport.abort()

    async def expect_sound(self, number, parts, count):
        answers = await asyncio.gather(*[self.ask(number, parts)
                                         for _ in range(count)])
        statuses = [status for _, status in answers]
        if statuses != ["200"] * count:
            raise Failed("sound requests with %s at %s: %s" % (
                ":".join(parts), self.gateways[number].name, statuses))

    async def expect_refused(self, parts):
        """Few of these reach targets, and a refusal is 503."""
        before = len(self.crashed)
        for i in range(9):
            attempt, status = await self.ask(i % 3, parts)
            if status != "503" and attempt not in self.crashed:
                raise Failed("deadly request with %s: %s" % (
                    ":".join(parts), status))
            await asyncio.sleep(PAUSE_S)
        late = len(self.crashed) - before
        if late > LATE_MAX:
            raise Failed("%d requests with %s crashed targets after the series"
                         % (late, ":".join(parts)))


async def play(fleet):
    await fleet.start()
    sound = ["a%d" % i for i in range(3)]
    for place in range(len(sound) + 1):
        sound = ["%d%s" % (place, part[-2:]) for part in sound]
        deadly = list(sound)
        deadly.insert(place, "dead%d" % place)
        await fleet.expect_sound(0, sound, SOUND_BEFORE)
        for _ in range(SERIES):
            await fleet.ask(1, deadly)
            await asyncio.sleep(SERIES_GAP_S)
        await asyncio.sleep(2 * DOWN_S)
        for number in range(3):
            await fleet.expect_sound(number, sound, SOUND_AFTER // 3)
        await fleet.expect_refused(deadly)
        await fleet.expect_refused([deadly[place], "f%d" % place])
    for gateway in fleet.gateways:
        await gateway.kill()
    await fleet.start_gateways()
    await asyncio.sleep(2 * DOWN_S)
    await fleet.expect_sound(0, sound, SOUND_AFTER)
    await fleet.expect_refused(deadly)


async def run():
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder)
        try:
            await play(fleet)
        except Failed as error:
            print("FAILED: %s" % error)
            for gateway in fleet.gateways:
                with open(os.path.join(folder, gateway.name + ".log"),
                          encoding="utf-8", errors="replace") as file:
                    print("".join(line for line in file
                                  if "event=part_" in line)[-3000:])
            return 1
        finally:
            await fleet.stop()
    print("ok: %d requests, %d crashes" % (fleet.requests,
                                           len(fleet.crashed)))
    return 0


if __name__ == "__main__":
    os.chdir(ROOT)
    sys.exit(asyncio.run(run()))
