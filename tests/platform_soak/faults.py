"""Faults of the platform soak test, drawn from a seed: planned restarts, losses, and valid and malformed commands of the
operator. They overlap, but stay within what the fleet must tolerate."""
import asyncio
import json
import shutil
import signal

from clients import configuration
from connection import request
from fleet import CONTROL, GRACE_SECONDS, RESTART_SECONDS

# Groups of cores and storage machines have recovered this long after a fault.
RECOVERY_SECONDS = 6
COMMAND_TIMEOUT_SECONDS = 6
PLANNED = ("roll", "roll", "roll", "hup", "change", "odd")
ALL_KINDS = PLANNED + ("kill", "freeze", "data")
NESTED = "[" * 200000 + "]" * 200000
# Amendments that can't be parsed: each must get a 4xx status.
MALFORMED_AMENDMENTS = (
    '{"generation":%d,"upsert":{"routing":{"label":"x"}}}', '{"generation":%d,"upsert":{"generation":{"a":1}}}',
    '{"generation":%d,"upsert":{"backends":{"label":"x"}}}', '{"generation":%d,"remove":{"routing":{"labels":1}}}',
    '{"generation":%d,"upsert":{"caps":{"a":' + NESTED + '}}}', '{"generation":%d,"upsert":[]', '[]', '')


class Operator:
    """Sends configuration changes one at a time, and remembers the last one sent and the last one acknowledged."""

    def __init__(self, fleet, history, draw):
        self._fleet, self._history, self._random = fleet, history, draw
        self._lock = asyncio.Lock()
        self.acknowledged, self.sent = 0, 0

    async def read(self):
        """The generation of the configuration by the first core that responds; None: none did."""
        for core in self._fleet.of_kind("core"):
            response = await request(core.address(CONTROL), "GET", "/-/config/read")
            if response.status == 200 and response.body is not None:
                return json.loads(response.body)["generation"]
        return None

    async def _send_command(self, path, base, body):
        """Retries until the status is 200 or 4xx, and returns it; 0: there was none in time."""
        cores = self._fleet.of_kind("core")
        loop = asyncio.get_running_loop()
        until = loop.time() + COMMAND_TIMEOUT_SECONDS
        headers = {"X-Base-Version": str(base), "Content-Type": "application/json"}
        while loop.time() < until:
            response = await request(self._random.choice(cores).address(CONTROL), "POST", path, headers, body)
            if response.status is not None and (response.status == 200 or 400 <= response.status < 500):
                return response.status
            await asyncio.sleep(0.2)
        return 0

    async def change(self):
        async with self._lock:
            # The first one is sent unchanged until it is taken.
            base = await self.read() if self.acknowledged else 0
            if base is None:
                return
            self.sent = max(self.sent, base) + 1 if self.acknowledged else 1
            body = json.dumps(configuration(self.sent, self.sent)).encode()
            status = await self._send_command("/-/config/replace", base, body)
            self._history.counts["changes %d" % status] += 1
            if status == 200:
                self.acknowledged = self.sent

    async def send_malformed(self):
        base = await self.read()
        if base is None:
            return
        body = self._random.choice(MALFORMED_AMENDMENTS)
        status = await self._send_command("/-/config/amend", base, (body % (base + 1) if "%d" in body else body).encode())
        self._history.counts["malformed amendments %d" % status] += 1
        if status == 200:
            self._history.violate("CONFIG", "a malformed amendment was acknowledged: %s" % body[:80])


class Injector:
    """Draws faults and runs them concurrently."""

    def __init__(self, fleet, history, operator, draw, kinds):
        self._fleet, self._history, self._operator, self._random, self._kinds = fleet, history, operator, draw, kinds
        self._busy, self._tasks = set(), []

    def inject(self):
        """Starts one more fault beside those in progress; skips it if the fleet need not tolerate it now."""
        kind = self._random.choice(self._kinds)
        if kind == "change":
            return self._spawn(self._operator.change())
        if kind == "odd":
            return self._spawn(self._operator.send_malformed())
        if kind == "data":
            return self._inject_data_fault()
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
        # At least half of the edge machines stay up.
        return self._random.choice(free) if len(free) * 2 > len(edges) else None

    async def _while_busy(self, claim, work, recovery=0):
        """Runs `work`, with no other fault on `claim` until `recovery` seconds after its end."""
        self._busy.add(claim)
        await work
        await asyncio.sleep(recovery)
        self._busy.discard(claim)

    async def _stop_gracefully(self, machine):
        for process in machine.processes:
            process.signal(signal.SIGTERM)
        until = asyncio.get_running_loop().time() + GRACE_SECONDS
        repeat = self._random.random() < 0.3
        while any(process.running for process in machine.processes) and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.05)
            if repeat and self._random.random() < 0.05:
                # A second SIGTERM must change nothing.
                repeat = False
                for process in machine.processes:
                    process.signal(signal.SIGTERM)
        for process in machine.processes:
            if process.running:
                self._history.violate("GRACE", "%s still runs %d s after SIGTERM" % (process.name, GRACE_SECONDS))
                process.signal(signal.SIGKILL)
                await process.child.wait()

    async def _start(self, machine):
        await asyncio.sleep(RESTART_SECONDS)
        for process in machine.processes:
            await process.start()

    async def _roll(self, machine):
        self._history.record_notice(machine)
        await self._stop_gracefully(machine)
        await self._start(machine)

    async def _hup(self, machine):
        for process in machine.processes:
            process.signal(signal.SIGHUP)
        await asyncio.sleep(1)

    async def _kill(self, machine):
        fault = self._history.begin_fault(machine)
        for process in machine.processes:
            process.signal(signal.SIGKILL)
            if process.child:
                await process.child.wait()
        await self._start(machine)
        self._history.end_fault(fault)

    async def _freeze(self, machine):
        fault = self._history.begin_fault(machine)
        for process in machine.processes:
            process.signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.2, 4))
        for process in machine.processes:
            process.signal(signal.SIGCONT)
        self._history.end_fault(fault)

    def _inject_data_fault(self):
        # One loss at a time in each of the two groups: three voters tolerate no more.
        kind = self._random.choice(("core", "storage"))
        if kind in self._busy:
            return None
        machine = self._random.choice(self._fleet.of_kind(kind))
        manner = self._random.choice(("term", "kill", "freeze", "wipe"))
        self._history.counts["%s of %s" % (manner, kind)] += 1
        return self._spawn(self._while_busy(kind, self._take_down(machine, manner), RECOVERY_SECONDS))

    async def _take_down(self, machine, manner):
        if manner == "freeze":
            return await self._freeze(machine)
        if manner == "kill":
            return await self._kill(machine)
        fault = self._history.begin_fault(machine)
        if manner == "wipe":
            machine.processes[0].signal(signal.SIGKILL)
            await machine.processes[0].child.wait()
            shutil.rmtree(machine.disk, ignore_errors=True)
        else:
            await self._stop_gracefully(machine)
        await self._start(machine)
        self._history.end_fault(fault)
        return None
