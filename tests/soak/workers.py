"""Fake workers, which follow their published protocol."""
import asyncio
import hashlib
import json

import http1
import statements

QUEUE_MAX = 4  # queued requests beyond the running ones
HEARTBEAT_S = 1.2  # between two writes of the worker's entry in the store
EVENT_TOKENS = 6  # tokens of one stream event


def response_seal(attempt_id, body):
    return hashlib.sha256(attempt_id.encode() + body).hexdigest()[:16]


def answer(attempt_id, size):
    return (b"answer to " + attempt_id.encode()).ljust(size, b".")


def wishes(attempt):
    """Returns the fields by which a client chooses a worker's behavior."""
    return [(name, "%d" % value) for name, value in (
        ("Work-Ms", attempt.work_ms), ("Event-Count", attempt.event_count),
        ("Event-Ms", attempt.event_ms),
        ("Answer-Bytes", attempt.answer_bytes)) if value]


class Run:
    """The execution of a client's attempt by a worker."""

    def __init__(self, worker, attempt_id, kind, fields, started):
        self.worker = worker
        self.attempt_id = attempt_id
        self.kind = kind
        self.account = fields.get("tenant", "")
        tokens = fields.get("token-count", "0,0").split(",")
        self.prompt_tokens = int(tokens[0])
        self.last_event_id = fields.get("last-event-id")
        self.started = started
        self.ended = None  # when the whole response was written
        self.work_s = int(fields.get("work-ms", 0)) / 1000 or \
            worker.service_time_s
        self.event_count = int(fields.get("event-count", 0))
        self.event_s = int(fields.get("event-ms", 0)) / 1000 or \
            worker.service_time_s / 2
        self.answer_bytes = int(fields.get("answer-bytes", 0))


class Worker:
    """A worker; renew() starts another process under its id."""

    def __init__(self, soak, service, number, slots, service_time_s):
        self.soak = soak
        self.service = service
        self.id = "i-%s-%d" % (service, number)
        self.zone = soak.zone(number)
        self.slots = slots
        self.service_time_s = service_time_s
        self.running = 0
        self.sequence = 0
        self.born = 1
        self.software = 1
        self.renewing = False
        self.state = "ready"
        self.drained_at = None  # when the store accepted the draining state
        self.address = ""  # published in the store
        self.writers = set()
        self.server = None
        self.port = 0
        self.heartbeat = None
        self.statements = statements.Statements(self)

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def register(self, address):
        self.address = address
        self.heartbeat = asyncio.ensure_future(self._heartbeat())

    def _write(self):
        self.sequence += 1
        self.soak.store.write("servers/" + self.id, json.dumps({
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": str(self.software), "batch_slots": self.slots, "state": self.state,
            "cold_remaining_ms": 0, "sequence": self.sequence,
            "born": self.born}).encode())

    async def _heartbeat(self):
        while True:
            self._write()
            await asyncio.sleep(HEARTBEAT_S)

    def drain(self):
        self.state = "draining"
        self._write()
        self.drained_at = self.soak.now()

    def _end(self):
        self.heartbeat.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def crash(self):
        self._end()
        self.soak.store.write("servers/" + self.id, None)

    async def renew(self, down_s, entry_delay_s):
        """Starts again with other software, at first without an entry."""
        self._end()
        await asyncio.sleep(down_s)
        self.software += 1
        self.born += 1
        self.sequence = 0
        self.server = await asyncio.start_server(self._serve, "127.0.0.1",
                                                 self.port)
        await asyncio.sleep(entry_delay_s)
        self.heartbeat = asyncio.ensure_future(self._heartbeat())

    async def _respond(self, writer, run):
        head = [("Attempt-Id", run.attempt_id), ("Connection", "keep-alive"),
                ("Instance-Load", "%d,0,%d" % (self.running, self.slots))]
        head += self.statements.fields()
        if run.kind in ("stream", "fixed"):
            await self._stream(writer, run, head)
            return
        await asyncio.sleep(run.work_s)
        if self.soak.random.random() < self.soak.lost_response_ratio:
            writer.transport.abort()
            return
        body = answer(run.attempt_id, run.answer_bytes)
        writer.write(http1.message(
            "HTTP/1.1 200 OK",
            head + [("Response-Seal", response_seal(run.attempt_id, body))],
            body))
        await writer.drain()

    async def _stream(self, writer, run, head):
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked",
                 "Response-Seal: " + response_seal(run.attempt_id, b"")]
        lines += ["%s: %s" % pair for pair in head]
        await asyncio.sleep(run.work_s)
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for i in range(int(run.last_event_id or 0) + 1,
                       run.event_count + 1):
            writer.write(http1.chunk(
                b"id: %d\ndata: %s %d %d\n\n" % (
                    i, run.attempt_id.encode(), i, self.software)))
            await writer.drain()
            await asyncio.sleep(run.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _handle(self, writer, request_line, fields):
        if request_line.startswith("GET /api/report "):
            writer.write(http1.message(
                "HTTP/1.1 200 OK", [],
                json.dumps({"born": self.born}).encode()))
            await writer.drain()
            return
        attempt_id = fields.get("attempt-id", "")
        kind = request_line.split(" ")[1].split("/")[1]
        attempt = self.soak.attempts.get(attempt_id)
        if attempt is not None:
            self.statements.arrived(attempt)
        if attempt is not None and fields.get("expect-instance") == self.id:
            self.soak.record_arrival(self, attempt)
        stated = self.statements.fields()
        if fields.get("expect-instance") != self.id:
            code, reason = 421, "misdirected"
        elif self.running >= self.slots + QUEUE_MAX or \
                self.statements.refuses():
            code, reason = 503, "full"
            if attempt is not None:
                stated = self.statements.refusal_fields(attempt)
        else:
            self.running += 1
            try:
                run = Run(self, attempt_id, kind, fields, self.soak.now())
                self.soak.record_run(run)
                await self._respond(writer, run)
                run.ended = self.soak.now()
            finally:
                self.running -= 1
            return
        writer.write(http1.message(
            "HTTP/1.1 %d x" % code,
            [("Attempt-Id", attempt_id), ("Not-Executed", reason)] + stated))
        await writer.drain()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request_line, fields = await http1.read_head(reader)
                await http1.read_body(reader, fields)
                await self._handle(writer, request_line, fields)
        except (http1.ConnectionLost, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()
