"""Records what was done to each machine, what the engines ran and what the clients received, and checks it against the users'
rules. It injects nothing itself (faults.py)."""
import asyncio
import collections
import time

from fleet import BOUNDS, GRACE_SECONDS

CONTACT_SECONDS = BOUNDS["contact_ms"] / 1000
LOSS_SLACK_SECONDS = BOUNDS["loss_slack_ms"] / 1000
# An incomplete response is excused if its request was sent within the first time after the notice to stop, and its engine
# was still working after the second.
EXCUSED_SEND_SECONDS, EXCUSED_WORK_SECONDS = 3.0, GRACE_SECONDS * 5 / 6
REFUSALS = (429, 503, 408, 421)


class Fault:
    """A fault of a machine from `begun` to `ended` (None: it still lasts), in monotonic seconds."""

    def __init__(self, machine):
        self.machine, self.begun, self.ended = machine, time.monotonic(), None

    def overlaps(self, begun, ended):
        return self.begun <= ended and (self.ended is None or self.ended >= begun)


class History:
    """Shared by all tasks of a run; collects violations and counts."""

    def __init__(self):
        self.violations, self.counts = [], collections.Counter()
        self.runs = {}  # by attempt: [begun, ended or None], one for each run
        self._faults, self._notices, self._lags = [], {}, collections.deque(maxlen=20000)
        self._refused = []

    def violate(self, rule, description):
        self.violations.append("%s: %s" % (rule, description))

    # Machines.
    def begin_fault(self, machine):
        fault = Fault(machine)
        self._faults.append(fault)
        return fault

    def end_fault(self, fault):
        fault.ended = time.monotonic()

    def record_notice(self, machine):
        self._notices.setdefault(machine.name, []).append(time.monotonic())

    # Engines.
    def begin_run(self, attempt):
        runs = self.runs.setdefault(attempt, [])
        runs.append([time.monotonic(), None])
        if len(runs) > 1:
            self.violate("TWICE", "%s was executed %d times" % (attempt, len(runs)))

    def end_run(self, attempt):
        self.runs[attempt][-1][1] = time.monotonic()

    # This process: its own delays must not be attributed to the fleet.
    async def measure_lag(self, period=0.02):
        while True:
            start = time.monotonic()
            await asyncio.sleep(period)
            woken = time.monotonic()
            self._lags.append((woken, woken - start - period))

    def lag(self, begun, ended):
        """The longest delay of this process between these times, in seconds."""
        return max((lag for woken, lag in self._lags if begun - 0.1 <= woken <= ended + 0.1), default=0)

    # Clients.
    def check_response(self, request, response, ended):
        self.counts["requests"] += 1
        if response.complete:
            self.counts["responses %d" % response.status] += 1
            if response.status in REFUSALS:
                self._refused.append(request)
            elif response.status == 200 and "x-server-seal" not in response.headers:
                self.violate("MIXED", "%s succeeded without the engine's seal" % request)
            return
        self.counts["requests without a complete response"] += 1
        self._check_lost(request, ended)

    def _check_lost(self, request, ended):
        if self._had_fault(request, ended) or ended >= request.deadline:
            return
        lag = self.lag(request.sent, ended)
        runs = self.runs.get(request.attempt, [])
        notice = self._notice_before(request.machine, ended)
        if not runs and ended - request.sent <= LOSS_SLACK_SECONDS + lag:
            self.counts["requests sent while the connection closed"] += 1
            return
        if notice is not None and runs:
            early = request.sent - notice <= EXCUSED_SEND_SECONDS
            at_work = any(run[1] is None or run[1] - notice >= EXCUSED_WORK_SECONDS - lag for run in runs)
            if early and at_work:
                self.counts["requests cut, excused"] += 1
                return
        after = "no notice" if notice is None else "sent %.2f s, ended %.2f s after the notice" % (
            request.sent - notice, ended - notice)
        self.violate("LOST", "%s ended without a complete response after %.2f s, %s, %s" % (
            request, ended - request.sent, "executed" if runs else "never forwarded", after))

    def _notice_before(self, machine, moment):
        past = [notice for notice in self._notices.get(machine.name, []) if notice <= moment <= notice + GRACE_SECONDS + 1]
        return past[-1] if past else None

    def _had_fault(self, request, ended):
        """Whether a fault of the request's edge machine, or of any core or storage machine, overlaps the request."""
        return any(fault.overlaps(request.sent - CONTACT_SECONDS, ended + LOSS_SLACK_SECONDS)
                   for fault in self._faults if fault.machine is request.machine or fault.machine.kind != "edge")

    def check_refusals(self):
        for request in self._refused:
            if self.runs.get(request.attempt):
                self.violate("REFUSED", "%s was refused but executed" % request)
