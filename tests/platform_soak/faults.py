"""Faults of a soak on the users' platform, drawn from a seed: planned work in series, losses, and orders of the operator,
sound and odd ones. They overlap, within what the fleet has to bear."""
import asyncio
import json
import shutil
import signal

from clients import configuration
from connection import ask
from fleet import CONTROL, GRACE_SECONDS, RESTART_SECONDS

# Cores and stores are whole again this long after a trouble.
WHOLE_AGAIN_SECONDS = 6
ORDER_SECONDS = 6
PLANNED = ("roll", "roll", "roll", "hup", "change", "odd")
ALL_KINDS = PLANNED + ("kill", "freeze", "data")
NESTED = "[" * 200000 + "]" * 200000
# Amendments that can't be read: each wants a 4xx.
ODD_AMENDMENTS = ('{"generation":%d,"upsert":{"routing":{"label":"x"}}}', '{"generation":%d,"upsert":{"generation":{"a":1}}}',
                  '{"generation":%d,"upsert":{"backends":{"label":"x"}}}', '{"generation":%d,"remove":{"routing":{"labels":1}}}',
                  '{"generation":%d,"upsert":{"caps":{"a":' + NESTED + '}}}', '{"generation":%d,"upsert":[]', '[]', '')


class Operator:
    def __init__(self, fleet, history, draw):
        self._fleet, self._history, self._random = fleet, history, draw
        self._lock = asyncio.Lock()
        self.acknowledged, self.sent = 0, 0

    async def read(self):
        """The generation that a core tells; None: none did."""
        for core in self._fleet.of_kind("core"):
            answer = await ask(core.address(CONTROL), "GET", "/-/config/read")
            if answer.status == 200 and answer.body is not None:
                return json.loads(answer.body)["generation"]
        return None

    async def _order(self, path, base, body):
        """The status of a clear answer; 0: there was none in time."""
        cores = self._fleet.of_kind("core")
        loop = asyncio.get_running_loop()
        until = loop.time() + ORDER_SECONDS
        headers = {"X-Base-Version": str(base), "Content-Type": "application/json"}
        while loop.time() < until:
            answer = await ask(self._random.choice(cores).address(CONTROL), "POST", path, headers, body)
            if answer.status is not None and (answer.status == 200 or 400 <= answer.status < 500):
                return answer.status
            await asyncio.sleep(0.2)
        return 0

    async def change(self):
        async with self._lock:
            base = await self.read() if self.sent else 0
            if base is None:
                return
            self.sent = max(self.sent, base) + 1
            body = json.dumps(configuration(self.sent, self.sent)).encode()
            status = await self._order("/-/config/replace", base, body)
            self._history.counts["changes %d" % status] += 1
            if status == 200:
                self.acknowledged = self.sent

    async def send_odd(self):
        base = await self.read()
        if base is None:
            return
        body = self._random.choice(ODD_AMENDMENTS)
        status = await self._order("/-/config/amend", base, (body % (base + 1) if "%d" in body else body).encode())
        self._history.counts["odd amendments %d" % status] += 1
        if status == 200:
            self._history.violate("CONFIG", "an odd amendment is acknowledged: %s" % body[:80])


class Injector:
    def __init__(self, fleet, history, operator, draw, kinds):
        self._fleet, self._history, self._operator, self._random, self._kinds = fleet, history, operator, draw, kinds
        self._busy, self._tasks = set(), []

    def strike(self):
        """One more fault, beside those that are under way."""
        kind = self._random.choice(self._kinds)
        if kind == "change":
            return self._spawn(self._operator.change())
        if kind == "odd":
            return self._spawn(self._operator.send_odd())
        if kind == "data":
            return self._strike_data()
        machine = self._draw_edge()
        if machine is None:
            return None
        self._history.counts[kind] += 1
        return self._spawn(self._while_busy(machine, getattr(self, "_" + kind)(machine)))

    def _spawn(self, work):
        self._tasks.append(self._fleet.spawn(work))

    async def wait(self):
        await asyncio.gather(*self._tasks)

    def _draw_edge(self):
        edges = self._fleet.of_kind("edge")
        free = [machine for machine in edges if machine not in self._busy]
        # Half of the edges stay.
        return self._random.choice(free) if len(free) * 2 > len(edges) else None

    async def _while_busy(self, claim, work, rest=0):
        self._busy.add(claim)
        await work
        await asyncio.sleep(rest)
        self._busy.discard(claim)

    async def _stop_in_order(self, machine):
        for process in machine.processes:
            process.signal(signal.SIGTERM)
        until = asyncio.get_running_loop().time() + GRACE_SECONDS
        again = self._random.random() < 0.3
        while any(process.running for process in machine.processes) and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.05)
            if again and self._random.random() < 0.05:
                # A second notice changes nothing.
                again = False
                for process in machine.processes:
                    process.signal(signal.SIGTERM)
        for process in machine.processes:
            if process.running:
                self._history.violate("GRACE", "%s still runs %d s after its notice" % (process.name, GRACE_SECONDS))
                process.signal(signal.SIGKILL)
                await process.child.wait()

    async def _start(self, machine):
        await asyncio.sleep(RESTART_SECONDS)
        for process in machine.processes:
            await process.start()

    async def _roll(self, machine):
        self._history.notice(machine)
        await self._stop_in_order(machine)
        await self._start(machine)

    async def _hup(self, machine):
        for process in machine.processes:
            process.signal(signal.SIGHUP)
        await asyncio.sleep(1)

    async def _kill(self, machine):
        spell = self._history.begin_trouble(machine)
        for process in machine.processes:
            process.signal(signal.SIGKILL)
            if process.child:
                await process.child.wait()
        await self._start(machine)
        self._history.end_trouble(spell)

    async def _freeze(self, machine):
        spell = self._history.begin_trouble(machine)
        for process in machine.processes:
            process.signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.2, 4))
        for process in machine.processes:
            process.signal(signal.SIGCONT)
        self._history.end_trouble(spell)

    def _strike_data(self):
        # One loss at a time in each of the two groups: that is what three voters bear.
        kind = self._random.choice(("core", "storage"))
        if kind in self._busy:
            return None
        machine = self._random.choice(self._fleet.of_kind(kind))
        how = self._random.choice(("term", "kill", "freeze", "wipe"))
        self._history.counts["%s of %s" % (how, kind)] += 1
        return self._spawn(self._while_busy(kind, self._lose(machine, how), WHOLE_AGAIN_SECONDS))

    async def _lose(self, machine, how):
        if how == "freeze":
            return await self._freeze(machine)
        if how == "kill":
            return await self._kill(machine)
        spell = self._history.begin_trouble(machine)
        if how == "wipe":
            machine.processes[0].signal(signal.SIGKILL)
            await machine.processes[0].child.wait()
            shutil.rmtree(machine.disk, ignore_errors=True)
        else:
            await self._stop_in_order(machine)
        await self._start(machine)
        self._history.end_trouble(spell)
        return None
