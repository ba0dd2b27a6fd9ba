"""Soak test of the interface of the users' platform: a fleet of real processes under clients with keep-alive connections,
and faults drawn from a seed.

Usage: main.py ROOT BUILD --seeds A..B [--seconds N] [--edges N] [--clients N] [--kinds KIND,...]

Odd seeds draw only planned restarts and operator commands, so that no unplanned fault excuses a lost request; even seeds
draw all kinds. Exit code 1: a run violated a rule; its seed, violations and counts are printed. It guards against requests
that end without a response during planned work (rule LOST, review case 3)."""
import argparse
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from clients import Client  # noqa: E402
from faults import ALL_KINDS, PLANNED, Injector, Operator  # noqa: E402
from fleet import ZONES, Engine, Fleet  # noqa: E402
from history import History  # noqa: E402

READY_SECONDS = 30
MAX_FAULT_GAP_SECONDS = 1.5
MAX_PRINTED_VIOLATIONS = 8
ENGINE_CAPACITY = 64


async def run_seed(arguments, seed):
    draw, history = random.Random(seed), History()
    fleet = Fleet(arguments.root, os.path.join(arguments.build, "herontally"), history, arguments.edges)
    for zone in ZONES:
        fleet.engines += [Engine(fleet, service, zone, ENGINE_CAPACITY) for service in ("labels", "turns")]
    # A small capacity, so that requests queue for it.
    fleet.engines.append(Engine(fleet, "batches", ZONES[0], 2))
    operator = Operator(fleet, history, draw)
    fleet.spawn(history.measure_lag())
    try:
        await fleet.start()
        while not operator.acknowledged:
            await operator.change()
        if not await fleet.wait_until(fleet.is_ready, READY_SECONDS):
            history.violate("BEGIN", "not every edge is ready")
        clients = [fleet.spawn(Client(number, seed, fleet, history).run()) for number in range(arguments.clients)]
        kinds = arguments.kinds or (PLANNED if seed % 2 else ALL_KINDS)
        await inject_faults(arguments, draw, Injector(fleet, history, operator, draw, kinds))
        await asyncio.sleep(2)
        if not await fleet.wait_until(fleet.is_ready, READY_SECONDS):
            history.violate("RECOVER", "not every edge is ready %d s after the faults" % READY_SECONDS)
        for client in clients:
            client.cancel()
        await check_configuration(fleet, history, operator)
        history.check_refusals()
    finally:
        kept = os.path.join(arguments.keep, "seed-%d" % seed) if arguments.keep and history.violations else None
        await fleet.stop(kept)
    return history


async def inject_faults(arguments, draw, injector):
    loop = asyncio.get_running_loop()
    # Connections become idle first.
    await asyncio.sleep(min(6, arguments.seconds / 3))
    end = loop.time() + arguments.seconds
    while loop.time() < end:
        injector.inject()
        await asyncio.sleep(draw.uniform(0, MAX_FAULT_GAP_SECONDS))
    await injector.wait()


async def check_configuration(fleet, history, operator):
    results = []

    async def read():
        results.append(await operator.read())
        return results[-1] is not None

    if not await fleet.wait_until(read, READY_SECONDS):
        history.violate("CONFIG", "no core returns the configuration")
    elif not operator.acknowledged <= results[-1] <= operator.sent:
        history.violate("CONFIG", "%d was acknowledged, %d is in force" % (operator.acknowledged, results[-1]))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("root")
    parser.add_argument("build")
    parser.add_argument("--seeds", default="1..1", help="as A..B")
    parser.add_argument("--seconds", type=float, default=20, help="how long faults are injected in each run")
    parser.add_argument("--edges", type=int, default=6)
    parser.add_argument("--clients", type=int, default=40)
    parser.add_argument("--kinds", type=lambda text: tuple(text.split(",")), help="kinds of faults to draw from, comma-separated")
    parser.add_argument("--keep", help="a folder for the logs of failed runs")
    arguments = parser.parse_args()
    arguments.build = os.path.abspath(arguments.build)
    first, last = (int(part) for part in arguments.seeds.split(".."))
    failed = 0
    for seed in range(first, last + 1):
        history = asyncio.run(run_seed(arguments, seed))
        failed += bool(history.violations)
        print("seed %d: %s %s" % (seed, "failed" if history.violations else "passed", dict(sorted(history.counts.items()))), flush=True)
        for violation in history.violations[:MAX_PRINTED_VIOLATIONS]:
            print("  " + violation, flush=True)
    print("%d seeds, %d failed" % (last - first + 1, failed))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
