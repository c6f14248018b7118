"""Evacuation of a zone by an operator, beside other faults.

The workers are in two zones.  From a bound after the store has accepted the
key of a zone, no request of a gateway that reaches the store may arrive at a
worker of the zone.
"""
import asyncio
import random

import faults

ZONES = ("a", "b")
KINDS = ("kill", "stop", "pause", "store_link", "store_down", "store_slow",
         "store_forget", "worker_link")
EFFECT_MAX_S = 5.0  # from the store's answer to the operator
VALUES = (b"{}", b"", b"not JSON")  # only the key's presence counts
WAIT_S = 0.05  # of an operator whom the store does not answer


def plan(seed, seconds, count):
    """Returns a plan in which one zone is evacuated for most of the run."""
    rng = random.Random("evacuated %d" % seed)
    start_s = seconds * rng.uniform(0.05, 0.15)
    return faults.plan(seed, seconds, count, KINDS) + [
        faults.Fault("evacuate", start_s, seconds * rng.uniform(0.6, 0.7),
                     rng.randrange(1000), "pass")]


def zone(number):
    """Returns the zone of a worker by its number."""
    return ZONES[number % len(ZONES)]


async def _write(soak, key, value):
    while soak.store.mode != "serve":
        await asyncio.sleep(WAIT_S)
    soak.store.write(key, value)


async def perform(soak, fault):
    evacuated = ZONES[fault.selector % len(ZONES)]
    key = "op/evacuate/" + evacuated
    await _write(soak, key, VALUES[fault.selector % len(VALUES)])
    soak.evacuated_at[evacuated] = soak.now()
    await asyncio.sleep(fault.duration_s)
    # From now on, requests may arrive.
    del soak.evacuated_at[evacuated]
    await _write(soak, key, None)
    soak.returned_at[evacuated] = soak.now()


def arrived(soak, worker, attempt):
    """Checks a request that arrives at a worker and is not misdirected."""
    now = soak.now()
    since = soak.evacuated_at.get(worker.zone)
    if since is None or now - since < EFFECT_MAX_S or \
            not attempt.gateway.faults.is_clear(now - EFFECT_MAX_S, now):
        return
    soak.add_violation("EVACUATED", "%s of %s reaches %s %.1f s after the "
                       "evacuation of its zone" % (
                           attempt.id, attempt.gateway.name, worker.id,
                           now - since))


def check(soak):
    """Checks that the zones that were returned are used again."""
    for returned, at in soak.returned_at.items():
        if not any(run.started > at for runs in soak.runs.values()
                   for run in runs if run.worker.zone == returned):
            soak.add_violation("RETURNED", "zone %s gets no requests after "
                               "the end of its evacuation" % returned)
