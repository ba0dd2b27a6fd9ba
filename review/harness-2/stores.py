"""What the cases about lost disks of store machines share: a fleet whose stores keep many turns, and a steady load beside."""
import asyncio
import os
import random
import shutil

from fleet import BOUNDS, MODEL, ZONES, CannotRun, Engine, Fleet, Turns, configuration, route, service

RETAIN_SECONDS = 60.0
TURN_BYTES = 31000  # the sheet's largest request
FILLERS, LOAD_PER_SECOND, LOAD_BYTES = 24, 40, 5100
SHARE_SERVED = 0.25


def document(generation):
    turns = route("turns", "/turns/", "models", "streaming", retained=True, retain_s=RETAIN_SECONDS, affine=True,
                  resumable=False, gap_target_ms=300)
    return configuration(generation, [turns], [service("models", engine=MODEL)])


class Stores:
    def __init__(self, record, stores, kept_bytes, down_seconds):
        self.record, self.fleet, self.kept_bytes, self.down_seconds = record, Fleet(record, stores=stores), kept_bytes, down_seconds
        self.fleet.engines = [Engine(self.fleet, "models", zone) for zone in ZONES for _ in range(2)]
        self.turns, self.tasks = Turns(self.fleet), []

    def edge(self):
        return random.choice(self.fleet.of_kind("edge"))

    async def fill(self):
        """Sends turns until the stores keep about as many bytes as asked for."""
        body, sent, refused = random.randbytes(TURN_BYTES), 0, 0

        async def work():
            nonlocal sent, refused
            while sent * TURN_BYTES < self.kept_bytes:
                sent += 1
                answer, _ = await self.turns.send(self.edge(), body)
                if answer.status != 200 or not answer.complete:
                    sent -= 1
                    refused += 1
                    if refused > 400:
                        return
                    await asyncio.sleep(0.1)

        begun = self.record.now()
        await asyncio.gather(*(work() for _ in range(FILLERS)))
        self.record.say("%d turns of %d bytes are kept after %.1f s; %d tries weren't served" % (
            len(self.turns.answered), TURN_BYTES, self.record.now() - begun, refused))

    async def keep_load(self):
        """First turns at a steady rate, far below what the deployment's sheet sends."""
        body = random.randbytes(LOAD_BYTES)
        while True:
            asyncio.ensure_future(self.turns.send(self.edge(), body))
            await asyncio.sleep(1 / LOAD_PER_SECOND)

    async def lose_disk(self, store):
        self.record.say("%s is killed and loses its disk" % store.name)
        await store.kill()
        shutil.rmtree(store.disk)
        await asyncio.sleep(self.down_seconds)
        store.start()
        self.record.say("%s is back, with an empty disk" % store.name)

    async def share_served(self, count=40):
        """The share of requests that is served: first turns, and turns that go on from kept ones."""
        kept = random.sample(sorted(self.turns.answered), count // 2)
        tries = [self.turns.send(self.edge(), b"a first turn") for _ in range(count // 2)]
        tries += [self.turns.send(self.edge(), b"a further turn", previous) for previous in kept]
        answers = await asyncio.gather(*tries)
        return sum(answer.complete and answer.status == 200 for answer, _ in answers) / len(answers)

    async def begin(self):
        """Starts the fleet, fills the stores and starts the load."""
        await self.fleet.start()
        if not await self.fleet.configure(document(1), 0):
            raise CannotRun("the first configuration isn't taken")
        await self.fleet.wait_until_ready()
        await self.fill()
        self.tasks.append(asyncio.ensure_future(self.keep_load()))
        before = await self.share_served()
        self.record.say("served before the losses: %.2f" % before)
        if before < SHARE_SERVED:
            raise CannotRun("too little is served without trouble")

    async def close(self, store):
        """The closing fault: right after a configuration was acknowledged, this store loses its disk (None: no fault). True if
        rule RECOVER holds."""
        if not await self.fleet.configure(document(2), 1):
            raise CannotRun("the second configuration isn't taken")
        if store:
            await self.lose_disk(store)
        await asyncio.sleep(BOUNDS["recovery_s"])
        after = await self.share_served()
        self.record.say("served later than recovery_s after the machines are back: %.2f" % after)
        return after >= SHARE_SERVED

    async def run(self, play):
        try:
            return await play(self)
        finally:
            for task in self.tasks:
                task.cancel()
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(self.fleet.folder, os.environ["KEEP_LOGS"], ignore=shutil.ignore_patterns("disk-*"), dirs_exist_ok=True)
            self.fleet.stop()
