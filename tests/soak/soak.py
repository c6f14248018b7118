#!/usr/bin/env python3
"""Randomized soak of the gateways: real processes, faults from outside.

The store and the workers are stand-ins; the promises are checked from what
clients and workers see.  A seed fixes the plan of faults and what clients
send; the times at which processes run are the machine's.
"""
import argparse
import asyncio
import collections
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time

import clients
import faults
import gateways
import relay
import spans
import workers
import platform_store

SERVICES = {"model": (5, 6, 0.03), "orders": (3, 4, 0.02)}
CONTACT_S = 4.0  # without a fault for so long, a gateway is in touch
CONFIG_S = 3.0  # in which a gateway in touch follows the configuration
DRAIN_S = 3.0  # in which a leaving worker gets its last request
LATE_S = 0.5  # an answer comes at the client's deadline at the latest
READ_S = 0.05  # in which a gateway reads a request on loopback
NOTICED_S = 1.0  # in which the end of a connection is noticed
ACCOUNTS = {"small": 40000, "large": 2000000}  # prepaid tokens
TOP_UP = 10000


class World:
    def __init__(self, args, seed, folder):
        self.seed = seed
        self.args = args
        self.folder = folder
        self.binary = args.binary
        self.log_level = args.log_level
        self.begin = time.monotonic()
        self.random = random.Random(seed)
        self.store = platform_store.Store(seed)
        self.gateways = []
        self.workers = []
        self.links = {}  # worker -> its relay
        self.numbers = collections.Counter()
        self.events = 20  # of a stream
        self.prompt = 200  # tokens of a stream's prompt
        self.keys = ["key-small", "key-large", "key-revoked"]
        self.prepaid = dict(ACCOUNTS)
        self.version = 0
        self.revoked_at = None
        self.refused_revoked = set()  # (gateway, incarnation)
        self.lost_answers = 0.0  # share of runs without an answer
        self.over = False
        self.seen = {}
        self.runs = collections.defaultdict(list)
        self.violations = []
        self.worker_faults = spans.Spans()

    def now(self):
        return time.monotonic() - self.begin

    def disturb_workers(self, until):
        self.worker_faults.add(self.now(), until)

    def violation(self, rule, text):
        self.violations.append((round(self.now(), 3), rule, text))

    # What the operator does.

    def configure(self):
        self.version += 1
        tenants = [
            {"name": "small", "api_keys": ["key-small"],
             "prepaid": self.prepaid["small"]},
            {"name": "large", "api_keys": ["key-large"] + (
                [] if self.revoked_at is not None else ["key-revoked"]),
             "prepaid": self.prepaid["large"]}]
        routes = [
            {"name": kind, "host": "soak.example",
             "path_prefix": "/%s/" % kind,
             "kind": {"safe": "safe", "unsafe": "unsafe"}.get(
                 kind, "streaming"),
             "service": "orders" if kind in ("safe", "unsafe") else "model",
             "timeout_ms": 6000, "target_latency_ms": 500,
             "gap_aim_ms": 500, "priority": 1, "max_attempts": 3,
             "can_resume": kind == "stream"} for kind in clients.KINDS]
        services = [{"name": name, "max_connections": 60}
                    for name in SERVICES]
        services[0]["engine"] = {"batch_slots": 6, "kv_capacity": 500000,
                                 "stride": workers.EVENT_TOKENS}
        self.store.write("op/config", json.dumps({
            "version": self.version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": tenants}).encode())

    def revoke(self):
        if self.revoked_at is None:
            self.revoked_at = self.now()
            self.configure()

    def top_up(self):
        self.prepaid["small"] += TOP_UP
        self.configure()

    # What the workers do.

    async def add_worker(self, service):
        self.numbers[service] += 1
        slots, work_s = SERVICES[service][1:]
        worker = workers.Worker(self, service, self.numbers[service], slots,
                                work_s)
        await worker.start()
        link = relay.Relay("127.0.0.1", worker.port)
        await link.start()
        self.links[worker] = link
        worker.list("127.0.0.1:%d" % link.port)
        self.workers.append(worker)

    async def replace_worker(self, pick, crash):
        ready = [w for w in self.workers if w.state == "ready"]
        worker = ready[pick % len(ready)]
        await self.add_worker(worker.service)
        if not crash:
            # It goes on serving what reaches it, as a leaving worker does.
            worker.drain()
            return
        self.disturb_workers(self.now() + NOTICED_S)
        self.workers.remove(worker)
        worker.crash()
        self.links.pop(worker).close()

    def note_run(self, run):
        earlier = self.runs[run.attempt]
        earlier.append(run)
        seen = self.seen.get(run.attempt)
        if seen is None:
            self.violation("UNASKED", "%s: nobody sent it" % run.attempt)
            return
        if run.kind in ("unsafe", "fixed") and len(earlier) > 1:
            self.violation("TWICE", "%s ran %d times" % (run.attempt,
                                                         len(earlier)))
        if seen.ended is not None and seen.status in (429, 503):
            self.violation("REFUSED", "%s runs after %d" % (run.attempt,
                                                            seen.status))
        left = run.worker.left_at
        if left is not None and run.at > left + DRAIN_S and \
                seen.gateway.faults.none(run.at - CONTACT_S, run.at):
            self.violation("DRAIN", "%s reaches %s %.1f s after its notice" % (
                run.attempt, run.worker.id, run.at - left))

    # What the clients see.

    def note_answer(self, seen):
        runs = self.runs.get(seen.attempt, [])
        calm = seen.gateway.faults.none(seen.at, seen.ended) and \
            self.worker_faults.none(seen.at, seen.ended) and \
            seen.incarnation == seen.gateway.incarnation
        if seen.fault is not None and (seen.fault != "late" or calm):
            self.violation("ANSWER", "%s %s: %s" % (seen.attempt, seen.kind,
                                                    seen.fault))
        if seen.ended - seen.at > clients.WAIT_S + LATE_S and calm and \
                seen.fault is None and seen.events == 0:
            self.violation("LATE", "%s answered after %.2f s" % (
                seen.attempt, seen.ended - seen.at))
        if seen.status in (429, 503) and runs and \
                seen.kind in ("unsafe", "fixed"):
            self.violation("REFUSED", "%s has run, and is refused with %d" % (
                seen.attempt, seen.status))
        if not seen.complete and seen.fault is None and (
                self._is_calm(seen) or self._is_planned_stop(seen)):
            self.violation("LOST", "%s %s ended without a whole answer" % (
                seen.attempt, seen.kind))
        if seen.key == "key-revoked":
            self._check_revoked(seen)

    def _is_calm(self, seen):
        return seen.incarnation == seen.gateway.incarnation and \
            seen.gateway.faults.none(seen.at - NOTICED_S, seen.ended) and \
            self.worker_faults.none(seen.at - NOTICED_S, seen.ended)

    def _is_planned_stop(self, seen):
        """Only the stop of its gateway can have ended it, and it was read."""
        stop = seen.gateway.stopping_since
        return stop is not None and seen.at < stop - READ_S and \
            seen.incarnation == seen.gateway.incarnation and \
            seen.gateway.faults.none(seen.at - NOTICED_S, stop - 0.01) and \
            self.worker_faults.none(seen.at - NOTICED_S, seen.ended)

    def _check_revoked(self, seen):
        gateway = (seen.gateway, seen.incarnation)
        if seen.status == 401:
            self.refused_revoked.add((gateway, seen.at))
        elif seen.status == 200:
            if any(known == gateway and at < seen.at
                   for known, at in self.refused_revoked):
                self.violation("REGRESS", "%s succeeds after a 401" %
                               seen.attempt)
            if self.revoked_at is not None and \
                    seen.at > self.revoked_at + CONFIG_S and \
                    seen.gateway.faults.none(seen.at - CONTACT_S, seen.ended):
                self.violation("CONFIG", "%s succeeds with a key that was "
                               "revoked %.1f s before" % (
                                   seen.attempt, seen.at - self.revoked_at))

    def note_exit(self, gateway, code, number):
        if code not in (0, -number):
            self.violation("EXIT", "%s ended with %d" % (gateway.name, code))

    def check_tokens(self):
        """Prompts count once for each request, events when delivered."""
        spent = collections.Counter()
        for attempt, runs in self.runs.items():
            if runs[0].prompt == 0 or attempt not in self.seen:
                continue
            spent[runs[0].account] += runs[0].prompt + \
                self.seen[attempt].events * workers.EVENT_TOKENS
        for account, tokens in spent.items():
            if tokens > self.prepaid[account]:
                self.violation("BUDGET", "%s spent %d of %d" % (
                    account, tokens, self.prepaid[account]))
        return spent

    # The run.

    async def set_up(self):
        await self.store.start()
        self.configure()
        for service, (count, _, _) in SERVICES.items():
            for _ in range(count):
                await self.add_worker(service)
        ports = gateways.free_ports(self.args.gateways)
        seeds = ["127.0.0.1:%d" % port for port in ports[:3]]
        for i, port in enumerate(ports):
            self.gateways.append(gateways.Gateway(self, i, port, seeds))
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            if not await gateway.wait_ready():
                self.violation("READY", "%s is not ready after its start" %
                               gateway.name)

    async def _play(self, plan):
        tasks = []
        for fault in plan:
            await asyncio.sleep(max(fault.at - (self.now() - self.started), 0))
            tasks.append(asyncio.ensure_future(faults.play(self, fault)))
        await asyncio.gather(*tasks)

    async def run(self, plan):
        await self.set_up()
        self.started = self.now()
        tasks = [asyncio.ensure_future(clients.Client(self, i).run())
                 for i in range(self.args.clients)]
        playing = asyncio.ensure_future(self._play(plan))
        await asyncio.sleep(self.args.seconds)
        await playing
        for gateway in self.gateways:
            if gateway.process.returncode is not None:
                self.violation("EXIT", "%s ended by itself with %d" % (
                    gateway.name, gateway.process.returncode))
            elif not await gateway.wait_ready():
                self.violation("READY", "%s is not ready at the end" %
                               gateway.name)
        await self._check_recovery()
        self.over = True
        await asyncio.gather(*tasks)
        await self._tear_down()

    async def _check_recovery(self):
        """After some calm seconds most requests are served again."""
        await asyncio.sleep(CONTACT_S)
        begin = self.now()
        await asyncio.sleep(2)
        done = [s for s in self.seen.values() if s.at > begin and
                s.ended is not None and s.key == "key-large"]
        good = sum(s.status == 200 and s.fault is None for s in done)
        if not done or good < len(done) * 0.75:
            self.violation("RECOVER", "%d of %d requests are served at the end"
                           % (good, len(done)))

    async def _tear_down(self):
        for gateway in self.gateways:
            gateway.stopping_since = gateway.stopping_since or self.now()
            gateway.signal(signal.SIGTERM)
        for gateway in self.gateways:
            try:
                await asyncio.wait_for(gateway.process.wait(),
                                       gateways.GRACE_S + 1)
            except asyncio.TimeoutError:
                self.violation("STOP", "%s runs after its grace period" %
                               gateway.name)
            await gateway.end()
            self.note_exit(gateway, gateway.process.returncode,
                           signal.SIGKILL)


def summary(world, spent):
    statuses = collections.Counter(s.status for s in world.seen.values())
    return {"seed": world.seed, "requests": len(world.seen),
            "statuses": dict(sorted(statuses.items())),
            "runs": sum(len(runs) for runs in world.runs.values()),
            "tokens": dict(spent), "store_calls": world.store.calls,
            "violations": len(world.violations)}


def ignore_cancelled(loop, context):
    """Connections of the stand-ins that are open at the end of a run."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


async def one(args, seed):
    asyncio.get_running_loop().set_exception_handler(ignore_cancelled)
    folder = tempfile.mkdtemp(prefix="soak-%d-" % seed)
    world = World(args, seed, folder)
    plan = faults.draw(seed, args.seconds, args.faults)
    try:
        await world.run(plan)
    finally:
        for gateway in world.gateways:
            await gateway.end()
    spent = world.check_tokens()
    print(json.dumps(summary(world, spent)), flush=True)
    if not world.violations:
        shutil.rmtree(folder)
        return True
    for fault in plan:
        print("  plan: %s" % fault)
    for at, rule, text in world.violations[:20]:
        print("  %s at %.3f s: %s" % (rule, at - world.started, text))
    print("  logs: %s" % folder, flush=True)
    return False


def seeds_of(text):
    for part in text.split(","):
        first, _, last = part.partition("-")
        yield from range(int(first), int(last or first) + 1)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary", default="build/tanagertrestle")
    parser.add_argument("--seeds", default="1", help="as 1,5-9")
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--clients", type=int, default=24)
    parser.add_argument("--faults", type=int, default=8)
    parser.add_argument("--log-level", default="info")
    args = parser.parse_args()
    args.binary = os.path.abspath(args.binary)
    failed = [seed for seed in seeds_of(args.seeds)
              if not asyncio.run(one(args, seed))]
    if failed:
        print("soak: failed seeds: %s" % " ".join(map(str, failed)))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
