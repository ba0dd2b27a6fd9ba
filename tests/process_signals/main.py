"""Signals to single processes of the deploy file's roles, at any moment of their life: none ends a process but those that tell it to,
and these end it with code 0 in time.

Usage: main.py ROOT BUILD CASE [--seeds A..B]

    first_instructions      SIGTERM or SIGHUP as soon as the libraries have begun to initialise
    ignored_by_the_parent   the same, of a process whose parent ignored them
    drawn_moments           a series of signals that begins up to 30 ms after the start
    repeated_termination    SIGTERM again and again until the process is gone
    other_signals           every signal but SIGKILL, SIGSTOP and those of faults in the code

Exit code 1: a process ended, stood still, or ended late or with another code than 0 after it was told to. It guards against
the ends by signals of issue 58 (rule FAULT)."""
import argparse
import os
import random
import signal
import subprocess
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "platform_soak"))

from fleet import GRACE_SECONDS, Fleet, die_with_parent  # noqa: E402
from history import History  # noqa: E402

ROLES = ("core", "store", "agent", "proxy")
TERMINATIONS = (signal.SIGTERM, signal.SIGINT, signal.SIGQUIT)
# The kernel sends these when the code itself is at fault.
FAULTS = (signal.SIGILL, signal.SIGTRAP, signal.SIGABRT, signal.SIGBUS, signal.SIGFPE, signal.SIGSEGV, signal.SIGSYS)
UNSTOPPABLE = (signal.SIGKILL, signal.SIGSTOP)
OTHERS = sorted(number for number in signal.valid_signals()
                if number not in (*TERMINATIONS, *FAULTS, *UNSTOPPABLE))
STARTED_SECONDS = 0.4


def prepare(ignored):
    """What happens between fork and exec; an ignored signal stays so in the program."""
    die_with_parent()
    for number in ignored:
        signal.signal(number, signal.SIG_IGN)


class Process:
    """One process of a role, alone: none of the nodes that its settings name is there."""

    def __init__(self, fleet, role, ignored=()):
        described = next(process for machine in fleet.machines for process in machine.processes if process.role == role)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG", "LSAN_OPTIONS") if name in os.environ}
        environment["HERONTALLY_SETTINGS"] = fleet.write_settings(described)
        self.role = role
        self._child = subprocess.Popen([fleet.program, *fleet.arguments[role]], cwd=fleet.folder, env=environment,
                                       stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
                                       preexec_fn=lambda: prepare(ignored))

    @property
    def ended(self):
        return self._child.poll() is not None

    def send(self, number):
        if not self.ended:
            os.kill(self._child.pid, number)

    def status(self, field):
        """A field of the kernel's status of the process; empty once it is gone."""
        try:
            with open("/proc/%d/status" % self._child.pid) as file:
                return next((line.split(":")[1].strip() for line in file if line.startswith(field + ":")), "")
        except OSError:
            return ""

    @property
    def initialising(self):
        """Whether the program's own code may have run: signals before that meet the kernel's default actions."""
        return self.status("Threads") not in ("", "0", "1") or int(self.status("SigCgt") or "0", 16) & (1 << (signal.SIGTERM - 1))

    def wait_until_initialising(self):
        while not self.ended and not self.initialising:
            pass

    def wait(self):
        """Its exit code; None: it still runs after the notice."""
        try:
            return self._child.wait(GRACE_SECONDS)
        except subprocess.TimeoutExpired:
            self._child.kill()
            self._child.wait()
            return None

    def check_end(self, violations, told):
        code = self.wait()
        if code != 0:
            violations.append("%s, %s, ended with code %s" % (self.role, told, code))

    def check_running(self, violations, told):
        if self.ended or self.status("State").startswith("T"):
            violations.append("%s ended or stood still after %s" % (self.role, told))


def first_instructions(fleet, role, draw, violations):
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        process = Process(fleet, role)
        process.wait_until_initialising()
        process.send(number)
        if number not in TERMINATIONS:
            time.sleep(0.1)
            process.check_running(violations, "an early " + number.name)
            process.send(signal.SIGTERM)
        process.check_end(violations, "sent an early " + number.name)


def ignored_by_the_parent(fleet, role, draw, violations):
    for number in TERMINATIONS:
        process = Process(fleet, role, ignored=TERMINATIONS)
        process.wait_until_initialising()
        process.send(number)
        process.check_end(violations, "started with %s ignored and sent it early" % number.name)


def drawn_moments(fleet, role, draw, violations):
    for _ in range(6):
        process = Process(fleet, role)
        process.wait_until_initialising()
        time.sleep(draw.uniform(0, 0.03))
        for _ in range(draw.randrange(1, 4)):
            process.send(draw.choice((signal.SIGHUP, signal.SIGCONT, signal.SIGTERM)))
            time.sleep(draw.choice((0, 0.0005, 0.005)))
        process.send(signal.SIGTERM)
        process.check_end(violations, "sent signals early")


def repeated_termination(fleet, role, draw, violations):
    for _ in range(4):
        process = Process(fleet, role)
        time.sleep(draw.uniform(STARTED_SECONDS, 1))
        until = time.monotonic() + GRACE_SECONDS
        while not process.ended and time.monotonic() < until:
            process.send(draw.choice((*TERMINATIONS, signal.SIGHUP)))
            time.sleep(0.0002)
        process.check_end(violations, "told to end repeatedly")


def other_signals(fleet, role, draw, violations):
    process = Process(fleet, role)
    time.sleep(STARTED_SECONDS)
    for number in OTHERS:
        process.send(number)
        time.sleep(0.02)
        if process.ended or process.status("State").startswith("T"):
            violations.append("%s ended or stood still after signal %d" % (role, number))
            process.send(signal.SIGKILL)
            process.wait()
            process = Process(fleet, role)
            time.sleep(STARTED_SECONDS)
    process.send(signal.SIGQUIT)
    process.check_end(violations, "sent SIGQUIT")


CASES = {case.__name__: case for case in (first_instructions, ignored_by_the_parent, drawn_moments, repeated_termination, other_signals)}


def play(arguments, seed):
    draw, violations = random.Random("%s %d" % (arguments.case, seed)), []
    for role in ROLES:
        fleet = Fleet(arguments.root, os.path.join(os.path.abspath(arguments.build), "herontally"), History(), edges=1)
        try:
            CASES[arguments.case](fleet, role, draw, violations)
        finally:
            fleet.remove()
    return violations


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("root")
    parser.add_argument("build")
    parser.add_argument("case", choices=list(CASES))
    parser.add_argument("--seeds", default="1..1", help="as A..B")
    arguments = parser.parse_args()
    first, last = (int(part) for part in arguments.seeds.split(".."))
    failed = 0
    for seed in range(first, last + 1):
        violations = play(arguments, seed)
        failed += bool(violations)
        print("seed %d, %s: %s" % (seed, arguments.case, "failed" if violations else "passed"), flush=True)
        for violation in violations:
            print("  " + violation, flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
