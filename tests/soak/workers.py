"""Stand-in of the workers, by their published protocol."""
import asyncio
import hashlib
import json

import http1

QUEUE = 4  # requests waiting beside those that run
BEAT_S = 1.2  # between two writes of an entry
EVENT_TOKENS = 6  # of one event of a stream


def seal_of(attempt, body):
    return hashlib.sha256(attempt.encode() + body).hexdigest()[:16]


class Run:
    """One run of a client's attempt at a worker."""

    def __init__(self, worker, attempt, kind, fields, at):
        self.worker = worker
        self.attempt = attempt
        self.kind = kind
        self.account = fields.get("tenant", "")
        tokens = fields.get("token-count", "0,0").split(",")
        self.prompt = int(tokens[0])
        self.resumed = fields.get("last-event-id")
        self.at = at


class Worker:
    """One incarnation of a worker."""

    def __init__(self, fleet, service, number, slots, work_s):
        self.fleet = fleet
        self.service = service
        self.id = "i-%s-%d" % (service, number)
        self.slots = slots
        self.work_s = work_s
        self.running = 0
        self.sequence = 0
        self.state = "ready"
        self.left_at = None  # when the store took its notice
        self.address = ""  # under which it is listed
        self.writers = set()
        self.server = None
        self.port = 0
        self.beating = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def list(self, address):
        self.address = address
        self.beating = asyncio.ensure_future(self._beat())

    def _write(self):
        self.sequence += 1
        self.fleet.store.write("servers/" + self.id, json.dumps({
            "service": self.service, "address": self.address, "zone": "a",
            "version": "1", "batch_slots": self.slots, "state": self.state,
            "cold_remaining_ms": 0, "sequence": self.sequence,
            "born": 1}).encode())

    async def _beat(self):
        while True:
            self._write()
            await asyncio.sleep(BEAT_S)

    def drain(self):
        self.state = "draining"
        self._write()
        self.left_at = self.fleet.now()

    def crash(self):
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.fleet.store.write("servers/" + self.id, None)

    async def _run(self, writer, run):
        head = [("Attempt-Id", run.attempt), ("Connection", "keep-alive"),
                ("Instance-Load", "%d,0,%d" % (self.running, self.slots))]
        if run.kind in ("stream", "fixed"):
            await self._stream(writer, run, head)
            return
        await asyncio.sleep(self.work_s)
        if self.fleet.random.random() < self.fleet.lost_answers:
            writer.transport.abort()
            return
        body = b"answer to " + run.attempt.encode()
        writer.write(http1.message(
            "HTTP/1.1 200 OK",
            head + [("Response-Seal", seal_of(run.attempt, body))], body))
        await writer.drain()

    async def _stream(self, writer, run, head):
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked",
                 "Response-Seal: " + seal_of(run.attempt, b"")]
        lines += ["%s: %s" % pair for pair in head]
        await asyncio.sleep(self.work_s)
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for i in range(int(run.resumed or 0) + 1, self.fleet.events + 1):
            writer.write(http1.chunk(
                b"id: %d\ndata: %s %d\n\n" % (i, run.attempt.encode(), i)))
            await writer.drain()
            await asyncio.sleep(self.work_s / 2)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _request(self, writer, first, fields):
        attempt = fields.get("attempt-id", "")
        kind = first.split(" ")[1].split("/")[1]
        if fields.get("expect-instance") != self.id:
            code, reason = 421, "misdirected"
        elif self.running >= self.slots + QUEUE:
            code, reason = 503, "full"
        else:
            self.running += 1
            try:
                run = Run(self, attempt, kind, fields, self.fleet.now())
                self.fleet.note_run(run)
                await self._run(writer, run)
            finally:
                self.running -= 1
            return
        writer.write(http1.message(
            "HTTP/1.1 %d x" % code,
            [("Attempt-Id", attempt), ("Not-Executed", reason)]))
        await writer.drain()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, fields = await http1.read_head(reader)
                await http1.read_body(reader, fields)
                await self._request(writer, first, fields)
        except (http1.Closed, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()
