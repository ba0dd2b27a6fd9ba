"""What was done to each machine, what engines ran and what clients saw, judged by the users' rules."""
import asyncio
import collections
import time

from fleet import BOUNDS, GRACE_SECONDS

CONTACT_SECONDS = BOUNDS["contact_ms"] / 1000
LOSS_SLACK_SECONDS = BOUNDS["loss_slack_ms"] / 1000
# A cut request is excused if it was sent this early after the notice, and its engine was still at work this late.
EXCUSED_SENT_SECONDS, EXCUSED_WORK_SECONDS = 3.0, GRACE_SECONDS * 5 / 6
REFUSALS = (429, 503, 408, 421)


class Spell:
    """A trouble of a machine from `begun` to `ended` (None: it goes on)."""

    def __init__(self, machine):
        self.machine, self.begun, self.ended = machine, time.monotonic(), None

    def overlaps(self, begun, ended):
        return self.begun <= ended and (self.ended is None or self.ended >= begun)


class History:
    def __init__(self):
        self.violations, self.counts = [], collections.Counter()
        self.runs = {}  # by attempt: [begun, ended or None], one for each run
        self._spells, self._notices, self._lags = [], {}, collections.deque(maxlen=20000)
        self._refused = []

    def violate(self, rule, what):
        self.violations.append("%s: %s" % (rule, what))

    # Machines.
    def begin_trouble(self, machine):
        spell = Spell(machine)
        self._spells.append(spell)
        return spell

    def end_trouble(self, spell):
        spell.ended = time.monotonic()

    def notice(self, machine):
        self._notices.setdefault(machine.name, []).append(time.monotonic())

    # Engines.
    def begin_run(self, attempt):
        runs = self.runs.setdefault(attempt, [])
        runs.append([time.monotonic(), None])
        if len(runs) > 1:
            self.violate("TWICE", "%s runs %d times" % (attempt, len(runs)))

    def end_run(self, attempt):
        self.runs[attempt][-1][1] = time.monotonic()

    # This process: its own delays aren't the fleet's.
    async def measure_lag(self, period=0.02):
        while True:
            asked = time.monotonic()
            await asyncio.sleep(period)
            woken = time.monotonic()
            self._lags.append((woken, woken - asked - period))

    def lag(self, begun, ended):
        return max((lag for woken, lag in self._lags if begun - 0.1 <= woken <= ended + 0.1), default=0)

    # Clients.
    def judge(self, request, answer, ended):
        self.counts["requests"] += 1
        if answer.complete:
            self.counts["answers %d" % answer.status] += 1
            if answer.status in REFUSALS:
                self._refused.append(request)
            elif answer.status == 200 and "x-server-seal" not in answer.headers:
                self.violate("MIXED", "%s is a success without a seal" % request)
            return
        self.counts["requests without a whole answer"] += 1
        self._judge_lost(request, ended)

    def _judge_lost(self, request, ended):
        if self._troubled(request, ended) or ended >= request.deadline:
            return
        lag = self.lag(request.sent, ended)
        runs = self.runs.get(request.attempt, [])
        notice = self._notice_before(request.machine, ended)
        if not runs and ended - request.sent <= LOSS_SLACK_SECONDS + lag:
            self.counts["requests that crossed a closing"] += 1
            return
        if notice is not None and runs:
            early = request.sent - notice <= EXCUSED_SENT_SECONDS
            at_work = any(run[1] is None or run[1] - notice >= EXCUSED_WORK_SECONDS - lag for run in runs)
            if early and at_work:
                self.counts["requests cut, excused"] += 1
                return
        after = "no notice" if notice is None else "sent %.2f s, ended %.2f s after the notice" % (
            request.sent - notice, ended - notice)
        self.violate("LOST", "%s ended without an answer after %.2f s, %s, %s" % (
            request, ended - request.sent, "run" if runs else "never passed on", after))

    def _notice_before(self, machine, moment):
        past = [notice for notice in self._notices.get(machine.name, []) if notice <= moment <= notice + GRACE_SECONDS + 1]
        return past[-1] if past else None

    def _troubled(self, request, ended):
        """Unplanned trouble of the machine that was asked, or among cores and stores, around the request."""
        return any(spell.overlaps(request.sent - CONTACT_SECONDS, ended + LOSS_SLACK_SECONDS)
                   for spell in self._spells if spell.machine is request.machine or spell.machine.kind != "edge")

    def judge_refusals(self):
        for request in self._refused:
            if self.runs.get(request.attempt):
                self.violate("REFUSED", "%s was refused and has run" % request)
