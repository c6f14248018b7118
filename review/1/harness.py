"""A small deployment on loopback addresses, shared by the scripts of review/.

Gateways run the program and the command of deploy/system.toml, with settings
made from the template deploy/gateway.json.  The platform's store is the
project's own stand-in; workers and clients are here.
"""
import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))

import http1  # noqa: E402
import platform_store  # noqa: E402

PROGRAM = os.path.join(ROOT, "target", "tanagertrestle")
HEARTBEAT_S = 1.2
QUEUE = 4  # requests that wait at a worker, beyond its slots
HOST = "desk.example"
KEY = "review-key-of-tenant-one"
TENANT = "tenant-one"
# The bounds of the site file that the claims name.
BOUNDS = {"retry_budget_ratio": 0.2, "budget_slack": 54,
          "budget_window_s": 10, "grace_period_s": 8}
CONTACT_S = 3.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, written to record.txt at the end."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.began = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        self.lines.append("%8.3f  %s" % (self.now(), text))

    def write(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def fill_template(text, fields):
    """Fills in a template as the platform does, as far as this one needs."""
    def value(name):
        found = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = (found or {}).get(part)
        return found

    def section(match):
        return match.group(2) if value(match.group(1)) else ""

    def place(match):
        found = value(match.group(1))
        if match.group(2):
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"{{#([\w.]+)}}(.*?){{/\1}}", section, text, flags=re.S)
    return re.sub(r"{{([\w.]+)(\|json)?}}", place, text)


class Gateway:
    """A gateway process, at a loopback address of its own."""

    def __init__(self, world, number, zone):
        self.world = world
        self.name = "edge-%s-%d" % (zone, number)
        self.zone = zone
        self.host = "127.0.1.%d" % number
        self.front = free_port(self.host)
        self.ready = free_port(self.host)
        self.control = free_port(self.host)
        self.metrics = free_port(self.host)
        self.process = None
        self.started_at = None

    def write_settings(self):
        with open(os.path.join(ROOT, "deploy", "gateway.json"),
                  encoding="utf-8") as file:
            template = file.read()
        seeds = ["%s:%d" % (g.host, g.control)
                 for g in self.world.gateways[:3]]
        path = os.path.join(self.world.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(fill_template(template, {
                "node_name": self.name, "zone": self.zone, "ip": self.host,
                "bounds": BOUNDS, "internal_ports": [self.metrics],
                "listen": {"front": "%s:%d" % (self.host, self.front),
                           "ready": "%s:%d" % (self.host, self.ready),
                           "control": "%s:%d" % (self.host, self.control)},
                "platform": {"address": self.world.store_address(self)},
                "seed_addrs": seeds}))
        return path

    async def start(self):
        path = self.write_settings()
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "gateway", "-f", path, stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.started_at = self.world.record.now()
        self.world.record.add("gateway %s started" % self.name)

    async def is_ready(self):
        with contextlib.suppress(OSError, asyncio.TimeoutError,
                                 http1.ConnectionLost):
            reader, writer = await asyncio.open_connection(
                self.host, self.ready)
            try:
                writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                line, _ = await asyncio.wait_for(http1.read_head(reader), 1)
                return " 200" in line
            finally:
                writer.transport.abort()
        return False

    async def wait_ready(self):
        for _ in range(200):
            if await self.is_ready():
                return
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.05)
        raise CannotRun("gateway %s is not ready" % self.name)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.world.record.add("gateway %s gets %s" % (
                self.name, signal.Signals(number).name))

    async def end(self):
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        await self.process.wait()


class Load:
    """Requests at one incarnation of a worker."""

    def __init__(self, slots):
        self.slots = slots
        self.places = asyncio.Semaphore(slots)
        self.running = 0
        self.waiting = 0

    def is_full(self):
        return self.running + self.waiting >= self.slots + QUEUE

    @contextlib.asynccontextmanager
    async def place(self):
        self.waiting += 1
        try:
            await self.places.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1
            self.places.release()


class Worker:
    """A worker that follows the users' protocol; handle() is its work."""

    def __init__(self, world, identity, service, host, zone, slots,
                 version="1"):
        self.world = world
        self.id = identity
        self.service = service
        self.host = host
        self.zone = zone
        self.slots = slots
        self.version = version
        self.port = free_port(host)
        self.load = None
        self.sequence = 0
        self.born = 0
        self.state = "ready"
        self.server = None
        self.beat = None
        self.writers = set()

    async def start(self):
        """A start of the process: a new incarnation, maybe of the same id."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.load = Load(self.slots)
        self.state = "ready"
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True)
        self.beat = asyncio.ensure_future(self._beat())
        self.world.record.add("worker %s started, software %s" % (
            self.id, self.version))

    def write_entry(self):
        self.sequence += 1
        self.world.store.write("servers/" + self.id, json.dumps({
            "service": self.service,
            "address": "%s:%d" % (self.host, self.port), "zone": self.zone,
            "version": self.version, "batch_slots": self.slots,
            "state": self.state, "cold_remaining_ms": 0,
            "sequence": self.sequence, "born": self.born}).encode())

    async def _beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self):
        """The process dies: its connections are reset, its port refuses."""
        if self.server is None:
            return
        self.world.record.add("worker %s ends" % self.id)
        self.beat.cancel()
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def head_fields(self, attempt):
        return [("Attempt-Id", attempt),
                ("Instance-Load", "%d,%d,%d" % (
                    self.load.running, self.load.waiting, self.slots)),
                ("Keep-Alive", "timeout=5")]

    async def handle(self, writer, line, fields, body):
        raise NotImplementedError

    async def _serve(self, reader, writer):
        load = self.load
        self.writers.add(writer)
        try:
            while True:
                line, fields = await http1.read_head(reader)
                body = await http1.read_body(reader, fields)
                attempt = fields.get("attempt-id", "")
                if fields.get("expect-instance", self.id) != self.id:
                    writer.write(http1.message(
                        "HTTP/1.1 421 Misdirected Request",
                        [("Attempt-Id", attempt), ("Instance-Id", self.id),
                         ("Not-Executed", "1")]))
                elif load.is_full():
                    writer.write(http1.message(
                        "HTTP/1.1 503 Service Unavailable",
                        [("Attempt-Id", attempt), ("Not-Executed", "1")]))
                else:
                    async with load.place():
                        await self.handle(writer, line, fields, body)
                await writer.drain()
        except (http1.ConnectionLost, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class World:
    """Store, gateways and workers of one run, and its record."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = None
        self.store = platform_store.Store(1)
        self.gateways = []
        self.workers = []
        self.version = 0
        self.tasks = set()  # asyncio keeps weak references only

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def store_address(self, _gateway):
        return "127.0.0.1:%d" % self.store.port

    def put_config(self, routes, services, prepaid=None):
        self.version += 3
        tenant = {"name": TENANT, "api_keys": [KEY], "priority": 1}
        if prepaid is not None:
            tenant["prepaid"] = prepaid
        self.store.write("op/config", json.dumps({
            "version": self.version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [tenant]}).encode())
        self.record.add("configuration %d is acknowledged" % self.version)

    async def start_gateways(self, zones):
        for number, zone in enumerate(zones, 1):
            self.gateways.append(Gateway(self, number, zone))
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    async def end(self):
        for task in list(self.tasks):
            task.cancel()
        for gateway in self.gateways:
            await gateway.end()
        for worker in self.workers:
            worker.crash()


def request(method, path, attempt, fields, body=b""):
    return http1.message(
        "%s %s HTTP/1.1" % (method, path),
        [("Host", HOST), ("Attempt-Id", attempt),
         ("Authorization", "Bearer " + KEY)] + fields, body)


def run_case(case_folder, case):
    """Runs a case; it returns whether the rule was broken."""
    if not os.path.exists(PROGRAM):
        print("cannot run: target/tanagertrestle is not built")
        sys.exit(2)
    world = World(case_folder)

    async def play():
        try:
            await world.store.start()
            return await case(world)
        finally:
            await world.end()

    code = 2
    with tempfile.TemporaryDirectory() as folder:
        world.folder = folder
        try:
            broken = asyncio.run(asyncio.wait_for(play(), 110))
            code = 1 if broken else 0
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            world.record.add("cannot run: %r" % error)
            print("cannot run: %r" % error)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil
            shutil.copytree(folder, keep, dirs_exist_ok=True)
    world.record.add("exit %d" % code)
    world.record.write()
    sys.exit(code)
