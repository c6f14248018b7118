#!/usr/bin/env python3
"""A configuration and requests with long values at three gateways.

Version 2 takes a key away and adds a route whose values are all long.  One
gateway is cut off from the store and gets it from its peers, one starts again
while it is the newest.  At each, the old key must stop and the new route run.
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

LIMIT_S = 20  # reached only by a test that fails
PAUSE_S = 0.2
HOST = "a" * 63 + "." + "b" * 63 + "." + "c" * 63 + ".example"
PREFIX = "/" + "p" * 3000 + "/"
ACCOUNT = "account-" + "n" * 300
KEY = "key-" + "k" * 600
TARGET = "target-" + "i" * 180
SERVICES = ["service-" + "s" * 300 + "-%d" % i for i in range(6)]
ATTEMPT = "attempt-" + "x" * 2000


class Failed(Exception):
    """A check of the test failed."""


class Target:
    """A target that keeps what it was asked for."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.seen = {}  # attempt -> fields

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while True:
                _, fields = await http1.read_head(reader)
                await http1.read_body(reader, fields)
                attempt = fields.get("attempt-id", "")
                self.seen[attempt] = fields
                writer.write(http1.message(
                    "HTTP/1.1 200 OK",
                    [("Attempt-Id", attempt),
                     ("Response-Seal",
                      workers.response_seal(attempt, b"fine"))], b"fine"))
                await writer.drain()
        except (http1.ConnectionLost, OSError):
            pass
        finally:
            writer.transport.abort()


class Fleet:
    """Three gateways with their store and a target of each service.

    It has what a Gateway needs of the soak.
    """

    def __init__(self, folder):
        self.folder = folder
        self.binary = os.path.join(os.environ.get("BUILD", "build"),
                                   "tanagertrestle")
        self.log_level = "info"
        self.args = argparse.Namespace(grace=8)
        self.store = platform_store.Store(1)
        self.target = Target()
        self.gateways = []
        self.requests = 0

    @staticmethod
    def now():
        return time.monotonic()

    def configure(self, version, routes, services, account, keys):
        self.store.write("op/config", json.dumps({
            "version": version, "routes": routes,
            "services": [{"name": name, "max_connections": 100}
                         for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536},
            "tenants": [{"name": account, "api_keys": keys}]}).encode())

    async def heartbeat(self):
        sequence = 0
        while True:
            sequence += 1
            self.register("plain", "plain", "a", "1", sequence)
            for i, service in enumerate(SERVICES):
                self.register("%s-%d" % (TARGET, i), service, "a" * 100,
                              "v" * 100, sequence)
            await asyncio.sleep(1.2)

    def register(self, ident, service, zone, version, sequence):
        self.store.write("servers/" + ident, json.dumps({
            "service": service, "zone": zone, "version": version,
            "address": "127.0.0.1:%d" % self.target.port,
            "batch_slots": 50, "state": "ready", "cold_remaining_ms": 0,
            "sequence": sequence, "born": 1}).encode())

    async def start(self):
        await self.store.start()
        await self.target.start()
        self.configure(1, [route("old", "old.example", "/old/",
                                 service="plain")],
                       ["plain"], "caller", ["kept", "gone"])
        asyncio.ensure_future(self.heartbeat())
        ports = gateways.free_ports(3)
        seeds = ["127.0.0.1:%d" % port for port in ports]
        self.gateways = [gateways.Gateway(self, i, port, seeds)
                         for i, port in enumerate(ports)]
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            if not await gateway.wait_ready():
                raise Failed("%s is not ready" % gateway.name)

    async def stop(self):
        for gateway in self.gateways:
            await gateway.kill()

    async def ask(self, gateway, host, path, key, attempt):
        """Returns the status and the fields of the answer."""
        writer = None
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", gateway.callers_port)
            writer.write(http1.message(
                "POST %s HTTP/1.1" % path,
                [("Host", host), ("Attempt-Id", attempt),
                 ("Authorization", "Bearer " + key),
                 ("Time-Budget-Ms", "3000")], b"x"))
            line, fields = await asyncio.wait_for(http1.read_head(reader), 5)
            return line.split(" ")[1], fields
        except (OSError, http1.ConnectionLost, asyncio.TimeoutError) as error:
            return repr(error), {}
        finally:
            if writer is not None:
                writer.transport.abort()

    async def expect(self, gateway, status, host, path, key, prefix="a"):
        """Asks until the status comes; returns the attempt and its answer."""
        deadline = self.now() + LIMIT_S
        while True:
            self.requests += 1
            attempt = "%s-%d" % (prefix, self.requests)
            got, fields = await self.ask(gateway, host, path, key, attempt)
            if got == status:
                return attempt, fields
            if self.now() > deadline:
                raise Failed("%s answers %s to %s with key %s, not %s" % (
                    gateway.name, got, path[:20], key[:8], status))
            await asyncio.sleep(PAUSE_S)

    async def check_version_2(self, gateway):
        await self.expect(gateway, "401", "old.example", "/old/1", "gone")
        await self.expect(gateway, "200", "old.example", "/old/1", "kept")
        attempt, fields = await self.expect(
            gateway, "200", HOST + ".:80", PREFIX + "q" * 2000, KEY, ATTEMPT)
        if fields.get("attempt-id") != attempt:
            raise Failed("%s answers with another id" % gateway.name)
        seen = self.target.seen.get(attempt, {})
        if seen.get("tenant") != ACCOUNT:
            raise Failed("the target got another name of the account")
        if not seen.get("expect-instance", "").startswith(TARGET):
            raise Failed("the target was asked by another id")


def route(name, host, prefix, **more):
    return dict({"name": name, "host": host, "path_prefix": prefix,
                 "kind": "unsafe", "timeout_ms": 3000,
                 "target_latency_ms": 1000, "max_attempts": 2}, **more)


async def play(fleet):
    await fleet.start()
    for gateway in fleet.gateways:
        await fleet.expect(gateway, "200", "old.example", "/old/1", "gone")
    fleet.gateways[2].store_link.set_mode("reset")
    fleet.configure(2, [
        route("old", "old.example", "/old/", service="plain"),
        route("new" + "r" * 300, HOST, PREFIX, split=[
            {"service": name, "weight": 1} for name in SERVICES])],
        ["plain"] + SERVICES, ACCOUNT, ["kept", KEY])
    for gateway in fleet.gateways:
        await fleet.check_version_2(gateway)
    await fleet.gateways[0].kill()
    await fleet.gateways[0].start()
    await fleet.check_version_2(fleet.gateways[0])


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
                                  if "level=warn" in line)[-1000:])
            return 1
        finally:
            await fleet.stop()
    print("ok: %d requests" % fleet.requests)
    return 0


if __name__ == "__main__":
    os.chdir(ROOT)
    sys.exit(asyncio.run(run()))
