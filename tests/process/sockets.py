#!/usr/bin/env python3
"""Crowds of misbehaving clients against the sockets of one gateway.

sockets.py FORM is like crowd.py FORM, but bounds the sum of what the gateway
holds and of what the operating system holds for it in its sockets: bytes that
have arrived and were not read, also on connections that wait to be accepted,
and bytes of answers that their readers have not acknowledged.
"""
import asyncio
import contextlib
import os
import resource
import signal
import socket
import sys

import crowd

# The machine's memory, in the gateway's settings.  It bounds the sum.
MEMORY_MIB = 64
PAUSE_S = 1.0  # from the start of a crowd until the process is paused
SAMPLE_S = 0.1  # between two measurements
STEP_S = 0.1  # between two clients that begin one after the other
# What the system of a client keeps for it; the test counts only the server's.
CLIENT_BUFFER = 65536
CLIENTS_MAX = 4096  # descriptors of this process
LISTENING = "0A"  # state in /proc/net/tcp


class Usage:
    """What a process and the sockets at its ports hold, and its peak."""

    def __init__(self, pid, ports):
        self.pid = pid
        self.ports = {"%04X" % port for port in ports}
        self.peak = (0, 0, 0)

    def _inodes(self):
        inodes = set()
        folder = "/proc/%d/fd" % self.pid
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                link = os.readlink(os.path.join(folder, name))
                if link.startswith("socket:["):
                    inodes.add(link[len("socket:["):-1])
        return inodes

    def _socket_bytes(self):
        """Returns the bytes that were not read and not acknowledged."""
        inodes = self._inodes()
        unread = unacknowledged = 0
        with open("/proc/net/tcp", encoding="ascii") as file:
            rows = [line.split() for line in file][1:]
        for row in rows:
            own = row[9] in inodes or row[1].split(":")[1] in self.ports
            if own and row[3] != LISTENING:
                sent, received = row[4].split(":")
                unacknowledged += int(sent, 16)
                unread += int(received, 16)
        return unread, unacknowledged

    def _resident_bytes(self):
        with open("/proc/%d/status" % self.pid, encoding="utf-8") as file:
            return next(int(line.split()[1]) * 1024 for line in file
                        if line.startswith("VmRSS"))

    def measure(self):
        parts = (self._resident_bytes(), *self._socket_bytes())
        if sum(parts) > sum(self.peak):
            self.peak = parts

    async def follow(self):
        while True:
            with contextlib.suppress(OSError):
                self.measure()
            await asyncio.sleep(SAMPLE_S)

    def check(self, form, bound_mib):
        print("%s: peak %d KiB: process %d, unread %d, unacknowledged %d; "
              "bound %d KiB" % (form, sum(self.peak) // 1024,
                                *(part // 1024 for part in self.peak),
                                bound_mib * 1024), flush=True)
        if sum(self.peak) > bound_mib * crowd.MIB:
            raise crowd.Failed("the sum is above the machine's memory")


class Fleet(crowd.Fleet):
    """One gateway that knows the memory of its machine."""

    def settings(self):
        return {"memory_mib": MEMORY_MIB, "link_mbps": 1000}


class Crowd(crowd.Crowd):
    """Clients that go round over the listeners that are named."""

    def __init__(self, fleet, listeners):
        super().__init__(fleet, listeners[0])
        self.ports = [fleet.ports[name] for name in listeners]
        self.opened = 0

    async def connect(self, option, limit):
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, option, CLIENT_BUFFER)
        client.setblocking(False)
        port = self.ports[self.opened % len(self.ports)]
        self.opened += 1
        await asyncio.get_running_loop().sock_connect(client,
                                                      ("127.0.0.1", port))
        reader, writer = await asyncio.open_connection(sock=client,
                                                       limit=limit)
        self.writers.append(writer)
        return reader, writer

    async def open(self):
        _, writer = await self.connect(socket.SO_SNDBUF, 1)
        writer.transport.set_write_buffer_limits(high=CLIENT_BUFFER)
        return writer


class Readers(Crowd):
    """Clients that read fast until they have got so much, and then stop."""

    stop_after = None  # bytes

    async def member(self, parts):
        read = 0
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            reader, writer = await self.connect(socket.SO_RCVBUF,
                                                CLIENT_BUFFER)
            for part in parts:
                writer.write(part)
            while not self.is_over():
                if self.stop_after is not None and read >= self.stop_after:
                    await asyncio.sleep(SAMPLE_S)
                    continue
                data = await reader.read(65536)
                if not data:
                    break
                read += len(data)


class StoppingReaders(Readers):
    stop_after = 4 * crowd.MIB  # one answer


class Stepped(Crowd):
    """Begin one after the other, so that none is refused for load."""

    begun = 0
    step_s = STEP_S

    async def member(self, parts):
        self.begun += 1
        await asyncio.sleep(self.begun * self.step_s)
        await super().member(parts)


class SteppedReaders(Stepped, StoppingReaders):
    pass


CHUNKED = "Transfer-Encoding: chunked\r\n"
CHUNK = b"10000\r\n" + b"x" * 65536 + b"\r\n"
# A chunk of one byte with an extension.
EXTENSION = b"1;" + b"e" * 60000 + b"\r\n \r\n"


def bodies(part, count=300, parts=63):
    for i in range(count):
        yield [crowd.post("/crowd/x", CHUNKED, i)] + [part] * parts


def large_answers(path, count=48, answers=50):
    for i in range(count):
        yield [crowd.post(path, "Content-Length: 0\r\n", i * 100 + k)
               for k in range(answers)]


# form: (when the gateway is paused, kind, listeners, members)
NEVER, FIRST, DURING = range(3)
FORMS = {
    "bodies": (DURING, Crowd, ("callers",), lambda: bodies(CHUNK)),
    "waiting": (FIRST, Crowd, ("callers",), lambda: bodies(CHUNK, 900)),
    "extensions": (NEVER, Crowd, ("callers",),
                   lambda: bodies(EXTENSION, parts=400)),
    "services": (FIRST, Crowd, ("readiness", "metrics", "peers"),
                 lambda: bodies(CHUNK, 900)),
    "answers": (DURING, Readers, ("callers",),
                lambda: large_answers("/crowd/huge")),
    "unread_answers": (NEVER, StoppingReaders, ("callers",),
                       lambda: large_answers("/crowd/huge")),
    "unread_series": (NEVER, SteppedReaders, ("callers",),
                      lambda: large_answers("/crowd/large", 40, 100)),
}


async def pause(pid, when):
    if when == DURING:
        await asyncio.sleep(PAUSE_S)
    if when != NEVER:
        os.kill(pid, signal.SIGSTOP)


async def run_crowd(clients, members, usage, when):
    """Runs a crowd and measures; returns the peak of the descriptors."""
    tasks = [asyncio.ensure_future(usage.follow()),
             asyncio.ensure_future(pause(usage.pid, when))]
    # Nobody is accepted before the pause.
    await asyncio.sleep(SAMPLE_S)
    try:
        descriptors = await clients.run(members)
        usage.measure()
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.kill(usage.pid, signal.SIGCONT)
        for task in tasks:
            task.cancel()
    return descriptors


async def play(form, fleet):
    when, kind, listeners, members = FORMS[form]
    await fleet.start()
    await fleet.expect_calm("before the crowd")
    usage = Usage(fleet.process.pid, fleet.ports.values())
    descriptors = await run_crowd(kind(fleet, listeners), members(), usage,
                                  when)
    await fleet.expect_calm("after the crowd")
    fleet.check_alive("after the crowd")
    print("%d descriptors, bound %d" % (descriptors, crowd.DESCRIPTORS_BOUND))
    usage.check(form, MEMORY_MIB)
    if descriptors > crowd.DESCRIPTORS_BOUND:
        raise crowd.Failed("the descriptors are above their bound")


def allow_clients():
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(CLIENTS_MAX, most), most))


if __name__ == "__main__":
    os.chdir(crowd.ROOT)
    allow_clients()
    sys.exit(asyncio.run(crowd.run_fleet(
        sys.argv[1], Fleet, lambda fleet: play(sys.argv[1], fleet))))
