"""Soak of the users' platform's interface: a fleet of real processes under clients that keep their connections, and faults
drawn from a seed.

Usage: main.py ROOT BUILD --seeds A..B [--seconds N] [--edges N] [--clients N] [--kinds KIND,...]

Odd seeds draw planned work and orders alone, so that no other trouble excuses a lost request; even seeds draw everything.
Exit code 1: a run broke a rule; its seed, what it broke and its counts are printed. It guards against review case 3 (LOST)."""
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
SHOWN_VIOLATIONS = 8
ENGINE_CAPACITY = 64


async def play(arguments, seed):
    draw, history = random.Random(seed), History()
    fleet = Fleet(arguments.root, os.path.join(arguments.build, "herontally"), history, arguments.edges)
    for zone in ZONES:
        fleet.engines += [Engine(fleet, service, zone, ENGINE_CAPACITY) for service in ("labels", "turns")]
    # Jobs wait for it.
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
        await strike(arguments, draw, Injector(fleet, history, operator, draw, kinds))
        await asyncio.sleep(2)
        if not await fleet.wait_until(fleet.is_ready, READY_SECONDS):
            history.violate("RECOVER", "not every edge is ready %d s after the faults" % READY_SECONDS)
        for client in clients:
            client.cancel()
        await check_configuration(fleet, history, operator)
        history.judge_refusals()
    finally:
        kept = os.path.join(arguments.keep, "seed-%d" % seed) if arguments.keep and history.violations else None
        await fleet.end(kept)
    return history


async def strike(arguments, draw, injector):
    loop = asyncio.get_running_loop()
    # Connections come to rest first.
    await asyncio.sleep(min(6, arguments.seconds / 3))
    end = loop.time() + arguments.seconds
    while loop.time() < end:
        injector.strike()
        await asyncio.sleep(draw.uniform(0, MAX_FAULT_GAP_SECONDS))
    await injector.wait()


async def check_configuration(fleet, history, operator):
    told = []

    async def read():
        told.append(await operator.read())
        return told[-1] is not None

    if not await fleet.wait_until(read, READY_SECONDS):
        history.violate("CONFIG", "no core tells the configuration")
    elif not operator.acknowledged <= told[-1] <= operator.sent:
        history.violate("CONFIG", "%d was acknowledged, %d is in force" % (operator.acknowledged, told[-1]))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("root")
    parser.add_argument("build")
    parser.add_argument("--seeds", default="1..1", help="as A..B")
    parser.add_argument("--seconds", type=float, default=20, help="how long faults are struck in each run")
    parser.add_argument("--edges", type=int, default=6)
    parser.add_argument("--clients", type=int, default=40)
    parser.add_argument("--kinds", type=lambda text: tuple(text.split(",")), help="what faults are drawn from, with commas between")
    parser.add_argument("--keep", help="a folder that takes the logs of broken runs")
    arguments = parser.parse_args()
    arguments.build = os.path.abspath(arguments.build)
    first, last = (int(part) for part in arguments.seeds.split(".."))
    broken = 0
    for seed in range(first, last + 1):
        history = asyncio.run(play(arguments, seed))
        broken += bool(history.violations)
        print("seed %d: %s %s" % (seed, "broken" if history.violations else "kept", dict(sorted(history.counts.items()))), flush=True)
        for violation in history.violations[:SHOWN_VIOLATIONS]:
            print("  " + violation, flush=True)
    print("%d seeds, %d broken" % (last - first + 1, broken))
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
