"""Gateway processes, each running the program under test."""
import asyncio
import contextlib
import json
import os
import signal
import socket

import relay
import spans

READY_TIMEOUT_S = 5.0

# Ports are below the ephemeral range, and each soak process starts at another
# one: otherwise a concurrent soak could take a port between probe and use.
PORT_MIN = 10000
PORT_COUNT = 20000
next_port = os.getpid() * 61 % PORT_COUNT


def free_ports(count):
    global next_port
    ports = []
    while len(ports) < count:
        port = PORT_MIN + next_port
        next_port = (next_port + 1) % PORT_COUNT
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


class Gateway:
    """One gateway, which keeps its ports over restarts."""

    def __init__(self, soak, number, peers_port, seeds):
        self.soak = soak
        self.number = number
        self.name = "g%d" % number
        self.callers_port, self.ready_port, self.metrics_port = free_ports(3)
        self.peers_port = peers_port
        self.seeds = seeds
        self.store_link = relay.Relay("127.0.0.1", soak.store.port)
        self.process = None
        self.incarnation = 0
        self.stopping_since = None
        self.stops = {}  # incarnation -> time of SIGTERM
        self.exits = {}  # incarnation -> time at which its exit was seen
        self.restarting = False
        self.begun = 0  # incarnation that was seen to have begun
        # Faults of the process, its link to the store or the store itself.
        self.faults = spans.Spans()

    def add_fault(self, until):
        self.faults.add(self.soak.now(), until)

    async def start(self):
        if self.store_link.server is None:
            await self.store_link.start()
        path = os.path.join(self.soak.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({
                "name": self.name, "availability_zone": "a",
                "log_level": self.soak.log_level,
                "gateway": {
                    "callers": "127.0.0.1:%d" % self.callers_port,
                    "readiness": "127.0.0.1:%d" % self.ready_port,
                    "metrics": "127.0.0.1:%d" % self.metrics_port,
                    "peers": "127.0.0.1:%d" % self.peers_port,
                    "store": "127.0.0.1:%d" % self.store_link.port,
                    "watch_pause_ms": 300, "retry_ratio": 0.2,
                    "retry_slack": 54, "retry_window_s": 10,
                    "grace_s": self.soak.args.grace},
                "peer": {"key": "soak test of the gateways",
                         "seeds": self.seeds}}, file)
        self.incarnation += 1
        self.stopping_since = None
        with open(os.path.join(self.soak.folder, self.name + ".log"),
                  "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.soak.binary, "gateway", "-f", path, stdout=log,
                stderr=log)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ready_port)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.transport.abort()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self):
        deadline = self.soak.now() + READY_TIMEOUT_S
        while not await self.is_ready():
            if self.soak.now() > deadline:
                return False
            await asyncio.sleep(0.05)
        return True

    def signal(self, signal_number):
        if self.process is None or self.process.returncode is not None:
            return
        if signal_number == signal.SIGTERM:
            self.stopping_since = self.soak.now()
            self.stops[self.incarnation] = self.stopping_since
        # Process.send_signal() would reap a process that has just ended, and
        # its exit status would be lost.
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, signal_number)

    def has_begun(self):
        """Whether the program has set what SIGHUP does, its first action.

        Nothing can handle a signal before that.
        """
        if self.begun != self.incarnation and self.process is not None:
            with contextlib.suppress(OSError), open(
                    "/proc/%d/status" % self.process.pid,
                    encoding="utf-8") as file:
                masks = [int(line.split()[1], 16) for line in file
                         if line.startswith(("SigIgn:", "SigCgt:"))]
                if any(mask >> (signal.SIGHUP - 1) & 1 for mask in masks):
                    self.begun = self.incarnation
        return self.begun == self.incarnation

    async def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
