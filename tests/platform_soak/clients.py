"""Clients of the platform soak test: keep-alive connections with idle times up to near the limit, and requests with the
durations that the users specify. The responses are checked by the history (history.py)."""
import asyncio
import itertools
import random
import time

from connection import Connection, Response
from fleet import INGRESS

HOST = "h.example"
IDLE_SECONDS = 15
# Clients reuse connections that have been idle for up to four fifths of the allowed time.
MAX_IDLE_SECONDS = IDLE_SECONDS * 4 / 5
RETRY_SECONDS = 0.1


class Kind:
    """A kind of request: its route, the bounds of its work at the engine (ms), how often it is drawn, and the events of its
    stream (0: an ordinary response)."""

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
    # A route that differs between versions.
    routes.append({**routes[0], "label": "marker", "path_prefix": "/marker-%d/" % marker})
    services = [{"label": name, "probe": "/health", "max_conns": 360, "protocol": "h1", "tls": False, "warmup_s": 0.0,
                 "warmup_per_s": 0.0} for name in ("labels", "batches", "turns")]
    caps = {"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": IDLE_SECONDS * 1000}
    return {"generation": generation, "routing": routes, "backends": services, "caps": caps}


class Request:
    """One request to one edge machine, with the time at which it was sent (monotonic seconds)."""

    numbers = itertools.count()

    def __init__(self, kind, machine, draw):
        self.kind, self.machine = KINDS[kind], machine
        self.attempt = "%s-%d" % (kind, next(Request.numbers))
        self.sent = time.monotonic()
        self.deadline = self.sent + self.kind.deadline_ms / 1000
        # Squared, so that most requests are short; the long ones are the hardest to finish.
        min_ms, max_ms = self.kind.work_ms
        self.work_ms = int(min_ms + (max_ms - min_ms) * draw.random() ** 2)

    def headers(self):
        headers = {"Host": HOST, "X-Attempt-Id": self.attempt, "X-Time-Left-Ms": str(self.kind.deadline_ms),
                   "X-Work-Ms": str(self.work_ms)}
        if self.kind.events:
            headers["X-Events"] = str(self.kind.events)
        return headers

    def __str__(self):
        return "%s at %s (work %d ms)" % (self.attempt, self.machine.name, self.work_ms)


class Client:
    """Sends one request after the other to an edge machine, and connects to another one when the connection ends."""

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
            long_idle = self._random.random() < 0.6
            await asyncio.sleep(self._random.uniform(0, MAX_IDLE_SECONDS if long_idle else 0.3))

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
        exchange = self._connection.exchange("POST", request.kind.path + "x", request.headers(), b"body")
        try:
            response = await asyncio.wait_for(exchange, request.kind.deadline_ms / 1000 + 2)
        except asyncio.TimeoutError:
            response = Response()
        self._history.check_response(request, response, time.monotonic())
        if not response.complete or response.headers.get("connection") == "close":
            self._connection.close()
            self._connection = None
