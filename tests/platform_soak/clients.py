"""Clients of a soak on the users' platform: their connections rest for as long as they may, and their requests take as
long as the users' sheets say."""
import asyncio
import itertools
import random
import time

from connection import Answer, Connection
from fleet import INGRESS

HOST = "h.example"
IDLE_SECONDS = 15
# Clients take up connections that have rested for up to four fifths of what is allowed.
LONGEST_REST_SECONDS = IDLE_SECONDS * 4 / 5
RETRY_SECONDS = 0.1


class Kind:
    """A kind of request: its route, and between what bounds its work lies (ms)."""

    def __init__(self, path, deadline_ms, work_ms, weight, events=0):
        self.path, self.deadline_ms, self.work_ms, self.weight, self.events = path, deadline_ms, work_ms, weight, events


KINDS = {"label": Kind("/label/", 6000, (10, 4500), 5), "batch": Kind("/batch/", 30000, (500, 12000), 1),
         "turn": Kind("/turn/", 4000, (100, 2600), 4, events=34)}


def route(name, kind, service, category, target_ms):
    return {"label": name, "authority": HOST, "path_prefix": kind.path, "category": category, "deadline_ms": kind.deadline_ms,
            "target_ms": target_ms, "urgency": 1, "backend": service, "tries": 1}


def configuration(generation, marker):
    routes = [route("labels", KINDS["label"], "labels", "mutating", 1200), route("batches", KINDS["batch"], "batches", "mutating", 15000),
              route("turns", KINDS["turn"], "turns", "streaming", 200)]
    # Tells versions apart.
    routes.append({**routes[0], "label": "marker", "path_prefix": "/marker-%d/" % marker})
    services = [{"label": name, "probe": "/health", "max_conns": 360, "protocol": "h1", "tls": False, "warmup_s": 0.0,
                 "warmup_per_s": 0.0} for name in ("labels", "batches", "turns")]
    caps = {"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": IDLE_SECONDS * 1000}
    return {"generation": generation, "routing": routes, "backends": services, "caps": caps}


class Request:
    numbers = itertools.count()

    def __init__(self, kind, machine, draw):
        self.kind, self.machine = KINDS[kind], machine
        self.attempt = "%s-%d" % (kind, next(Request.numbers))
        self.sent = time.monotonic()
        self.deadline = self.sent + self.kind.deadline_ms / 1000
        # Most are short; the longest are what is hard.
        least, most = self.kind.work_ms
        self.work_ms = int(least + (most - least) * draw.random() ** 2)

    def headers(self):
        headers = {"Host": HOST, "X-Attempt-Id": self.attempt, "X-Time-Left-Ms": str(self.kind.deadline_ms),
                   "X-Work-Ms": str(self.work_ms)}
        if self.kind.events:
            headers["X-Events"] = str(self.kind.events)
        return headers

    def __str__(self):
        return "%s at %s (work %d ms)" % (self.attempt, self.machine.name, self.work_ms)


class Client:
    def __init__(self, number, seed, fleet, history):
        self._random = random.Random("%d/%d" % (seed, number))
        self._fleet, self._history = fleet, history
        self._connection, self._machine = None, None

    async def run(self):
        while True:
            if not await self._connect():
                await asyncio.sleep(RETRY_SECONDS)
                continue
            kind = self._random.choices(list(KINDS), [kind.weight for kind in KINDS.values()])[0]
            await self._send(Request(kind, self._machine, self._random))
            long_rest = self._random.random() < 0.6
            await asyncio.sleep(self._random.uniform(0, LONGEST_REST_SECONDS if long_rest else 0.3))

    async def _connect(self):
        if self._connection:
            return True
        machine = self._random.choice(self._fleet.of_kind("edge"))
        try:
            self._connection, self._machine = await Connection.open(machine.address(INGRESS)), machine
        except (OSError, asyncio.TimeoutError):
            return False
        self._history.counts["connections"] += 1
        return True

    async def _send(self, request):
        work = self._connection.exchange("POST", request.kind.path + "x", request.headers(), b"body")
        try:
            answer = await asyncio.wait_for(work, request.kind.deadline_ms / 1000 + 2)
        except asyncio.TimeoutError:
            answer = Answer()
        self._history.judge(request, answer, time.monotonic())
        if not answer.complete or answer.headers.get("connection") == "close":
            self._connection.close()
            self._connection = None
