"""Faults of the soak test: signals, restarts, disk losses and configuration changes, drawn from a seed. They follow each
other closely and overlap, but stay within what the fleet must tolerate."""
import json
import os
import shutil
import signal
import sys
import threading
import time
import urllib.error
import urllib.request

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "tools"))

from fleetlib import TOKEN  # noqa: E402

STOP_SECONDS = 8
# A core or storage group has recovered this long after the end of a fault.
RECOVERY_SECONDS = 6
EDGE_KINDS = ("term", "term", "kill", "hup", "freeze", "agent_kill", "agent_term")
DATA_KINDS = ("term", "kill", "hup", "freeze", "wipe")
# Long enough for the other cores to declare a silent core dead, take over its roles and replace a lost voter.
TAKEOVER_SECONDS = 6
CHANGE_TIMEOUT_SECONDS = 8


def ask(address, method, path, body=None, headers=None, timeout=2):
    """Sends one request. Status and body; status 0: no response."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request("http://%s%s" % (address, path), data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return reply.status, reply.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except (OSError, ValueError):
        return 0, ""


class Processes:
    """Signals and starts the fleet's processes, and records this in the history."""

    def __init__(self, fleet, history):
        self.fleet, self.history = fleet, history
        # Guards the fleet's state file and its process ids.
        self._lock = threading.Lock()

    def of_role(self, role):
        return [name for name, node in self.fleet.state["nodes"].items() if node["role"] == role]

    def node(self, name):
        return self.fleet.state["nodes"][name]

    def start(self, name):
        with self._lock:
            self.fleet.start(self.node(name))

    def check_running(self, name):
        if not self.fleet.alive(self.node(name)):
            self.history.violate("ENDED", "%s had exited by itself" % name)

    def end(self, name, number, kind):
        """Ends a process by a signal. It is a violation if it still runs after STOP_SECONDS."""
        self.check_running(name)
        fault = self.history.begin(name, kind)
        self.fleet.signal(self.node(name), number)
        until = time.time() + STOP_SECONDS
        while self.fleet.alive(self.node(name)) and time.time() < until:
            time.sleep(0.02)
        if self.fleet.alive(self.node(name)):
            self.history.violate("GRACE", "%s still runs %d s after its signal" % (name, STOP_SECONDS))
            self.history.begin(name, "kill")
            self.fleet.stop([self.node(name)], signal.SIGKILL, STOP_SECONDS)
        elif number == signal.SIGTERM and self.fleet.exit_code(self.node(name)) not in (0, None):
            self.history.violate("CODE", "%s, told to end, exited with code %s" % (name, self.fleet.exit_code(self.node(name))))
        return fault

    def restart(self, name, number, kind, pause):
        fault = self.end(name, number, kind)
        time.sleep(pause)
        self.start(name)
        self.history.end(fault)

    def freeze(self, name, seconds):
        self.check_running(name)
        fault = self.history.begin(name, "freeze")
        self.fleet.signal(self.node(name), signal.SIGSTOP)
        time.sleep(seconds)
        self.fleet.signal(self.node(name), signal.SIGCONT)
        # Time to process what arrived while it was stopped.
        time.sleep(1)
        self.history.end(fault)

    def send_sighup(self, name):
        self.check_running(name)
        self.fleet.signal(self.node(name), signal.SIGHUP)

    def kill_permanently(self, name):
        self.check_running(name)
        self.history.begin(name, "kill")
        self.fleet.stop([self.node(name)], signal.SIGKILL, STOP_SECONDS)

    def take_over(self, core, store):
        """Freezes a core while a storage node loses its disk, so that another core takes over, and then resumes it."""
        fault = self.history.begin(core, "freeze")
        self.fleet.signal(self.node(core), signal.SIGSTOP)
        self.wipe(store, 0)
        time.sleep(TAKEOVER_SECONDS)
        self.fleet.signal(self.node(core), signal.SIGCONT)
        time.sleep(1)
        self.history.end(fault)

    def wipe(self, name, pause):
        fault = self.end(name, signal.SIGKILL, "kill")
        shutil.rmtree(os.path.join(self.fleet.folder, "data", name), ignore_errors=True)
        time.sleep(pause)
        self.start(name)
        self.history.end(fault)


class Operator:
    """Changes the configuration, one change at a time, and remembers the last acknowledged change."""

    def __init__(self, processes, random):
        self._processes, self._random = processes, random
        self._lock = threading.Lock()
        self.acknowledged, self.sent = 0, 0

    def _core(self):
        return self._processes.node(self._random.choice(self._processes.of_role("control_node")))["http"]

    def read(self):
        """The version and the value of the changed limit; None: the core did not respond."""
        status, text = ask(self._core(), "GET", "/v1/desired", headers={"Authorization": "Bearer " + TOKEN})
        if status != 200:
            return None
        document = json.loads(text)
        return document["version"], document["desired"]["shared"].get("limits", {}).get("requests_per_client", 0)

    def change(self):
        with self._lock:
            current = self.read()
            if current is None:
                return self._processes.history.count("changes not sent")
            # Above 1,000, so that the limit refuses no client.
            self.sent = max(self.sent, 1000) + 1
            body = {"shared": {"limits": {"requests_per_client": self.sent}}}
            headers = {"Authorization": "Bearer " + TOKEN, "If-Match": str(current[0]), "Content-Type": "application/json"}
            status, _ = ask(self._core(), "PATCH", "/v1/desired", body, headers, CHANGE_TIMEOUT_SECONDS)
            self._processes.history.count("changes %d" % status)
            if status == 200:
                self.acknowledged = self.sent


# The kinds to draw from; a kind listed twice is drawn twice as often.
KINDS = ("edge", "edge", "edge", "data", "data", "engine", "takeover", "change", "changes")


class Injector:
    """Draws faults and runs them concurrently, within what the fleet must tolerate."""

    def __init__(self, processes, operator, random, kinds=KINDS):
        self._processes, self._operator, self._random, self._kinds = processes, operator, random, kinds
        self._threads = []
        self._busy = set()

    def _spawn(self, work, *arguments, after=None):
        def run():
            work(*arguments)
            if after:
                after()
        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self._threads.append(thread)

    def inject(self):
        """Starts one more fault beside those in progress; skips it if the fleet need not tolerate it now."""
        kind = self._random.choice(self._kinds)
        if kind == "edge":
            self._inject_edge_fault()
        elif kind == "engine":
            self._inject_engine_fault()
        elif kind == "takeover":
            self._inject_role_takeover()
        elif kind == "data":
            self._inject_data_fault(self._random.choice(("control_node", "storage_node")))
        else:
            for _ in range(1 if kind == "change" else 4):
                self._spawn(self._operator.change)

    def _inject_edge_fault(self):
        proxies = self._processes.of_role("proxy")
        free = [name for name in proxies if name not in self._busy]
        # At least half of the proxies stay up to serve the clients.
        if len(free) * 2 <= len(proxies):
            return
        name, kind = self._random.choice(free), self._random.choice(EDGE_KINDS)
        target = self._processes.node(name)["agent"] if kind.startswith("agent") else name
        self._inject_process_fault(name, target, kind.replace("agent_", ""), 0)

    def _inject_engine_fault(self):
        engines = [name for name in self._processes.of_role("engine_stand_in") if name not in self._busy]
        if engines:
            name = self._random.choice(engines)
            self._inject_process_fault(name, name, self._random.choice(("term", "kill")), 0)

    def _inject_role_takeover(self):
        roles = {"control_node", "storage_node"}
        if roles & self._busy:
            return
        self._busy |= roles
        core = min(self._processes.of_role("control_node"))
        store = self._random.choice(self._processes.of_role("storage_node"))
        self._processes.history.count("takeover")

        def release():
            time.sleep(RECOVERY_SECONDS)
            self._busy.difference_update(roles)

        self._spawn(self._processes.take_over, core, store, after=release)

    def _inject_data_fault(self, role):
        # One loss at a time in each of the two groups: three voters tolerate no more.
        if role in self._busy:
            return
        name = self._random.choice(self._processes.of_role(role))
        self._inject_process_fault(role, name, self._random.choice(DATA_KINDS), RECOVERY_SECONDS)

    def _inject_process_fault(self, claim, name, kind, recovery):
        self._busy.add(claim)
        pause = self._random.uniform(0, 1.5)
        seconds = self._random.uniform(0.2, 4)
        self._processes.history.count("%s of a %s" % (kind, self._processes.node(name)["role"]))

        def release():
            time.sleep(recovery)
            self._busy.discard(claim)

        faults = {"term": lambda: self._processes.restart(name, signal.SIGTERM, "term", pause),
                  "kill": lambda: self._processes.restart(name, signal.SIGKILL, "kill", pause),
                  "hup": lambda: self._processes.send_sighup(name),
                  "freeze": lambda: self._processes.freeze(name, seconds),
                  "wipe": lambda: self._processes.wipe(name, pause)}
        self._spawn(faults[kind], after=release)

    def wait(self):
        for thread in self._threads:
            thread.join()
