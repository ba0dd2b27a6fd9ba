"""Records the faults of each process with their times, so that a client's lost request can be excused by a fault or counted
as a violation. It also collects all violations and counts. It injects nothing itself (faults.py)."""
import collections
import threading
import time

# The longest time that a request may be in flight when the server closes its connection.
CLOSE_RACE_SECONDS = 0.2
# Added before and after a fault: the time at which a signal takes effect isn't known more precisely.
TOLERANCE_SECONDS = 0.5


class Fault:
    """A fault of one process from `begun` to `ended` (None: it still lasts), in seconds since the epoch."""

    def __init__(self, process, kind):
        self.process, self.kind = process, kind
        self.begun, self.ended = time.time(), None

    def overlaps(self, begun, ended):
        after_begin = self.begun - TOLERANCE_SECONDS <= ended
        before_end = self.ended is None or self.ended + TOLERANCE_SECONDS >= begun
        return after_begin and before_end


class LagMeter(threading.Thread):
    """Measures how late this process is woken, so that its own delays aren't attributed to the fleet."""

    PERIOD_SECONDS = 0.02

    def __init__(self):
        super().__init__(daemon=True)
        self._lags = collections.deque(maxlen=10000)

    def run(self):
        while True:
            start = time.time()
            time.sleep(self.PERIOD_SECONDS)
            woken = time.time()
            self._lags.append((woken, woken - start - self.PERIOD_SECONDS))

    def longest(self, begun, ended):
        margin = 2 * self.PERIOD_SECONDS
        return max((lag for woken, lag in list(self._lags) if begun - margin <= woken <= ended + margin), default=0)


class History:
    """Shared by all threads of a run."""

    def __init__(self):
        self.lag = LagMeter()
        self.lag.start()
        self._lock = threading.Lock()
        self._faults = []
        self._violations = []
        self._counts = {}

    def begin(self, process, kind):
        fault = Fault(process, kind)
        with self._lock:
            self._faults.append(fault)
        return fault

    def end(self, fault):
        fault.ended = time.time()

    def had_fault(self, process, begun, ended, kinds):
        """Whether a fault of one of these kinds affected the process between these times."""
        with self._lock:
            return any(fault.process == process and fault.kind in kinds and fault.overlaps(begun, ended)
                       for fault in self._faults)

    def violate(self, rule, description):
        with self._lock:
            self._violations.append("%s: %s" % (rule, description))

    def count(self, name):
        with self._lock:
            self._counts[name] = self._counts.get(name, 0) + 1

    def violations(self):
        with self._lock:
            return list(self._violations)

    def counts(self):
        with self._lock:
            return dict(sorted(self._counts.items()))
