#!/usr/bin/env python3
"""Randomized soak test of the gateways: real processes under external faults.

The store and the workers are fakes; the guarantees are checked by what
clients and workers observe.  A seed determines the plan of faults and the
requests of the clients, but not the scheduling of the processes.  A seed with
the prefix "planned-" plays planned work only, one with the prefix "stated-"
also workers that state what they want, one with the prefix "restored-" a
store that comes back from a copy, twice, one with the prefix "renewed-"
workers that start again under their ids with other software, and one with the
prefix "evacuated-" the evacuation of a zone.
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
import evacuated
import faults
import gateways
import planned
import relay
import renewed
import spans
import statements
import workers
import platform_store

# service -> (workers, batch slots, service time in seconds)
SERVICES = {"model": (5, 6, 0.03), "orders": (3, 4, 0.02)}
CONTACT_S = 4.0  # without faults, until a gateway is up to date
CONFIG_DELAY_MAX_S = 3.0  # until an up-to-date gateway applies a change
DRAIN_DELAY_MAX_S = 3.0  # until a draining worker gets no more requests
LATENESS_MAX_S = 0.5  # of a response after the client's deadline
REQUEST_READ_MAX_S = 0.05  # until a gateway has read a request on loopback
DISCONNECT_DETECT_S = 1.0  # until the end of a connection is detected
PREPAID_TOKENS = {"small": 40000, "large": 2000000}
TOP_UP_TOKENS = 10000
PLANNED_PREFIX = "planned-"
STATED_PREFIX = "stated-"
RESTORED_PREFIX = "restored-"
RENEWED_PREFIX = "renewed-"
EVACUATED_PREFIX = "evacuated-"
COPY_INTERVAL_S = 0.5  # between two copies of the store
STEPS_STATED = 6  # statements of a run


class Soak:
    """One run: the processes, the fakes and what clients and workers saw."""

    def __init__(self, args, seed, folder, prefix):
        self.seed = seed
        self.args = args
        self.prefix = prefix
        self.is_planned = prefix == PLANNED_PREFIX
        self.evacuated_at = {}  # zone -> time, while it is evacuated
        self.returned_at = {}  # zone -> time
        self.joined = []  # take-ups of streams with events of two versions
        # (time, limits) of the configurations
        self.limits = [(0, {"idle_timeout_ms": 15000, "timeout_ms": 6000,
                            "extra_routes": 0, "safe_service": "orders"})]
        self.lags = []  # (begin, end, length) of delays of this process
        self.cut = []  # attempts without a response under planned work
        self.folder = folder
        self.binary = args.binary
        self.log_level = args.log_level
        self.epoch = time.monotonic()
        self.random = random.Random(seed)
        self.store = platform_store.Store(seed)
        self.gateways = []
        self.workers = []
        self.links = {}  # worker -> relay
        self.worker_counts = collections.Counter()
        self.stream_events = 20
        self.prompt_tokens = 200  # of a stream request
        self.keys = ["key-small", "key-large", "key-revoked"]
        self.prepaid = dict(PREPAID_TOKENS)
        self.config_version = 0
        self.revoked_at = None
        self.refused_revoked = set()  # ((gateway, incarnation), time)
        self.lost_response_ratio = 0.0  # of runs, ended without a response
        self.stopping = False
        self.attempts = {}
        self.runs = collections.defaultdict(list)
        self.violations = []
        self.worker_faults = spans.Spans()

    def now(self):
        return time.monotonic() - self.epoch

    def zone(self, number):
        """Returns the zone of the worker with this number of its service."""
        return evacuated.zone(number) if self.prefix == EVACUATED_PREFIX \
            else "a"

    def add_worker_fault(self, until):
        self.worker_faults.add(self.now(), until)

    def add_violation(self, rule, text):
        self.violations.append((round(self.now(), 3), rule, text))

    # Actions of the operator.

    def configure(self):
        self.config_version += 1
        limits = self.limits[-1][1]
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
             "service": {"safe": limits["safe_service"],
                         "unsafe": "orders"}.get(kind, "model"),
             "timeout_ms": limits["timeout_ms"], "target_latency_ms": 500,
             "gap_aim_ms": 500, "priority": 1, "max_attempts": 3,
             "can_resume": kind == "stream"} for kind in clients.KINDS +
            tuple("extra%d" % i for i in range(limits["extra_routes"]))]
        services = [{"name": name, "max_connections": 60}
                    for name in SERVICES]
        services[0]["engine"] = {"batch_slots": 6, "kv_capacity": 500000,
                                 "stride": workers.EVENT_TOKENS}
        self.store.write("op/config", json.dumps({
            "version": self.config_version, "routes": routes,
            "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                       "header_timeout_ms": 3000,
                       "idle_timeout_ms": limits["idle_timeout_ms"]},
            "tenants": tenants}).encode())

    def revoke(self):
        if self.revoked_at is None:
            self.revoked_at = self.now()
            self.configure()

    def top_up(self):
        self.prepaid["small"] += TOP_UP_TOKENS
        self.configure()

    # The workers and the checks of their runs.

    async def add_worker(self, service):
        self.worker_counts[service] += 1
        slots, service_time_s = SERVICES[service][1:]
        worker = workers.Worker(self, service, self.worker_counts[service],
                                slots, service_time_s)
        await worker.start()
        link = relay.Relay("127.0.0.1", worker.port)
        await link.start()
        self.links[worker] = link
        worker.register("127.0.0.1:%d" % link.port)
        self.workers.append(worker)

    async def replace_worker(self, selector, crash):
        ready = [w for w in self.workers if w.state == "ready"]
        worker = ready[selector % len(ready)]
        await self.add_worker(worker.service)
        if not crash:
            # A draining worker still serves the requests that it receives.
            worker.drain()
            return
        await self.remove_worker(worker)

    async def remove_worker(self, worker):
        self.add_worker_fault(self.now() + DISCONNECT_DETECT_S)
        self.workers.remove(worker)
        worker.crash()
        self.links.pop(worker).close()

    def record_arrival(self, worker, attempt):
        evacuated.arrived(self, worker, attempt)

    def record_statement(self, attempt, fields):
        runs = self.runs.get(attempt.id, [])
        if runs:
            runs[-1].worker.statements.answered(attempt, fields)

    def record_run(self, run):
        earlier = self.runs[run.attempt_id]
        earlier.append(run)
        attempt = self.attempts.get(run.attempt_id)
        if attempt is None:
            self.add_violation("UNASKED", "%s was not sent by a client" %
                               run.attempt_id)
            return
        if run.kind in ("unsafe", "fixed") and len(earlier) > 1:
            self.add_violation("TWICE", "%s ran %d times" % (
                run.attempt_id, len(earlier)))
        if attempt.ended is not None and attempt.status in (429, 503):
            self.add_violation("REFUSED", "%s runs after %d" % (
                run.attempt_id, attempt.status))
        drained_at = run.worker.drained_at
        if drained_at is not None and \
                run.started > drained_at + DRAIN_DELAY_MAX_S and \
                attempt.gateway.faults.is_clear(run.started - CONTACT_S,
                                                run.started):
            self.add_violation(
                "DRAIN", "%s reaches %s %.1f s after its drain" % (
                    run.attempt_id, run.worker.id, run.started - drained_at))

    # Checks of what the clients observe.

    def record_response(self, attempt):
        runs = self.runs.get(attempt.id, [])
        calm = attempt.gateway.faults.is_clear(attempt.started,
                                               attempt.ended) and \
            self.worker_faults.is_clear(attempt.started, attempt.ended) and \
            attempt.incarnation == attempt.gateway.incarnation
        if attempt.error is not None and (attempt.error != "late" or calm):
            self.add_violation("ANSWER", "%s %s: %s" % (
                attempt.id, attempt.kind, attempt.error))
        if attempt.ended - attempt.started > \
                attempt.deadline_s + attempt.read_s + LATENESS_MAX_S and \
                calm and \
                attempt.error is None and attempt.events == 0:
            self.add_violation("LATE", "%s answered after %.2f s" % (
                attempt.id, attempt.ended - attempt.started))
        if attempt.status in (429, 503) and runs and \
                attempt.kind in ("unsafe", "fixed"):
            self.add_violation(
                "REFUSED", "%s has run but is refused with %d" % (
                    attempt.id, attempt.status))
        if attempt.complete or attempt.error is not None:
            pass
        elif self.is_planned:
            self.cut.append(attempt)
        elif self._is_calm(attempt) or self._is_planned_stop(attempt):
            self.add_violation(
                "LOST", "%s %s ended without a complete response" % (
                    attempt.id, attempt.kind))
        if attempt.key == "key-revoked":
            self._check_revoked(attempt)

    def _is_calm(self, attempt):
        return attempt.incarnation == attempt.gateway.incarnation and \
            attempt.gateway.faults.is_clear(
                attempt.started - DISCONNECT_DETECT_S, attempt.ended) and \
            self.worker_faults.is_clear(
                attempt.started - DISCONNECT_DETECT_S, attempt.ended)

    def _is_planned_stop(self, attempt):
        """Returns whether a planned stop cut an attempt that was already read.

        No other fault can have ended the attempt.
        """
        stop = attempt.gateway.stopping_since
        return stop is not None and \
            attempt.started < stop - REQUEST_READ_MAX_S and \
            attempt.incarnation == attempt.gateway.incarnation and \
            attempt.gateway.faults.is_clear(
                attempt.started - DISCONNECT_DETECT_S, stop - 0.01) and \
            self.worker_faults.is_clear(
                attempt.started - DISCONNECT_DETECT_S, attempt.ended)

    def _check_revoked(self, attempt):
        gateway = (attempt.gateway, attempt.incarnation)
        if attempt.status == 401:
            self.refused_revoked.add((gateway, attempt.started))
        elif attempt.status == 200:
            if any(known == gateway and at < attempt.started
                   for known, at in self.refused_revoked):
                self.add_violation("REGRESS", "%s succeeds after a 401" %
                                   attempt.id)
            if self.revoked_at is not None and \
                    attempt.started > \
                    self.revoked_at + CONFIG_DELAY_MAX_S and \
                    attempt.gateway.faults.is_clear(
                        attempt.started - CONTACT_S, attempt.ended):
                self.add_violation(
                    "CONFIG", "%s succeeds with a key that was revoked "
                    "%.1f s before" % (
                        attempt.id, attempt.started - self.revoked_at))

    def check_exit(self, gateway, code, signal_number):
        if code not in (0, -signal_number):
            self.add_violation("EXIT", "%s exited with %d" % (
                gateway.name, code))

    def check_tokens(self):
        """Compares the spent tokens with the prepaid tokens of each account.

        A prompt counts once for each request, events count when delivered.
        """
        spent = collections.Counter()
        for attempt_id, runs in self.runs.items():
            if runs[0].prompt_tokens == 0 or attempt_id not in self.attempts:
                continue
            spent[runs[0].account] += runs[0].prompt_tokens + \
                self.attempts[attempt_id].events * workers.EVENT_TOKENS
        for account, tokens in spent.items():
            if tokens > self.prepaid[account]:
                self.add_violation("BUDGET", "%s spent %d of %d" % (
                    account, tokens, self.prepaid[account]))
        return spent

    # The course of a run.

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
                self.add_violation("READY", "%s is not ready after its start" %
                                   gateway.name)

    async def _run_plan(self, plan):
        tasks = []
        for fault in plan:
            await asyncio.sleep(
                max(fault.start_s - (self.now() - self.started), 0))
            if isinstance(fault, statements.Step):
                action = statements.perform(self, fault)
            elif self.is_planned:
                action = planned.perform(self, fault)
            else:
                action = faults.inject(self, fault)
            tasks.append(asyncio.ensure_future(action))
        await asyncio.gather(*tasks)

    async def _copy_store(self):
        while True:
            self.store.make_copy(self.now())
            await asyncio.sleep(COPY_INTERVAL_S)

    async def run(self, plan):
        await self.set_up()
        self.started = self.now()
        tasks = [asyncio.ensure_future(client.run())
                 for client in self._clients()]
        injection = asyncio.ensure_future(self._run_plan(plan))
        lag_record = asyncio.ensure_future(planned.record_lag(self))
        copies = asyncio.ensure_future(self._copy_store())
        await asyncio.sleep(self.args.seconds)
        await injection
        for gateway in self.gateways:
            if gateway.process.returncode is not None:
                self.add_violation("EXIT", "%s exited unexpectedly with %d" % (
                    gateway.name, gateway.process.returncode))
            elif not await gateway.wait_ready():
                self.add_violation("READY", "%s is not ready at the end" %
                                   gateway.name)
        # Planned work may leave more requests than the workers can serve.
        if not self.is_planned:
            await self._check_recovery()
        self.stopping = True
        await asyncio.gather(*tasks)
        lag_record.cancel()
        copies.cancel()
        await self._tear_down()

    def _clients(self):
        count = self.args.clients
        if self.prefix == RENEWED_PREFIX:
            return [renewed.Client(self, i) for i in range(count)]
        if not self.is_planned:
            return [clients.Client(self, i) for i in range(count)]
        load = planned.LOADS[self.seed % len(planned.LOADS)]
        return [planned.Client(self, i, load)
                for i in range(round(count * load.client_ratio))]

    async def _check_recovery(self):
        """Checks that most requests are served a few seconds after faults."""
        await asyncio.sleep(CONTACT_S)
        begin = self.now()
        await asyncio.sleep(2)
        done = [s for s in self.attempts.values() if s.started > begin and
                s.ended is not None and s.key == "key-large"]
        good = sum(s.status == 200 and s.error is None for s in done)
        if not done or good < len(done) * 0.75:
            self.add_violation(
                "RECOVER", "%d of %d requests are served at the end" % (
                    good, len(done)))

    async def _tear_down(self):
        for gateway in self.gateways:
            gateway.signal(signal.SIGTERM)
        for gateway in self.gateways:
            try:
                await asyncio.wait_for(gateway.process.wait(),
                                       self.args.grace + 1)
            except asyncio.TimeoutError:
                self.add_violation(
                    "STOP", "%s still runs after its grace period" %
                    gateway.name)
            await gateway.kill()
            self.check_exit(gateway, gateway.process.returncode,
                           signal.SIGKILL)


def summary(soak, spent):
    statuses = collections.Counter(s.status for s in soak.attempts.values())
    return {"seed": soak.seed, "planned": soak.is_planned,
            "requests": len(soak.attempts),
            "statuses": dict(sorted(statuses.items())),
            "runs": sum(len(runs) for runs in soak.runs.values()),
            "tokens": dict(spent), "store_calls": soak.store.requests,
            "lag_max_ms": round(1000 * max([s[2] for s in soak.lags] + [0])),
            "violations": len(soak.violations)}


def ignore_cancelled(loop, context):
    """Ignores cancelled connections of the fakes at the end of a run."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


def make_plan(args, seed, prefix):
    if prefix == PLANNED_PREFIX:
        return planned.plan(seed, args.seconds, args.faults, args.gateways)
    if prefix == RENEWED_PREFIX:
        return sorted(renewed.plan(seed, args.seconds, args.faults),
                      key=lambda step: step.start_s)
    if prefix == EVACUATED_PREFIX:
        return sorted(evacuated.plan(seed, args.seconds, args.faults),
                      key=lambda step: step.start_s)
    if prefix == RESTORED_PREFIX:
        return sorted(faults.plan_restores(seed, args.seconds, args.faults),
                      key=lambda step: step.start_s)
    plan = faults.plan(seed, args.seconds, args.faults)
    if prefix == STATED_PREFIX:
        plan += statements.plan(seed, args.seconds, STEPS_STATED)
    return sorted(plan, key=lambda step: step.start_s)


async def run_seed(args, seed, prefix):
    asyncio.get_running_loop().set_exception_handler(ignore_cancelled)
    folder = tempfile.mkdtemp(prefix="soak-%s%d-" % (prefix, seed))
    soak = Soak(args, seed, folder, prefix)
    plan = make_plan(args, seed, prefix)
    try:
        await soak.run(plan)
    finally:
        soak.stopping = True
        for gateway in soak.gateways:
            await gateway.kill()
    renewed.check(soak)
    evacuated.check(soak)
    spent = soak.check_tokens()
    for attempt in soak.cut:
        # Delays of this process are known only afterwards.
        if planned.is_lost(soak, attempt):
            soak.violations.append((attempt.ended, "LOST", "\n    ".join(
                [planned.lost_text(soak, attempt)] +
                planned.log_lines(soak, attempt))))
    print(json.dumps(summary(soak, spent)), flush=True)
    if not soak.violations:
        shutil.rmtree(folder)
        return True
    for fault in plan:
        print("  plan: %s" % fault)
    for at, rule, text in soak.violations[:20]:
        print("  %s at %.3f s: %s" % (rule, at - soak.started, text))
    print("  logs: %s" % folder, flush=True)
    return False


def parse_seeds(text):
    """Yields pairs of a seed and its prefix."""
    for part in text.split(","):
        prefix = ""
        for each in (PLANNED_PREFIX, STATED_PREFIX, RESTORED_PREFIX,
                     RENEWED_PREFIX, EVACUATED_PREFIX):
            if part.startswith(each):
                prefix = each
        first, _, last = part.removeprefix(prefix).partition("-")
        for seed in range(int(first), int(last or first) + 1):
            yield seed, prefix


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary", default="build/tanagertrestle")
    parser.add_argument("--seeds", default="1", help="as 1,5-9,planned-1-4,stated-1-4,restored-1-4,renewed-1-4,"
                        "evacuated-1-4")
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--clients", type=int, default=24)
    parser.add_argument("--faults", type=int, default=8,
                        help="number of faults or of series of planned work")
    parser.add_argument("--grace", type=float, default=6,
                        help="grace period of a stop in seconds")
    parser.add_argument("--log-level", default="info")
    args = parser.parse_args()
    args.binary = os.path.abspath(args.binary)
    failed = ["%s%d" % (prefix, seed)
              for seed, prefix in parse_seeds(args.seeds)
              if not asyncio.run(run_seed(args, seed, prefix))]
    if failed:
        print("soak: failed seeds: %s" % " ".join(failed))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
