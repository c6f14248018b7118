"""Workers that state in their answers what they want, and checks of it.

A worker may state that it leaves, while the store still has it as ready, that
it wants a pause, or how many requests it takes from all gateways together.
"""
import asyncio
import collections
import random

KINDS = ("leave", "pause", "limit")
DRAIN_S = 2.0  # after an answer that states the leaving was passed on
PAUSE_SLACK_S = 0.5  # after an answer that asks for a pause
PAUSE_ARRIVALS_MAX = 2  # within the rest of a pause
LIMIT_CONTACT_S = 3.0  # from the first answer that states a limit
LIMIT_TOLD_S = 0.5  # until a gateway that passed it on is counted
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
REFUSED_RATIO = 0.5  # of the requests to a worker that asks for pauses


class Step:
    def __init__(self, kind, start_s, duration_s, selector, value):
        self.kind = kind
        self.start_s = start_s
        self.duration_s = duration_s
        self.selector = selector
        self.value = value

    def __str__(self):
        return "%.2f s %s for %.2f s pick=%d value=%.2f" % (
            self.start_s, self.kind, self.duration_s, self.selector,
            self.value)


def plan(seed, seconds, count):
    """Returns a random plan; nothing is stated in the last fifth of a run."""
    rng = random.Random("stated %d" % seed)
    steps = []
    for i in range(count):
        start_s = rng.uniform(0.5, seconds * 0.6)
        steps.append(Step(KINDS[i % len(KINDS)], start_s,
                          rng.uniform(1, seconds * 0.8 - start_s),
                          rng.randrange(1000),
                          rng.choice((0, 0.2, 0.5, 1, 2, 4))))
    return sorted(steps, key=lambda step: step.start_s)


class Statements:
    """What one worker states, and who was told."""

    def __init__(self, worker):
        self.worker = worker
        self.soak = worker.soak
        self.leaving = False
        self.limit = None  # requests a second
        self.pause_s = None  # stated with refusals
        self.passed_on = {}  # (gateway, incarnation) -> first leaving answer
        self.pauses = []  # (gateway and incarnation, begin, end)
        self.pause_arrivals = collections.Counter()  # by index in pauses
        self.limited = {}  # (gateway, incarnation) -> first limited answer
        self.arrivals = collections.deque()  # times, of gateways told

    def fields(self):
        fields = []
        if self.leaving:
            fields.append(("Server-Leaving", "1"))
        if self.limit is not None:
            fields.append(("Server-Limit", "%.2f" % self.limit))
        return fields

    def refusal_fields(self, attempt):
        """Returns the fields of a refusal, and counts the pause it asks."""
        if self.pause_s is None:
            return self.fields()
        now = self.soak.now()
        self.pauses.append((self._key(attempt), now, now + self.pause_s))
        return self.fields() + [("Retry-After", "%.2f" % self.pause_s)]

    def refuses(self):
        return self.pause_s is not None and \
            self.soak.random.random() < REFUSED_RATIO

    @staticmethod
    def _key(attempt):
        return (attempt.gateway, attempt.incarnation)

    def answered(self, attempt, fields):
        """Records what a client got through its gateway."""
        now = self.soak.now()
        if "server-leaving" in fields:
            self.passed_on.setdefault(self._key(attempt), now)
        if "server-limit" in fields and self.limit is not None:
            self.limited.setdefault(self._key(attempt), now)

    def arrived(self, attempt):
        """Checks a request that has reached the worker."""
        now = self.soak.now()
        key = self._key(attempt)
        told = self.passed_on.get(key)
        if told is not None and attempt.started > told + DRAIN_S and \
                attempt.gateway.faults.is_clear(told, now):
            self.soak.add_violation(
                "LEAVING", "%s reaches %s %.1f s after its gateway was told" %
                (attempt.id, self.worker.id, now - told))
        self._check_pauses(attempt, now)
        self._check_limit(attempt, now)

    def _check_pauses(self, attempt, now):
        for i, (key, begin, end) in enumerate(self.pauses):
            if key != self._key(attempt) or \
                    not begin + PAUSE_SLACK_S < now < end or \
                    not self.soak.worker_faults.is_clear(begin, now) or \
                    not attempt.gateway.faults.is_clear(begin, now):
                continue
            self.pause_arrivals[i] += 1
            if self.pause_arrivals[i] > PAUSE_ARRIVALS_MAX:
                self.soak.add_violation(
                    "PAUSE", "%s reaches %s %.2f s into a pause of %.2f s" % (
                        attempt.id, self.worker.id, now - begin, end - begin))

    def _check_limit(self, attempt, now):
        told = self.limited.get(self._key(attempt))
        first = min(self.limited.values(), default=now)
        if self.limit is None or told is None or \
                now < first + LIMIT_CONTACT_S or now < told + LIMIT_TOLD_S or \
                not attempt.gateway.faults.is_clear(now - LIMIT_CONTACT_S,
                                                    now):
            return
        self.arrivals.append(now)
        while self.arrivals[0] < now - LIMIT_WINDOW_S:
            self.arrivals.popleft()
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * self.limit + LIMIT_SLACK
        if len(self.arrivals) > allowed:
            self.soak.add_violation(
                "LIMIT", "%s gets %d requests in %.0f s, %d allowed" % (
                    self.worker.id, len(self.arrivals), LIMIT_WINDOW_S,
                    allowed))

    def end_limit(self):
        self.limit = None
        self.limited.clear()
        self.arrivals.clear()


async def perform(soak, step):
    ready = [w for w in soak.workers if w.state == "ready" and
             not w.statements.leaving]
    worker = ready[step.selector % len(ready)]
    statements = worker.statements
    if step.kind == "leave":
        await soak.add_worker(worker.service)
        statements.leaving = True
        await asyncio.sleep(step.duration_s + DRAIN_S)
        if worker in soak.workers:
            await soak.remove_worker(worker)
    elif step.kind == "pause":
        statements.pause_s = 0.5 + step.value
        await asyncio.sleep(step.duration_s)
        statements.pause_s = None
    else:
        statements.limit = step.value
        await asyncio.sleep(step.duration_s)
        statements.end_limit()
