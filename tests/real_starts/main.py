"""Starts fleets of real processes under what a real machine does at a start: ports that are held, data folders that don't exist, processes
that start in any order, are killed before the first configuration, get signals, or start while their predecessors still run; and ends of
processes again and again, beside clients that go on using their connections.

Usage: main.py ROOT BUILD --seeds A..B [--cases CASE,...] [--cores N] [--stores N] [--edges N]

The settings say `genesis = true` at the first start of each process alone. Each seed plays every case. Exit code 1: a process
ended by itself, one that was told to end did so late or with another code than 0, or a fleet didn't begin, wasn't ready or lost its
configuration. It guards against the ends and the fleets that never begin of issues 52 and 58 (rule FAULT)."""
import argparse
import asyncio
import fcntl
import os
import random
import re
import resource
import signal
import socket
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "platform_soak"))

import fleet as fleet_module  # noqa: E402
from clients import Client  # noqa: E402
from faults import Operator  # noqa: E402
from fleet import CONTROL, FIRST_PORT, GRACE_SECONDS, INGRESS, READINESS, RESTART_SECONDS, ZONES, Engine, Fleet, Process  # noqa: E402
from history import History  # noqa: E402

READY_SECONDS = 30
# Of what the inner and http addresses of both roles on a machine use.
RANGE_PORTS = range(FIRST_PORT, FIRST_PORT + 4)
MAX_LOG_BYTES = 4096
# Of the case that ends processes again and again.
DISTURBED_SECONDS = 8
CLIENTS = 16
SMALL_PIPE_BYTES = 4096
# Until a process that was told to end is taken for one that hangs.
END_SECONDS = 2 * GRACE_SECONDS
STANDARD_STREAMS = (0, 1, 2)


class StartingFleet(Fleet):
    """A fleet whose processes may start only later, and whose settings name folders that don't exist yet."""

    def __init__(self, draw, *arguments, **options):
        super().__init__(*arguments, **options)
        self.operator = Operator(self, self.history, draw)
        self.started, self.ending = set(), set()
        self.folder_depth, self.unread_logs, self.pipes, self.bootstrap = 0, False, [], True

    def open_log(self, process):
        """With `unread_logs` a small pipe that nobody reads."""
        if not self.unread_logs:
            return super().open_log(process)
        reader, writer = os.pipe()
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, SMALL_PIPE_BYTES)
        self.pipes.append(reader)
        return os.fdopen(writer, "wb")

    async def begin(self):
        """Sends a first configuration until it is acknowledged."""
        loop = asyncio.get_running_loop()
        until = loop.time() + READY_SECONDS
        while not self.operator.acknowledged and loop.time() < until:
            await self.operator.change()
        if not self.operator.acknowledged:
            self.history.violate("BEGIN", "no configuration was acknowledged")

    def write_settings(self, process):
        self.genesis = process.name not in self.started
        self.started.add(process.name)
        path = super().write_settings(process)
        if not self.bootstrap:
            with open(path) as file:
                text = file.read()
            with open(path, "w") as file:
                file.write(re.sub(r"bootstrap = \[.*\]", "bootstrap = []", text))
        if self.folder_depth and process.machine.kind != "edge":
            with open(path) as file:
                text = file.read()
            deeper = os.path.join(process.machine.disk, *["level"] * self.folder_depth)
            with open(path, "w") as file:
                file.write(text.replace('state_dir = "%s"' % process.machine.disk, 'state_dir = "%s"' % deeper))
        return path

    @property
    def processes(self):
        return [process for machine in self.machines for process in machine.processes]

    async def start_others(self):
        """Starts the platform's list and the engines."""
        host, port = self.platform.split(":")
        await asyncio.start_server(self._serve_engine_list, host, int(port))
        for engine in self.engines:
            await engine.start()

    async def start_in_order(self, processes, pause):
        """Starts the platform's list and the engines, then the processes, `pause()` seconds apart."""
        await self.start_others()
        for process in processes:
            await process.start()
            await asyncio.sleep(pause())


async def start_successor(fleet, process):
    """Starts another process of the same role on the same machine."""
    successor = Process(fleet, process.machine, process.role)
    process.machine.processes.append(successor)
    await successor.start()


def hold(address, seconds):
    """Another program listens at the address for this long."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(address)
    holder.listen()
    asyncio.get_running_loop().call_later(seconds, holder.close)


async def no_trouble(fleet, draw):
    await fleet.start_in_order(fleet.processes, lambda: 0)


async def held_ports(fleet, draw):
    for machine in fleet.machines:
        ports = {*RANGE_PORTS, CONTROL, INGRESS, READINESS}
        for port in draw.sample(sorted(ports), draw.randrange(0, 4)):
            hold((machine.ip, port), draw.uniform(0.1, 3))
    await fleet.start_in_order(fleet.processes, lambda: 0)


async def missing_folders(fleet, draw):
    fleet.folder_depth = draw.randrange(1, 5)
    await fleet.start_in_order(fleet.processes, lambda: 0)


async def any_order(fleet, draw):
    processes = fleet.processes
    draw.shuffle(processes)
    await fleet.start_in_order(processes, lambda: draw.choice((0, 0, 0.2, 1)))


def has_identity(core):
    """Whether the core has stored its identity: a seed that is killed before can't be told from one that lost its disk."""
    for name in os.listdir(core.disk):
        with open(os.path.join(core.disk, name), "rb") as file:
            if b"@voter" in file.read():
                return True
    return False


async def killed_seeds(fleet, draw):
    """Seeds, or all cores, are killed around the founding, some of them again."""
    cores = fleet.of_kind("core")
    seeds = cores[:3]
    await fleet.start_in_order([process for core in cores for process in core.processes], lambda: 0)

    while not all(has_identity(seed) for seed in seeds):
        await asyncio.sleep(0.002)
    for latest in draw.sample((0.04, 0.1, 0.2), draw.randrange(1, 4)):
        await asyncio.sleep(draw.uniform(0, latest))
        processes = [process for core in draw.choice((seeds, cores)) for process in core.processes if process.running]
        for process in processes:
            process.signal(signal.SIGKILL)
        for process in processes:
            await process.child.wait()
            await start_successor(fleet, process)
    for process in fleet.processes:
        if process.machine.kind != "core":
            await process.start()


async def signals(fleet, draw):
    """Signals that don't tell a daemon to end, from the start on."""
    numbers = (signal.SIGHUP, signal.SIGPIPE, signal.SIGUSR1, signal.SIGUSR2, signal.SIGXFSZ, signal.SIGCONT, signal.SIGWINCH)
    await fleet.start_in_order(fleet.processes, lambda: 0.03)
    for _ in range(300):
        draw.choice(fleet.processes).signal(draw.choice(numbers))
        await asyncio.sleep(0.01)


async def overlapping_processes(fleet, draw):
    """A process is told to end, and its successor starts while it still runs, with its ports and its data folder."""
    await fleet.start_in_order(fleet.processes, lambda: 0)
    await asyncio.sleep(draw.uniform(0, 3))
    for process in draw.sample(fleet.processes, 8):
        process.signal(signal.SIGTERM)
        await start_successor(fleet, process)
        await asyncio.sleep(draw.uniform(0, 0.5))


def executes_own_code(process):
    """Whether the process has a handler of its own for SIGTERM, or threads: before, signals meet the kernel's default actions."""
    try:
        with open("/proc/%d/status" % process.child.pid) as file:
            fields = dict(line.split(":", 1) for line in file)
        return int(fields["Threads"]) > 1 or int(fields["SigCgt"], 16) >> (signal.SIGTERM - 1) & 1
    except (OSError, KeyError):
        return False


async def wait_until_own_code(process):
    while process.running and not executes_own_code(process):
        await asyncio.sleep(0)


async def killed_early(fleet, draw):
    """One of the seeds is killed so soon after its first start that nothing may be on its disk."""
    seed = draw.choice(fleet.of_kind("core")[:3]).processes[0]
    await fleet.start_in_order([seed], lambda: 0)
    await wait_until_own_code(seed)
    await asyncio.sleep(draw.choice((0, 0, 0.001, 0.005)))
    seed.signal(signal.SIGKILL)
    await seed.child.wait()
    successor = Process(fleet, seed.machine, seed.role)
    seed.machine.processes[:] = [successor]
    for process in fleet.processes:
        await process.start()


async def early_notices(fleet, draw):
    """All cores are told to end as soon as they execute code of their own, and start again: it isn't the first start any more."""
    await fleet.start_others()
    for process in [process for core in fleet.of_kind("core") for process in core.processes]:
        await process.start()
        await wait_until_own_code(process)
        await asyncio.sleep(draw.uniform(0, 0.02))
        for number in (signal.SIGHUP, signal.SIGTERM):
            process.signal(number)
    for process in fleet.processes:
        if process.child:
            await process.child.wait()
        await start_again(fleet, process)


async def start_again(fleet, process):
    """Starts a process that was told to end and has ended, as another object, since its end may not have been judged yet."""
    successor = Process(fleet, process.machine, process.role)
    process.machine.processes[process.machine.processes.index(process)] = successor
    await successor.start()


async def end_in_series(fleet, draw):
    """Tells some processes to end, each up to three times within 50 ms, and starts them again once they have ended.

    What is told to end before any code of its own runs meets the kernel's default action: such a process is left out."""
    free = [process for process in fleet.processes
            if process.running and process not in fleet.ending and executes_own_code(process)]
    chosen = draw.sample(free, min(len(free), draw.choice((1, 1, 2, 3, 5))))
    fleet.ending.update(chosen)
    for process in chosen:
        for _ in range(draw.choice((1, 2, 3))):
            process.signal(signal.SIGTERM)
            await asyncio.sleep(draw.choice((0, 0, 0.001, 0.05)))
    for process in chosen:
        await process.child.wait()
        await asyncio.sleep(RESTART_SECONDS)
        await start_again(fleet, process)


async def repeated_notices(fleet, draw):
    """Processes are told to end in series that overlap, beside clients that keep their connections."""
    await fleet.start_in_order(fleet.processes, lambda: 0)
    # Requests that are lost beside several ends at once are no part of this test.
    ignored = History()
    await fleet.begin()
    clients = [fleet.spawn(Client(number, draw.random(), fleet, ignored).run()) for number in range(CLIENTS)]
    loop = asyncio.get_running_loop()
    until, series = loop.time() + DISTURBED_SECONDS, []
    while loop.time() < until:
        series.append(fleet.spawn(end_in_series(fleet, draw)))
        await asyncio.sleep(draw.choice((0.1, 0.5, 1)))
    await asyncio.gather(*series)
    for client in clients:
        client.cancel()


async def unread_logs(fleet, draw):
    """Nobody reads the logs: after some lines their pipe is full. Processes serve on, and end when they are told to."""
    fleet.unread_logs = True
    await fleet.start_in_order(fleet.processes, lambda: 0)
    await fleet.begin()
    for _ in range(20):
        for process in fleet.processes:
            process.signal(signal.SIGHUP)
        await fleet.operator.change()
    for process in fleet.processes:
        process.signal(signal.SIGTERM)
    for process in fleet.processes:
        if not await fleet.wait_until(lambda: has_ended(process), END_SECONDS):
            fleet.history.violate("GRACE", "%s, told to end, still runs" % process.name)
            process.signal(signal.SIGKILL)
            await process.child.wait()
        await start_again(fleet, process)


async def has_ended(process):
    return not process.running


async def empty_bootstrap(fleet, draw):
    """One process of each role starts again while no machine serves control: its settings name no other node."""
    await fleet.start_in_order(fleet.processes, lambda: 0)
    await fleet.begin()
    await fleet.wait_until(fleet.is_ready, READY_SECONDS)
    fleet.bootstrap = False
    for process in [fleet.of_kind("core")[0].processes[0], fleet.of_kind("storage")[0].processes[0], *fleet.of_kind("edge")[0].processes]:
        process.signal(signal.SIGTERM)
        await process.child.wait()
        await start_again(fleet, process)
    await asyncio.sleep(1)


async def closed_streams(fleet, draw):
    """Standard input, output and error are closed: no file or socket may take their numbers, and get what is logged."""
    inherited = fleet_module.die_with_parent

    def closed():
        inherited()
        for descriptor in STANDARD_STREAMS:
            os.close(descriptor)

    fleet_module.die_with_parent = closed
    try:
        await fleet.start_in_order(fleet.processes, lambda: 0)
    finally:
        fleet_module.die_with_parent = inherited
    await fleet.begin()
    for process in fleet.processes:
        for descriptor in STANDARD_STREAMS:
            target = os.readlink("/proc/%d/fd/%d" % (process.child.pid, descriptor))
            if target != os.devnull:
                fleet.history.violate("STREAM", "%s has %s as descriptor %d" % (process.name, target, descriptor))


async def file_size_limit(fleet, draw):
    """No file may grow beyond some kilobytes. Edges have no data; their logs are the files."""
    inherited = fleet_module.die_with_parent

    def limited():
        inherited()
        resource.setrlimit(resource.RLIMIT_FSIZE, (MAX_LOG_BYTES, MAX_LOG_BYTES))

    others = [process for process in fleet.processes if process.machine.kind != "edge"]
    edges = [process for process in fleet.processes if process.machine.kind == "edge"]
    await fleet.start_in_order(others, lambda: 0)
    fleet_module.die_with_parent = limited
    try:
        for process in edges:
            await process.start()
    finally:
        fleet_module.die_with_parent = inherited


CASES = {case.__name__: case for case in (no_trouble, held_ports, missing_folders, any_order, killed_seeds, killed_early,
                                          early_notices, signals, overlapping_processes, repeated_notices, empty_bootstrap, unread_logs,
                                          closed_streams, file_size_limit)}


async def play(arguments, case, seed):
    draw, history = random.Random("%s %d" % (case, seed)), History()
    fleet = StartingFleet(draw, arguments.root, os.path.join(arguments.build, "herontally"), history, arguments.edges,
                          arguments.cores, arguments.stores)
    for zone in ZONES:
        fleet.engines += [Engine(fleet, service, zone, 64) for service in ("labels", "turns")]
    operator, kept = fleet.operator, None
    try:
        await CASES[case](fleet, draw)
        await fleet.begin()
        if not await fleet.wait_until(fleet.is_ready, READY_SECONDS):
            history.violate("BEGIN", "not every edge is ready")
        if await operator.read() != operator.acknowledged:
            history.violate("CONFIG", "another configuration than the acknowledged one is read")
    finally:
        if arguments.keep and history.violations:
            kept = os.path.join(arguments.keep, "%s-%d" % (case, seed))
        await fleet.stop(kept)
    return history.violations


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("root")
    parser.add_argument("build")
    parser.add_argument("--seeds", default="1..1", help="as A..B")
    parser.add_argument("--cases", type=lambda text: text.split(","), default=list(CASES), help="of " + ", ".join(CASES))
    parser.add_argument("--cores", type=int, default=5)
    parser.add_argument("--stores", type=int, default=3)
    parser.add_argument("--edges", type=int, default=3)
    parser.add_argument("--keep", help="a folder for the logs of failed runs")
    arguments = parser.parse_args()
    arguments.build = os.path.abspath(arguments.build)
    first, last = (int(part) for part in arguments.seeds.split(".."))
    failed = 0
    for seed in range(first, last + 1):
        for case in arguments.cases:
            violations = asyncio.run(play(arguments, case, seed))
            failed += bool(violations)
            print("seed %d, %s: %s" % (seed, case, "failed" if violations else "passed"), flush=True)
            for violation in violations[:8]:
                print("  " + violation, flush=True)
    print("%d runs, %d failed" % ((last - first + 1) * len(arguments.cases), failed))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
