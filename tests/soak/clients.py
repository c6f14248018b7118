"""Clients that keep their connections open, and what they saw."""
import asyncio
import random

import http1
import workers

KINDS = ("safe", "unsafe", "stream", "fixed")  # a fixed stream isn't resumed
WAIT_S = 4.0  # a client's deadline
PAUSE_S = 0.08  # between two requests of a client, on average


class Seen:
    """One attempt of a client and how it ended."""

    def __init__(self, attempt, kind, key, gateway, at):
        self.attempt = attempt
        self.kind = kind
        self.key = key
        self.gateway = gateway
        self.incarnation = gateway.incarnation
        self.at = at
        self.ended = None
        self.status = 0  # 0: the connection ended without an answer
        self.fault = None  # of the answer
        self.events = 0  # delivered
        self.complete = False  # the answer has come to its end


class Client:
    def __init__(self, world, number):
        self.world = world
        self.random = random.Random(world.seed * 1000 + number)
        self.number = number
        self.count = 0
        self.gateway = None
        self.connection = None

    async def run(self):
        while not self.world.over:
            await asyncio.sleep(self.random.expovariate(1 / PAUSE_S))
            await self._one()
        self._drop()

    def _drop(self):
        if self.connection is not None:
            self.connection[1].transport.abort()
        self.connection = None

    async def _connect(self):
        self.gateway = self.random.choice(self.world.gateways)
        self.connection = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", self.gateway.callers_port), 1)

    async def _one(self):
        kind = self.random.choice(KINDS)
        key = self.random.choice(self.world.keys)
        self.count += 1
        attempt = "c%d-%d" % (self.number, self.count)
        try:
            if self.connection is None or self.random.random() < 0.05:
                self._drop()
                await self._connect()
        except (OSError, asyncio.TimeoutError):
            self._drop()
            return
        seen = Seen(attempt, kind, key, self.gateway, self.world.now())
        self.world.seen[attempt] = seen
        try:
            await asyncio.wait_for(self._exchange(seen), WAIT_S + 1.5)
            seen.complete = True
        except asyncio.TimeoutError:
            seen.fault = "late"
            self._drop()
        except (http1.Closed, OSError):
            self._drop()
        seen.ended = self.world.now()
        self.world.note_answer(seen)

    async def _exchange(self, seen):
        reader, writer = self.connection
        fields = [("Host", "soak.example"), ("Attempt-Id", seen.attempt),
                  ("Time-Budget-Ms", "%d" % (WAIT_S * 1000)),
                  ("Authorization", "Bearer " + seen.key)]
        if seen.kind in ("stream", "fixed"):
            fields.append(("Token-Count", "%d,%d" % (
                self.world.prompt, self.world.events * workers.EVENT_TOKENS)))
        writer.write(http1.message("POST /%s/x HTTP/1.1" % seen.kind, fields))
        await writer.drain()
        first, fields = await http1.read_head(reader)
        seen.status = int(first.split(" ")[1])
        if fields.get("attempt-id", seen.attempt) != seen.attempt:
            seen.fault = "answer of another request"
        if seen.status == 200 and seen.kind in ("stream", "fixed"):
            await self._events(seen, reader)
        else:
            body = await http1.read_body(reader, fields)
            self._check(seen, fields, body)
        if fields.get("connection", "").lower() == "close":
            self._drop()

    @staticmethod
    def _check(seen, fields, body):
        seal = fields.get("response-seal")
        if seen.status == 200 and (
                body != b"answer to " + seen.attempt.encode() or
                seal != workers.seal_of(seen.attempt, body)):
            seen.fault = "success that is not the worker's"

    async def _events(self, seen, reader):
        text = b""
        async for data in http1.read_chunks(reader):
            text += data
            while b"\n\n" in text:
                event, _, text = text.partition(b"\n\n")
                seen.events += 1
                if event != b"id: %d\ndata: %s %d" % (
                        seen.events, seen.attempt.encode(), seen.events):
                    seen.fault = "event missing, doubled or changed"
        if seen.events != self.world.events:
            seen.fault = "stream that ends complete without its last event"
