"""Fault injection: a random plan of faults, which may overlap."""
import asyncio
import random
import signal

import evacuated
import relay
import renewed

KINDS = ("kill", "stop", "pause", "store_link", "worker_link", "worker_crash",
         "worker_drain", "store_down", "store_slow", "store_lost",
         "store_forget", "revoke", "top_up", "kill_all", "answer_lost")
# What an instance that ends or is cut off has just taken is not known to others.
KINDS_WITH_RESTORE = ("stop", "pause", "worker_link", "worker_crash",
                      "worker_drain", "store_slow", "store_forget", "revoke",
                      "top_up", "answer_lost")
COPY_AGE_S = (1.0, 5.0)  # of the copy that a restore brings back
REWRITE_DELAY_S = 1.0  # until the operator has written again what is lost
ENTRY_TTL_S = 2.0  # of workers that do not write themselves again
RECOVERY_MARGIN_S = 0.5  # after a fault, until both ends of connections know
RESTART_DELAY_MAX_S = 1.0  # between an exit and the next start


class Fault:
    """A planned fault; the selector picks the process, link or store mode."""

    def __init__(self, kind, start_s, duration_s, selector, link_mode):
        self.kind = kind
        self.start_s = start_s
        self.duration_s = duration_s
        self.selector = selector
        self.link_mode = link_mode

    def __str__(self):
        return "%.2f s %s for %.2f s pick=%d how=%s" % (
            self.start_s, self.kind, self.duration_s, self.selector,
            self.link_mode)


def plan(seed, seconds, count, all_kinds=KINDS):
    """Returns a random plan in which kinds repeat only after all were used.

    No fault starts in the first second and the last fifth of the run.
    """
    rng = random.Random(seed)
    faults = []
    kinds = []
    for _ in range(count):
        kinds = kinds or rng.sample(all_kinds, len(all_kinds))
        faults.append(Fault(
            kinds.pop(), rng.uniform(1, seconds * 0.8),
            rng.uniform(0.3, 3.0), rng.randrange(1000),
            rng.choice(relay.FAULT_MODES)))
    return sorted(faults, key=lambda fault: fault.start_s)


def plan_restores(seed, seconds, count):
    """Returns a plan of two restores of the store beside other faults."""
    rng = random.Random(seed)
    return plan(seed, seconds, count, KINDS_WITH_RESTORE) + [
        Fault("store_restore", seconds * rng.uniform(begin, begin + 0.2),
              rng.uniform(0.3, 2.0), rng.randrange(1000), "pass")
        for begin in (0.3, 0.55)]


async def _restore_store(soak, fault):
    for each in soak.gateways:
        each.add_fault(soak.now() + fault.duration_s + REWRITE_DELAY_S +
                       RECOVERY_MARGIN_S)
    soak.store.mode = ("refuse", "reset", "silent")[fault.selector % 3]
    await asyncio.sleep(fault.duration_s)
    soak.store.restore(soak.now() - fault.duration_s - random.Random(
        fault.selector).uniform(*COPY_AGE_S))
    soak.store.mode = "serve"
    await asyncio.sleep(REWRITE_DELAY_S)
    soak.configure()
    await asyncio.sleep(ENTRY_TTL_S - REWRITE_DELAY_S)
    alive = {"servers/" + worker.id for worker in soak.workers}
    for key in [key for key in soak.store.items
                if key.startswith("servers/") and key not in alive]:
        soak.store.write(key, None)


async def restart_gateway(soak, gateway, duration_s, signal_number):
    if gateway.restarting:
        return
    gateway.restarting = True
    gateway.add_fault(soak.now() + duration_s + RECOVERY_MARGIN_S +
                      RESTART_DELAY_MAX_S)
    gateway.signal(signal_number)
    process = gateway.process
    if signal_number == signal.SIGTERM:
        try:
            await asyncio.wait_for(process.wait(), soak.args.grace + 1)
        except asyncio.TimeoutError:
            soak.add_violation("STOP", "%s still runs after its grace period"
                               % gateway.name)
            gateway.signal(signal.SIGKILL)
    await process.wait()
    gateway.exits[gateway.incarnation] = soak.now()
    soak.check_exit(gateway, process.returncode, signal_number)
    gateway.add_fault(soak.now() + duration_s + RECOVERY_MARGIN_S +
                      RESTART_DELAY_MAX_S)
    await asyncio.sleep(min(duration_s, RESTART_DELAY_MAX_S))
    await gateway.start()
    gateway.restarting = False


async def _pause_gateway(soak, gateway, fault):
    gateway.add_fault(soak.now() + fault.duration_s + RECOVERY_MARGIN_S)
    gateway.signal(signal.SIGSTOP)
    await asyncio.sleep(fault.duration_s)
    gateway.signal(signal.SIGCONT)


async def _fail_link(soak, link, fault, add_fault):
    add_fault(soak.now() + fault.duration_s + RECOVERY_MARGIN_S)
    link.set_mode(fault.link_mode)
    await asyncio.sleep(fault.duration_s)
    link.set_mode("pass")
    # After a real network failure of this length both ends have closed their
    # connections.
    link.abort()


async def _fail_store(soak, fault):
    store = soak.store
    for each in soak.gateways:
        each.add_fault(soak.now() + fault.duration_s + RECOVERY_MARGIN_S)
    if fault.kind == "store_down":
        store.mode = ("refuse", "reset", "silent")[fault.selector % 3]
    elif fault.kind == "store_slow":
        store.delay_s = 0.3
    elif fault.kind == "store_lost":
        store.lost_write_ratio, store.delayed_write_ratio = 0.4, 0.5
    await asyncio.sleep(fault.duration_s)
    store.mode, store.delay_s = "serve", 0.0
    store.lost_write_ratio = store.delayed_write_ratio = 0.0


async def _lose_responses(soak, fault):
    soak.add_worker_fault(soak.now() + fault.duration_s + RECOVERY_MARGIN_S)
    soak.lost_response_ratio = 0.4
    await asyncio.sleep(fault.duration_s)
    soak.lost_response_ratio = 0.0


async def inject(soak, fault):
    gateway = soak.gateways[fault.selector % len(soak.gateways)]
    if fault.kind == "kill":
        await restart_gateway(soak, gateway, fault.duration_s, signal.SIGKILL)
    elif fault.kind == "kill_all":
        await asyncio.gather(*[
            restart_gateway(soak, each, fault.duration_s, signal.SIGKILL)
            for each in soak.gateways])
    elif fault.kind == "stop":
        await restart_gateway(soak, gateway, fault.duration_s, signal.SIGTERM)
    elif fault.kind == "pause":
        await _pause_gateway(soak, gateway, fault)
    elif fault.kind == "store_link":
        await _fail_link(soak, gateway.store_link, fault, gateway.add_fault)
    elif fault.kind == "worker_link":
        links = list(soak.links.values())
        await _fail_link(soak, links[fault.selector % len(links)], fault,
                         soak.add_worker_fault)
    elif fault.kind == "renew":
        await renewed.renew(soak, fault)
    elif fault.kind == "evacuate":
        await evacuated.perform(soak, fault)
    elif fault.kind == "worker_crash":
        await soak.replace_worker(fault.selector, crash=True)
    elif fault.kind == "worker_drain":
        await soak.replace_worker(fault.selector, crash=False)
    elif fault.kind == "answer_lost":
        await _lose_responses(soak, fault)
    elif fault.kind in ("store_down", "store_slow", "store_lost"):
        await _fail_store(soak, fault)
    elif fault.kind == "store_restore":
        await _restore_store(soak, fault)
    elif fault.kind == "store_forget":
        soak.store.compact()
    elif fault.kind == "revoke":
        soak.revoke()
    elif fault.kind == "top_up":
        soak.top_up()
