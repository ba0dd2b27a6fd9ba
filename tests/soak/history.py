"""What was done to each process of the fleet and when, so that what a client saw can be judged by it."""
import collections
import threading
import time

# The longest that a message may be on its way when a connection is closed under it.
CROSSING_SECONDS = 0.2
# Around a kill or a freeze: the moment at which it takes effect isn't known better.
TOLERANCE_SECONDS = 0.5


class Spell:
    """A trouble of one process from `begun` to `ended` (None: it goes on)."""

    def __init__(self, process, kind):
        self.process, self.kind = process, kind
        self.begun, self.ended = time.time(), None

    def overlaps(self, begun, ended):
        after_begin = self.begun - TOLERANCE_SECONDS <= ended
        before_end = self.ended is None or self.ended + TOLERANCE_SECONDS >= begun
        return after_begin and before_end


class LagMeter(threading.Thread):
    """Measures how late this very process is woken, so that its own delays aren't taken for the fleet's."""

    PERIOD_SECONDS = 0.02

    def __init__(self):
        super().__init__(daemon=True)
        self._lags = collections.deque(maxlen=10000)

    def run(self):
        while True:
            asked = time.time()
            time.sleep(self.PERIOD_SECONDS)
            woken = time.time()
            self._lags.append((woken, woken - asked - self.PERIOD_SECONDS))

    def longest(self, begun, ended):
        margin = 2 * self.PERIOD_SECONDS
        return max((lag for woken, lag in list(self._lags) if begun - margin <= woken <= ended + margin), default=0)


class History:
    def __init__(self):
        self.lag = LagMeter()
        self.lag.start()
        self._lock = threading.Lock()
        self._spells = []
        self._violations = []
        self._counts = {}

    def begin(self, process, kind):
        spell = Spell(process, kind)
        with self._lock:
            self._spells.append(spell)
        return spell

    def end(self, spell):
        spell.ended = time.time()

    def troubled(self, process, begun, ended, kinds):
        """Whether one of these troubles of the process overlaps the span."""
        with self._lock:
            return any(spell.process == process and spell.kind in kinds and spell.overlaps(begun, ended)
                       for spell in self._spells)

    def violate(self, rule, what):
        with self._lock:
            self._violations.append("%s: %s" % (rule, what))

    def count(self, name):
        with self._lock:
            self._counts[name] = self._counts.get(name, 0) + 1

    def violations(self):
        with self._lock:
            return list(self._violations)

    def counts(self):
        with self._lock:
            return dict(sorted(self._counts.items()))
