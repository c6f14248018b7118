#!/usr/bin/env python3
"""Crowds of misbehaving clients against one gateway.

crowd.py FORM starts a store, a target and a gateway on loopback, sends one
ordinary request, lets the crowd of the form misbehave, and checks that the
gateway lives, that its memory and its descriptors stayed under their bounds,
and that an ordinary request is served afterwards.
"""
import asyncio
import contextlib
import json
import os
import resource
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

MIB = 1048576
# The limit on what the gateway holds for its callers, in its settings.
LIMIT_MIB = 16
# One message of the greatest legal size on its way between two services, and
# as much for the connections of the crowd and for what the allocator keeps.
ALLOWANCE_MIB = 8
# Limit of open descriptors, and the part of it that a crowd may make the
# gateway use: an eighth has to remain for files and targets.
DESCRIPTORS = 512
DESCRIPTORS_BOUND = DESCRIPTORS * 7 // 8
MAX_BODY = 4194304  # of the operator's configuration
CROWD_S = 5.0  # after this the crowd stops
CALM_TRIES = 40  # of the ordinary request after the crowd has left
CALM_PAUSE_S = 0.25

HEAD = ("Host: crowd.example\r\nAttempt-Id: %s\r\nTime-Budget-Ms: 8000\r\n"
        "Authorization: Bearer key\r\n")


class Failed(Exception):
    """A check of the test failed."""


async def retry_calm(server, send, when):
    """Sends an ordinary request to a server until it gets 200."""
    result = ""
    for _ in range(CALM_TRIES):
        server.check_alive(when)
        try:
            result = await asyncio.wait_for(send(), 5)
        except (OSError, http1.ConnectionLost, asyncio.TimeoutError) as e:
            result = repr(e)
        if result == "200":
            return
        await asyncio.sleep(CALM_PAUSE_S)
    raise Failed("an ordinary request got %s %s" % (result, when))


class Target:
    """A target whose answers are as large or late as the path says."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.requests = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _answer(self, writer, line, fields):
        attempt_id = fields.get("attempt-id", "")
        body = b"fine"
        if "/large" in line:
            body = b"." * 200000
        elif "/huge" in line:
            body = b"." * 4000000
        elif "/late" in line:
            await asyncio.sleep(2)
        writer.write(http1.message(
            "HTTP/1.1 200 OK",
            [("Attempt-Id", attempt_id), ("Instance-Load", "1,0,400"),
             ("Response-Seal", workers.response_seal(attempt_id, body))],
            body))
        await writer.drain()

    async def _serve(self, reader, writer):
        try:
            while True:
                line, fields = await http1.read_head(reader)
                await http1.read_body(reader, fields)
                if line.startswith("GET /api/report "):
                    writer.write(http1.message("HTTP/1.1 200 OK", [],
                                               b'{"born": 1}'))
                    continue
                self.requests += 1
                await self._answer(writer, line, fields)
        except (http1.ConnectionLost, OSError):
            pass
        finally:
            writer.transport.abort()


class Fleet:
    """One gateway with its store and its target."""

    def __init__(self, folder):
        self.folder = folder
        self.store = platform_store.Store(1)
        self.target = Target()
        self.process = None
        self.ports = {}
        self.calm_requests = 0

    def _configure(self):
        self.store.write("op/config", json.dumps({
            "version": 1,
            "routes": [{
                "name": "crowd", "host": "crowd.example",
                "path_prefix": "/crowd/", "kind": "safe", "service": "orders",
                "timeout_ms": 8000, "target_latency_ms": 4000,
                "gap_aim_ms": 500, "priority": 1, "max_attempts": 2,
                "can_resume": False}],
            "services": [{"name": "orders", "max_connections": 200}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": MAX_BODY,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "caller", "api_keys": ["key"],
                         "prepaid": 100000000}]}).encode())

    async def _heartbeat(self):
        sequence = 0
        while True:
            sequence += 1
            self.store.write("servers/target", json.dumps({
                "service": "orders", "address":
                "127.0.0.1:%d" % self.target.port, "zone": "a",
                "version": "1", "batch_slots": 200, "state": "ready",
                "cold_remaining_ms": 0, "sequence": sequence,
                "born": 1}).encode())
            await asyncio.sleep(1.2)

    async def start(self):
        await self.store.start()
        await self.target.start()
        self._configure()
        asyncio.ensure_future(self._heartbeat())
        names = ("callers", "readiness", "metrics", "peers")
        self.ports = dict(zip(names, gateways.free_ports(len(names))))
        section = {name: "127.0.0.1:%d" % port
                   for name, port in self.ports.items()}
        section.update(self.settings(),
                       store="127.0.0.1:%d" % self.store.port)
        path = os.path.join(self.folder, "gateway.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({"name": "crowd", "availability_zone": "a",
                       "log_level": "warn", "gateway": section,
                       "peer": {"key": "test of crowds at the gateway"}}, file)
        with open(os.path.join(self.folder, "gateway.log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(os.environ.get("BUILD", "build"),
                             "tanagertrestle"),
                "gateway", "-f", path, stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)))

    def settings(self):
        """The limits of the test, in the section of the gateway."""
        return {"buffers_mib": LIMIT_MIB}

    def check_alive(self, when):
        if self.process.returncode is not None:
            raise Failed("the gateway ended with %s %s" %
                         (self.process.returncode, when))

    def peak_kib(self):
        with open("/proc/%d/status" % self.process.pid,
                  encoding="utf-8") as file:
            return next(int(line.split()[1]) for line in file
                        if line.startswith("VmHWM"))

    def descriptors(self):
        return len(os.listdir("/proc/%d/fd" % self.process.pid))

    async def _send_calm(self):
        self.calm_requests += 1
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.ports["callers"])
        try:
            body = b"x" * 1000
            writer.write(("POST /crowd/calm HTTP/1.1\r\n%sContent-Length: %d"
                          "\r\n\r\n" % (HEAD % ("calm-%d" % self.calm_requests),
                                        len(body))).encode() + body)
            line, fields = await http1.read_head(reader)
            await http1.read_body(reader, fields)
            return line.split(" ")[1]
        finally:
            writer.transport.abort()

    async def expect_calm(self, when):
        """Sends an ordinary request until it gets 200."""
        await retry_calm(self, self._send_calm, when)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Crowd:
    """Clients of one form; each stays until the crowd's time is over."""

    def __init__(self, fleet, port="callers"):
        self.fleet = fleet
        self.port = fleet.ports[port]
        self.ends_at = time.monotonic() + CROWD_S
        self.writers = []

    def is_over(self):
        return time.monotonic() > self.ends_at

    async def open(self):
        _, writer = await asyncio.open_connection("127.0.0.1", self.port,
                                                  limit=1)
        # What is not sent yet does not wait in this process.
        writer.transport.set_write_buffer_limits(high=65536)
        self.writers.append(writer)
        return writer

    async def send(self, writer, data):
        writer.write(data)
        await asyncio.wait_for(writer.drain(),
                               max(self.ends_at - time.monotonic(), 0.01))

    async def member(self, parts):
        """Sends the parts, reads nothing and stays open."""
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            writer = await self.open()
            for part in parts:
                if self.is_over() or writer.transport.is_closing():
                    break
                await self.send(writer, part)

    async def run(self, members):
        peak = 0
        tasks = [asyncio.ensure_future(self.member(m)) for m in members]
        while not self.is_over():
            await asyncio.sleep(0.2)
            self.fleet.check_alive("during the crowd")
            peak = max(peak, self.fleet.descriptors())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for writer in self.writers:
            writer.transport.abort()
        return peak


def post(path, fields, number):
    return ("POST %s HTTP/1.1\r\n%s%s\r\n" %
            (path, HEAD % ("crowd-%d" % number), fields)).encode()


def pieces(data, size):
    for i in range(0, len(data), size):
        yield data[i:i + size]


BODY = b"x" * 3999999  # one byte short of what is announced
ANNOUNCED = "Content-Length: 4000000\r\n"


def unended_bodies(path, count=24, size=len(BODY) + 400):
    for i in range(count):
        yield pieces(post(path, ANNOUNCED, i) + BODY, size)


def one_byte_chunks(count=48):
    part = b"1\r\nx\r\n" * 8000
    for i in range(count):
        yield [post("/crowd/x", "Transfer-Encoding: chunked\r\n", i)] + \
            [part] * 100


def beyond_limit_announced(count=40):
    for i in range(count):
        yield [post("/crowd/x", "Content-Length: 80000000\r\n", i)] + \
            [BODY[:65536]] * 300


def beyond_limit_chunked(count=24):
    part = b"10000\r\n" + b"x" * 65536 + b"\r\n"
    for i in range(count):
        yield [post("/crowd/x", "Transfer-Encoding: chunked\r\n", i)] + \
            [part] * 300


def fields_without_end(count=200):
    for _ in range(count):
        yield [b"GET /crowd/x HTTP/1.1\r\nHost: crowd.example\r\n" +
               b"a:b\r\n" * 3200]


def complete_fields(count=200):
    for i in range(count):
        yield [post("/crowd/late", "Content-Length: 0\r\n" + "a:b\r\n" * 1800,
                    i)]


def pipelined(path, count, requests):
    for i in range(count):
        yield [b"".join(post(path, "Content-Length: 0\r\n",
                             i * 100000 + k * 100 + n) for n in range(100))
               for k in range(requests // 100)]


def half_sent(count=24):
    """Half a body at once, and then a byte at a time."""
    async def trickle(crowd, number):
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            writer = await crowd.open()
            await crowd.send(writer, post("/crowd/x", ANNOUNCED, number) +
                             BODY[:2000000])
            while not (crowd.is_over() or writer.transport.is_closing()):
                await crowd.send(writer, b"x")
                await asyncio.sleep(0.1)
    return [trickle] * count


def half_read(count=24):
    """Reads 10,000 bytes of an answer of 4,000,000 and stops."""
    async def read_some(crowd, number):
        with contextlib.suppress(OSError, asyncio.TimeoutError,
                                 asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", crowd.port, limit=4096)
            crowd.writers.append(writer)
            writer.write(post("/crowd/huge", "Content-Length: 0\r\n", number))
            await reader.readexactly(10000)
            while not crowd.is_over():
                await asyncio.sleep(0.2)
    return [read_some] * count


class Actors(Crowd):
    """A crowd whose members act by coroutines of their own."""

    async def run(self, members):
        return await super().run(enumerate(members))

    async def member(self, parts):
        number, act = parts
        await act(self, number)


def open_only(count=600):
    """More connections than the process has descriptors."""
    for _ in range(count):
        yield [b"GET /crowd/x HTTP/1.1\r\n"]


def peer_frames(count=64):
    """A frame of the greatest size without its last byte."""
    for _ in range(count):
        yield [(1000000).to_bytes(4, "big") + b"\x91" * 999999]


# form: (listener, crowd, members)
FORMS = {
    "bodies": ("callers", Crowd, lambda: unended_bodies("/crowd/x")),
    "small_pieces": ("callers", Crowd,
                     lambda: unended_bodies("/crowd/x", size=2000)),
    "one_byte_chunks": ("callers", Crowd, one_byte_chunks),
    "no_route": ("callers", Crowd, lambda: unended_bodies("/nowhere")),
    "readiness": ("readiness", Crowd,
                  lambda: unended_bodies("/api/readiness")),
    "metrics": ("metrics", Crowd, lambda: unended_bodies("/metrics")),
    "peer_frames": ("peers", Crowd, peer_frames),
    "beyond_limit": ("callers", Crowd, beyond_limit_announced),
    "beyond_limit_chunked": ("callers", Crowd, beyond_limit_chunked),
    "fields_without_end": ("callers", Crowd, fields_without_end),
    "complete_fields": ("callers", Crowd, complete_fields),
    "pipelined": ("callers", Crowd,
                  lambda: pipelined("/crowd/large", 48, 400)),
    "pipelined_waiting": ("callers", Crowd,
                          lambda: pipelined("/crowd/late", 96, 4000)),
    "half_sent": ("callers", Actors, half_sent),
    "half_read": ("callers", Actors, half_read),
    "connections": ("callers", Crowd, open_only),
}


async def play(form, fleet):
    listener, kind, members = FORMS[form]
    await fleet.start()
    await fleet.expect_calm("before the crowd")
    base = fleet.peak_kib()
    descriptors = await kind(fleet, listener).run(members())
    await fleet.expect_calm("after the crowd")
    fleet.check_alive("after the crowd")
    peak = fleet.peak_kib()
    bound = base + (LIMIT_MIB + ALLOWANCE_MIB) * 1024
    print("%s: peak %d KiB, base %d KiB, bound %d KiB; %d descriptors, "
          "bound %d" % (form, peak, base, bound, descriptors,
                        DESCRIPTORS_BOUND))
    if peak > bound:
        raise Failed("the peak of memory is above its bound")
    if descriptors > DESCRIPTORS_BOUND:
        raise Failed("the descriptors are above their bound")


async def run_fleet(form, make_fleet, play_form):
    """Returns the exit code of a form that is played with a new fleet."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = make_fleet(folder)
        try:
            await play_form(fleet)
        except Failed as error:
            print("FAILED: %s: %s" % (form, error))
            with open(os.path.join(folder, "gateway.log"),
                      encoding="utf-8", errors="replace") as file:
                print(file.read()[-2000:])
            return 1
        finally:
            await fleet.stop()
    return 0


if __name__ == "__main__":
    os.chdir(ROOT)
    sys.exit(asyncio.run(run_fleet(
        sys.argv[1], Fleet, lambda fleet: play(sys.argv[1], fleet))))
