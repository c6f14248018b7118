"""Faults of a run: drawn from the seed, in series and overlapping."""
import asyncio
import random
import signal

import gateways
import relay

KINDS = ("kill", "stop", "pause", "store_link", "worker_link", "worker_crash",
         "worker_drain", "store_down", "store_slow", "store_lost",
         "store_forget", "revoke", "top_up", "kill_all", "answer_lost")
MARGIN_S = 0.5  # after a fault, until connections have noticed
RESTART_S = 1.0  # between an end and the next start, at the most


class Fault:
    def __init__(self, kind, at, for_s, pick, how):
        self.kind = kind
        self.at = at
        self.for_s = for_s
        self.pick = pick
        self.how = how

    def __str__(self):
        return "%.2f s %s for %.2f s pick=%d how=%s" % (
            self.at, self.kind, self.for_s, self.pick, self.how)


def draw(seed, seconds, count):
    """Each kind comes once before any comes twice.

    The first second and the last fifth are left calm.
    """
    rand = random.Random(seed)
    faults = []
    kinds = []
    for _ in range(count):
        kinds = kinds or rand.sample(KINDS, len(KINDS))
        faults.append(Fault(
            kinds.pop(), rand.uniform(1, seconds * 0.8),
            rand.uniform(0.3, 3.0), rand.randrange(1000),
            rand.choice(relay.FAULTS)))
    return sorted(faults, key=lambda fault: fault.at)


async def _restart(world, gateway, fault, number):
    if gateway.restarting:
        return
    gateway.restarting = True
    gateway.disturb(world.now() + fault.for_s + MARGIN_S + RESTART_S)
    if number == signal.SIGTERM:
        gateway.stopping_since = world.now()
    gateway.signal(number)
    process = gateway.process
    if number == signal.SIGTERM:
        try:
            await asyncio.wait_for(process.wait(), gateways.GRACE_S + 1)
        except asyncio.TimeoutError:
            world.violation("STOP", "%s runs after its grace period"
                            % gateway.name)
            gateway.signal(signal.SIGKILL)
    await process.wait()
    world.note_exit(gateway, process.returncode, number)
    gateway.disturb(world.now() + fault.for_s + MARGIN_S + RESTART_S)
    await asyncio.sleep(min(fault.for_s, RESTART_S))
    await gateway.start()
    gateway.restarting = False


async def _pause(world, gateway, fault):
    gateway.disturb(world.now() + fault.for_s + MARGIN_S)
    gateway.signal(signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    gateway.signal(signal.SIGCONT)


async def _link(world, link, fault, disturbed):
    disturbed(world.now() + fault.for_s + MARGIN_S)
    link.set(fault.how)
    await asyncio.sleep(fault.for_s)
    link.set("pass")
    # A real cut of this length leaves connections that both ends give up.
    link.abort()


async def _store(world, fault):
    store = world.store
    for each in world.gateways:
        each.disturb(world.now() + fault.for_s + MARGIN_S)
    if fault.kind == "store_down":
        store.mode = ("refuse", "reset", "silent")[fault.pick % 3]
    elif fault.kind == "store_slow":
        store.delay_s = 0.3
    elif fault.kind == "store_lost":
        store.lost_share, store.late_share = 0.4, 0.5
    await asyncio.sleep(fault.for_s)
    store.mode, store.delay_s = "serve", 0.0
    store.lost_share = store.late_share = 0.0


async def _lose_answers(world, fault):
    world.disturb_workers(world.now() + fault.for_s + MARGIN_S)
    world.lost_answers = 0.4
    await asyncio.sleep(fault.for_s)
    world.lost_answers = 0.0


async def play(world, fault):
    gateway = world.gateways[fault.pick % len(world.gateways)]
    if fault.kind == "kill":
        await _restart(world, gateway, fault, signal.SIGKILL)
    elif fault.kind == "kill_all":
        await asyncio.gather(*[
            _restart(world, each, fault, signal.SIGKILL)
            for each in world.gateways])
    elif fault.kind == "stop":
        await _restart(world, gateway, fault, signal.SIGTERM)
    elif fault.kind == "pause":
        await _pause(world, gateway, fault)
    elif fault.kind == "store_link":
        await _link(world, gateway.store, fault, gateway.disturb)
    elif fault.kind == "worker_link":
        links = list(world.links.values())
        await _link(world, links[fault.pick % len(links)], fault,
                    world.disturb_workers)
    elif fault.kind == "worker_crash":
        await world.replace_worker(fault.pick, crash=True)
    elif fault.kind == "worker_drain":
        await world.replace_worker(fault.pick, crash=False)
    elif fault.kind == "answer_lost":
        await _lose_answers(world, fault)
    elif fault.kind in ("store_down", "store_slow", "store_lost"):
        await _store(world, fault)
    elif fault.kind == "store_forget":
        world.store.forget()
    elif fault.kind == "revoke":
        world.revoke()
    elif fault.kind == "top_up":
        world.top_up()
