"""Workers restart in place with other software while streams run."""
import asyncio
import os

import harness
import http1

SERVICE = "assistant"
WORKERS = 6
SLOTS = 8
EVENTS = 30
EVENT_S = 0.15
ROUTE = {"name": "doorway", "host": harness.HOST, "path_prefix": "/doorway/",
         "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 500,
         "priority": 0, "service": SERVICE, "max_attempts": 2,
         "public": False, "session_affinity": True, "can_resume": True,
         "gap_aim_ms": 500}
SERVICES = [{"name": SERVICE, "health_path": "/health",
             "max_connections": 360, "protocol": "h1", "tls": False,
             "engine": {"batch_slots": SLOTS, "kv_capacity": 500000,
                        "stride": 6, "models": [{"name": "m"}]}}]
STARTS_S = 0.1  # between two new streams
STREAMS = 180
RESTARTS = (4.0, 9.0, 14.0)  # three of six workers, one at a time
DOWN_S = 0.8


class Engine(harness.Worker):
    """Streams events; each names the software that made it."""

    async def handle(self, writer, line, fields, body):
        attempt = fields["attempt-id"]
        last = int(fields.get("last-event-id", "0"))
        version = self.version
        self.world.record.add("worker %s (software %s) runs %s from event %d"
                              % (self.id, version, attempt, last + 1))
        writer.write(http1.head("HTTP/1.1 200 OK", self.head_fields(attempt) + [
            ("Content-Type", "text/event-stream"),
            ("Response-Seal", "seal-" + attempt),
            ("Transfer-Encoding", "chunked")]))
        for i in range(last + 1, EVENTS + 1):
            writer.write(http1.chunk(
                b"id: %d\ndata: %s\n\n" % (i, version.encode())))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")


async def read_events(reader, events):
    """Adds (id, software) of each event; True if the stream is complete."""
    line, fields = await http1.read_head(reader)
    status = int(line.split(" ")[1])
    if status != 200:
        await http1.read_body(reader, fields)
        return status
    async for data in http1.read_chunks(reader):
        for event in data.decode().split("\n\n"):
            if event:
                parts = dict(p.split(": ") for p in event.split("\n"))
                events.append((int(parts["id"]), parts["data"]))
    return status


async def stream(world, number, events):
    """A client's stream: one attempt, and one more to take it up again."""
    first = "s%03d-1" % number
    for attempt in (first, "s%03d-2" % number):
        gateway = world.gateways[number % len(world.gateways)]
        fields = [("Model", "m"), ("Token-Count", "600,180"),
                  ("Prompt-Prefix", "%x:120,%x:80,%x:400" % (
                      7, 100 + number % 8, 10000 + number)),
                  ("Time-Budget-Ms", "12000")]
        if events:
            fields += [("Last-Event-Id", str(events[-1][0])),
                       ("Resumes", first)]
        try:
            reader, writer = await asyncio.open_connection(
                gateway.host, gateway.front)
        except OSError:
            continue
        try:
            writer.write(harness.request(
                "POST", "/doorway/%d" % number, attempt, fields, b"x" * 200))
            status = await asyncio.wait_for(read_events(reader, events), 12)
            world.record.add("client: %s answered %d, %d events so far" % (
                attempt, status, len(events)))
            if status == 200:
                return
        except (http1.ConnectionLost, OSError, asyncio.TimeoutError):
            world.record.add("client: %s broke off, %d events so far" % (
                attempt, len(events)))
        finally:
            writer.transport.abort()
        await asyncio.sleep(0.1)


async def restart(worker):
    worker.crash()
    await asyncio.sleep(DOWN_S)
    worker.version = "2"
    await worker.start()


async def case(world):
    for n in range(WORKERS):
        worker = Engine(world, "i-engine-%d" % n, SERVICE, "127.0.2.%d" %
                        (n + 1), "ab"[n % 2], SLOTS)
        world.workers.append(worker)
        await worker.start()
    world.put_config([ROUTE], SERVICES, prepaid=100000000)
    await world.start_gateways(["a", "b", "a"])
    await asyncio.sleep(2)
    began = world.record.now()
    streams, tasks, restarts = [], [], list(enumerate(RESTARTS))
    for number in range(STREAMS):
        events = []
        streams.append(events)
        tasks.append(asyncio.ensure_future(stream(world, number, events)))
        await asyncio.sleep(STARTS_S)
        if harness.TROUBLE and restarts and \
                world.record.now() - began >= restarts[0][1]:
            tasks.append(asyncio.ensure_future(
                restart(world.workers[restarts.pop(0)[0]])))
    await asyncio.gather(*tasks)
    joined = 0
    for number, events in enumerate(streams):
        softwares = []
        for _, software in events:
            if not softwares or softwares[-1] != software:
                softwares.append(software)
        if len(set(softwares)) > 1:
            joined += 1
            world.record.add("stream s%03d holds events of software %s" % (
                number, " then ".join(softwares)))
    whole = sum(len(events) == EVENTS for events in streams)
    world.record.add("%d streams, %d whole, %d joined from two softwares; "
                     "the rule allows 2" % (len(streams), whole, joined))
    print("ORDER: %d of %d streams hold events of two software versions "
          "(at most 2 are allowed); %d whole" % (joined, len(streams), whole))
    return joined > 2


harness.run_case(os.path.dirname(os.path.abspath(__file__)), case)
