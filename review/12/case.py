"""A sound part of prompts is quarantined in place of the one that crashes.

Requests with a deadly part come in one short series at a gateway that has
not served the caller's sound requests lately.
"""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))), "11"))
import stand_ins as s  # noqa: E402

KEY = "key-1"
BASE, DEADLY, SHARED = "a1", "dead", "b2"  # parts of prompts
WORKERS = 8
SERIES, SERIES_GAP_S = 4, 0.15
SOUND_GAP_S = 1.5
BEFORE_S, AFTER_S = 33, 36
BAD_GAP_S = 1.0  # between two of the requests that still come


def fields(parts, own):
    chain = ["%s:200" % part for part in parts] + ["%s:600" % own]
    return [("Model", "m"), ("Token-Count", "%d,120" % (
        600 + 200 * len(parts))), ("Prompt-Prefix", ",".join(chain))]


async def ask(world, gateway, kind, parts):
    own = "%08x" % (0x40000000 + world.number)
    return await s.send(world, gateway, "/draft/x", KEY, kind,
                        fields=fields(parts, own), body=own.encode())


async def sound_client(world):
    """A client of the key, whose connections reach one gateway."""
    tasks = []
    try:
        while True:
            tasks.append(asyncio.ensure_future(
                ask(world, world.gateways[0], "sound", [BASE, SHARED])))
            await asyncio.sleep(SOUND_GAP_S)
    except asyncio.CancelledError:
        await asyncio.gather(*tasks, return_exceptions=True)
        raise


def bad(world, i):
    return ask(world, world.gateways[i % len(world.gateways)], "bad",
               [BASE, DEADLY, SHARED])


async def case(world):
    workers = [s.Worker(world, "models", "i-m%d" % i)
               for i in range(WORKERS)]
    if s.TROUBLE:
        for worker in workers:
            worker.is_deadly = lambda fields, path: \
                DEADLY + ":" in fields.get("prompt-prefix", "")
    await world.start(3, workers, s.config(
        1, [s.route("draft", "streaming", "models")],
        [{"name": "t1", "api_keys": [KEY], "prepaid": 50000000}]))
    await asyncio.sleep(1)
    client = asyncio.ensure_future(sound_client(world))
    await asyncio.sleep(BEFORE_S)
    begun = world.now()
    world.note("requests with the part %s come" % DEADLY)
    tasks = []
    for i in range(SERIES):
        tasks.append(asyncio.ensure_future(ask(
            world, world.gateways[1], "bad", [BASE, DEADLY, SHARED])))
        await asyncio.sleep(SERIES_GAP_S)
    end = world.now() + 2 * s.CONTACT_S + AFTER_S
    i = 0
    while world.now() < end:
        await asyncio.sleep(BAD_GAP_S)
        tasks.append(asyncio.ensure_future(bad(world, i)))
        i += 1
    client.cancel()
    await asyncio.gather(client, *tasks, return_exceptions=True)
    return judge(world, begun)


def judge(world, begun):
    crashes = [c[0] for c in world.crashes]
    last = crashes[:5][-1] if crashes else begun
    began = {run[2] for run in world.runs}
    sound = [a for a in world.answers if a.kind == "sound"]
    before = [a for a in sound if a.sent < begun]
    after = [a for a in sound if a.sent > last + 2 * s.CONTACT_S]
    if min(len(before), len(after)) < 20:
        raise s.CannotRun("%d and %d sound requests" % (
            len(before), len(after)))
    shares = [sum(a.id in began for a in part) / len(part)
              for part in (before, after)]
    return shares[1] < shares[0] / 2, \
        "%d crashes; sound requests that began: %d%% of %d before, " \
        "%d%% of %d later than 2 x contact_ms after; answers then %s" % (
            len(crashes), 100 * shares[0], len(before), 100 * shares[1],
            len(after), s.count_status(after))


if __name__ == "__main__":
    s.main(os.path.dirname(os.path.abspath(__file__)), case)
