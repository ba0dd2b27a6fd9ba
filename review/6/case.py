"""Case 6: a line of turns whose inputs are as long as the caps allow is forgotten while its last turn is still kept."""
import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "harness-2"))
from fleet import MODEL, ZONES, CannotRun, Engine, Fleet, Turns, configuration, route, run_case, service  # noqa: E402

RETAIN_SECONDS = 20.0
BODY_CAP = 4194304  # caps.body_bytes of the configuration
SHORT = 5100  # the sheet's mean request
# When each turn is sent, in seconds after the first one. Each one goes on from the turn before it.
TIMES = (0, 16, 32, 48, 64, 80, 96)


async def play(record, fleet, trouble):
    turns = route("turns", "/turns/", "models", "streaming", retained=True, retain_s=RETAIN_SECONDS, affine=True,
                  resumable=False, gap_target_ms=300)
    await fleet.start()
    if not await fleet.configure(configuration(1, [turns], [service("models", engine=MODEL)]), 0):
        raise CannotRun("the first configuration isn't taken")
    await fleet.wait_until_ready()
    sender, previous, begun, held = Turns(fleet), None, time.monotonic(), True
    edges = fleet.of_kind("edge")
    for number, moment in enumerate(TIMES):
        await asyncio.sleep(max(0, begun + moment - time.monotonic()))
        long = trouble and number < 2
        # The last turn comes in through another zone.
        edge = edges[1] if number == len(TIMES) - 1 else edges[0]
        body = random.randbytes(BODY_CAP if long else SHORT)
        expected = (sender.answered[previous][1] if previous else b"") + body
        age = time.monotonic() - sender.answered[previous][0] if previous else 0
        answer, turn = await sender.send(edge, body, previous, program="p")
        record.say("turn %d, %d bytes, %.1f s after the end of the turn before it, to %s: %s" % (
            number + 1, len(body), age, edge.name, answer))
        for _, received in fleet.runs.get(turn, []):
            if received != expected:
                record.say("UNASKED: the engine got another body than the line's")
                held = False
        if previous and answer.status in (404, 410) and age < RETAIN_SECONDS:
            record.say("LOST: %d, though the turn before it was answered whole %.1f s ago and retain_s is %.0f" % (
                answer.status, age, RETAIN_SECONDS))
            return False
        if answer.status != 200 or not answer.complete:
            raise CannotRun("turn %d isn't served, which this case doesn't judge" % (number + 1))
        previous = turn
    return held


async def main(record, trouble):
    random.seed(6)
    fleet = Fleet(record, cores=3)
    fleet.engines = [Engine(fleet, "models", zone) for zone in ZONES]
    try:
        return await play(record, fleet, trouble)
    finally:
        fleet.stop()


if __name__ == "__main__":
    run_case(main, FOLDER)
