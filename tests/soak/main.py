"""Soak test: a fleet of real processes under clients with keep-alive connections, and faults drawn from a seed.

Usage: main.py ROOT BUILD --seeds A..B [--seconds N] [--edges N] [--clients N]

At the end of each run, odd seeds kill all processes at once; then each group of voters loses one more disk, and one
storage node is killed for good. Before each of these each group must have all its voters again, and in the end everything
acknowledged must still be there. Exit code 1: a run violated a rule; its seed, violations and counts are printed."""
import argparse
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from clients import Client  # noqa: E402
from faults import KINDS, Injector, Operator, Processes, ask  # noqa: E402
from history import History  # noqa: E402
from fleetlib import PRODUCT_ROLES, Fleet  # noqa: E402

READY_SECONDS = 30
VOTERS_SECONDS = 40
MAX_FAULT_GAP_SECONDS = 1.0
FINAL_TRAFFIC_SECONDS = 2
MAX_PRINTED_VIOLATIONS = 8


def run_fleet(arguments, folder, *fleet_arguments):
    command = [os.path.join(arguments.root, "tools", "fleet"), "--folder", folder, "--build", arguments.build]
    done = subprocess.run(command + list(fleet_arguments), stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
    if done.returncode != 0:
        raise RuntimeError("fleet %s: %s" % (" ".join(fleet_arguments), done.stdout))


def wait_until(check, seconds):
    end = time.time() + seconds
    while time.time() < end:
        if check():
            return True
        time.sleep(0.1)
    return False


def view_of(processes, name):
    """The number of the view that the voter has installed; 0: none, or no response."""
    _, text = ask(processes.node(name)["http"], "GET", "/metrics")
    for line in text.splitlines():
        if line.startswith("herontally_view "):
            return float(line.split()[1])
    return 0


class Run:
    """One seed: injects faults into a running fleet, and checks the result."""

    def __init__(self, arguments, seed, folder):
        self.arguments, self.seed, self.folder = arguments, seed, folder
        self.random = random.Random(seed)
        self.history = History()
        self.processes = Processes(Fleet(folder, arguments.build), self.history)
        self.operator = Operator(self.processes, self.random)
        self.stop = threading.Event()
        self.clients = [Client(number, seed, self.proxies, self.history, self.stop)
                        for number in range(arguments.clients)]

    def proxies(self):
        return [(name, self.processes.node(name)["http"]) for name in self.processes.of_role("proxy")]

    def product_nodes(self):
        return [name for role in PRODUCT_ROLES for name in self.processes.of_role(role)]

    def run(self):
        for client in self.clients:
            client.start()
        injector = Injector(self.processes, self.operator, self.random, self.arguments.kinds)
        end = time.time() + self.arguments.seconds
        while time.time() < end:
            injector.inject()
            time.sleep(self.random.uniform(0, MAX_FAULT_GAP_SECONDS))
        injector.wait()
        self.check_service("the faults")
        if self.seed % 2:
            self.kill_all()
            self.check_service("a loss of all processes")
        self.wipe_disks()
        self.missing = self.random.choice(self.processes.of_role("storage_node"))
        self.processes.kill_permanently(self.missing)
        time.sleep(FINAL_TRAFFIC_SECONDS)
        if not wait_until(self.all_ready, READY_SECONDS):
            self.history.violate("RECOVER", "not every proxy is ready after the loss of %s" % self.missing)
        self.stop.set()
        for client in self.clients:
            client.join()
        self.check_acknowledged()

    def check_service(self, after):
        if not wait_until(self.all_ready, READY_SECONDS):
            self.history.violate("RECOVER", "not every proxy is ready %d s after %s" % (READY_SECONDS, after))
        for role in ("control_node", "storage_node"):
            if not wait_until(lambda: self.views_agree(role), VOTERS_SECONDS):
                views = {name: view_of(self.processes, name) for name in self.processes.of_role(role)}
                self.history.violate("VOTERS", "the voters don't share one installed view %d s after %s: %s" % (VOTERS_SECONDS, after, views))

    def all_ready(self):
        return all(ask(address, "GET", "/readyz")[0] == 200 for _, address in self.proxies())

    def views_agree(self, role):
        views = {view_of(self.processes, name) for name in self.processes.of_role(role)}
        return len(views) == 1 and views != {0}

    def kill_all(self):
        names = self.product_nodes()
        faults = [self.history.begin(name, "kill") for name in names]
        for name in names:
            self.processes.check_running(name)
            self.processes.fleet.signal(self.processes.node(name), signal.SIGKILL)
        self.processes.fleet.stop([self.processes.node(name) for name in names], signal.SIGKILL, 1)
        for name in names:
            self.processes.start(name)
        for fault in faults:
            self.history.end(fault)

    def wipe_disks(self):
        """Wipes one disk in each group, which a group that has not recovered from the earlier faults can't tolerate."""
        for role in ("storage_node", "control_node"):
            self.processes.wipe(self.random.choice(self.processes.of_role(role)), 0)
            self.check_service("the last disk loss of a %s" % role)

    def check_acknowledged(self):
        results = []

        def read():
            results.append(self.operator.read())
            return results[-1] is not None

        if not wait_until(read, READY_SECONDS):
            self.history.violate("CONFIG", "no core returns the configuration")
        elif not self.operator.acknowledged <= results[-1][1] <= self.operator.sent and self.operator.acknowledged:
            self.history.violate("CONFIG", "change %d was acknowledged, %d is in force" % (self.operator.acknowledged, results[-1][1]))
        for name in self.product_nodes():
            if name != self.missing:
                self.processes.check_running(name)
        self.check_notices()
        for client in self.clients:
            for key in client.keys:
                self.check_key(key)

    def check_notices(self):
        """A proxy that ended on notice must have responded to every request that it had read, by its last log line."""
        for name in self.processes.of_role("proxy"):
            with open(os.path.join(self.folder, "logs", name + ".log"), encoding="utf-8", errors="replace") as log:
                exits = [json.loads(line) for line in log if '"ended on notice"' in line]
            for end in exits:
                self.history.count("orderly exits")
                if end["unanswered"] > 0:
                    self.history.violate("UNANSWERED", "%s exited with %d unanswered requests that it had read" % (name, end["unanswered"]))

    def check_key(self, key):
        runs = 0
        for name in self.processes.of_role("engine_stand_in"):
            if not name.startswith("labels"):
                continue
            status, text = ask(self.processes.node(name)["http"], "GET", "/v1/outcome", headers={"Idempotency-Key": key})
            runs += json.loads(text)["times"] if status == 200 else 0
        if runs > 1:
            self.history.violate("TWICE", "key %s was executed %d times" % (key, runs))


def run_seed(arguments, seed):
    folder = tempfile.mkdtemp(prefix="soak-")
    run = None
    try:
        run_fleet(arguments, folder, "up", "swanreach", "--edges", str(arguments.edges), "--log_level", "INFO")
        run = Run(arguments, seed, folder)
        run.run()
        violations = run.history.violations()
    finally:
        if run:
            run.stop.set()
        run_fleet(arguments, folder, "down")
    print("seed %d: %s %s" % (seed, "failed" if violations else "passed", run.history.counts()), flush=True)
    for violation in violations[:MAX_PRINTED_VIOLATIONS]:
        print("  " + violation, flush=True)
    if violations and arguments.keep:
        kept = os.path.join(arguments.keep, "seed-%d" % seed)
        shutil.copytree(os.path.join(folder, "logs"), kept, dirs_exist_ok=True)
        print("  logs in %s" % kept, flush=True)
    shutil.rmtree(folder, ignore_errors=True)
    return not violations


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("root")
    parser.add_argument("build")
    parser.add_argument("--seeds", default="1..1", help="as A..B")
    parser.add_argument("--seconds", type=float, default=20, help="how long faults are injected in each run")
    parser.add_argument("--edges", type=int, default=4)
    parser.add_argument("--clients", type=int, default=12)
    parser.add_argument("--kinds", type=lambda text: tuple(text.split(",")), default=KINDS,
                        help="kinds of faults to draw from, comma-separated")
    parser.add_argument("--keep", help="a folder for the logs of failed runs")
    arguments = parser.parse_args()
    first, last = (int(part) for part in arguments.seeds.split(".."))
    results = [run_seed(arguments, seed) for seed in range(first, last + 1)]
    print("%d seeds, %d failed" % (len(results), results.count(False)))
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    main()
