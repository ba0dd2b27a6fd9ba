"""Crowds of clients that keep to no limit, against real processes at every address that they listen at.

Usage: main.py ROOT BUILD CASE

Three cores, three stores and three edges; one machine of each kind has the crowd, at all of its addresses at once. The limits of
memory and descriptors in the settings are low, so that a small crowd reaches them. Checked, for every process: it doesn't end; the
most memory that it had resident is within `memory_mb`, its open descriptors within `max_fds`, as its settings say. An ordinary
client, which tries again as the users' pages say, is served while the crowd stays; one ordinary request is answered with 200 after
the crowd has left, and the operator reads the configuration. No time and no share of served requests is checked (issue 55)."""
import argparse
import asyncio
import itertools
import json
import os
import random
import resource
import signal
import socket
import struct
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "platform_soak"))

import fleet as fleet_module  # noqa: E402
import payloads  # noqa: E402
from clients import HOST  # noqa: E402
from connection import read_head, request  # noqa: E402
from faults import Operator  # noqa: E402
from fleet import CONTROL, FIRST_PORT, GRACE_SECONDS, INGRESS, READINESS, ZONES, Engine, Fleet  # noqa: E402
from history import History  # noqa: E402

MEMORY_MEBIBYTES, MAX_DESCRIPTORS = 64, 400
READY_SECONDS = 30
# How long the crowd goes on at most; a play's length, not a bound.
CROWD_SECONDS = 8
SAMPLE_SECONDS = 0.05
CONNECTIONS_OF_A_CLIENT, CONNECTIONS_OF_A_RESETTING_CLIENT = 2, 8
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# The platform ends a process by force after its grace; this only tells a slow end from none.
END_SECONDS = 2 * GRACE_SECONDS
ORDINARY_TRIES = 6
ORDINARY_TIMEOUT_SECONDS = 4
LAST_TIMEOUT_SECONDS = 15
ENGINE_ANSWER_BYTES = 32 * payloads.MEBIBYTE
ENDLESS_LIST_BYTES = 256 * payloads.MEBIBYTE
SMALL_BUFFER_BYTES = 4096

# Offsets into the port range, as platform/settings.cc gives them.
INNER, AGENT_INNER, PAGES, AGENT_PAGES = (FIRST_PORT + offset for offset in range(4))
HTTP_PORTS = {"edge": (INGRESS, READINESS, PAGES, AGENT_PAGES), "core": (CONTROL, PAGES), "storage": (PAGES,)}
INNER_PORTS = {"edge": (INNER, AGENT_INNER), "core": (INNER,), "storage": (INNER,)}
INGRESS_ALONE = {"edge": (INGRESS,)}
CONTROL_ALONE = {"core": (CONTROL,)}


class Case:
    """A crowd: what each client sends, how many there are at each address, at which ports, whether they read, and whether they
    reset their connections, again and again, instead of staying."""

    def __init__(self, payload, clients, ports=None, reads=True, resets=False, max_descriptors=MAX_DESCRIPTORS,
                 descriptor_limit=None):
        self.payload, self.clients, self.ports, self.reads, self.resets = payload, clients, ports or HTTP_PORTS, reads, resets
        self.max_descriptors, self.descriptor_limit = max_descriptors, descriptor_limit
        self.connections = CONNECTIONS_OF_A_RESETTING_CLIENT if resets else CONNECTIONS_OF_A_CLIENT


def everywhere():
    return {kind: HTTP_PORTS[kind] + INNER_PORTS[kind] for kind in HTTP_PORTS}


CASES = {
    "endless_header": Case(payloads.endless_header, 24),
    "endless_headers": Case(payloads.endless_headers, 24),
    "endless_target": Case(payloads.endless_target, 24),
    "empty_lines": Case(payloads.empty_lines, 24),
    "unfinished_heads": Case(payloads.unfinished_heads, 150),
    "unfinished_chunks": Case(payloads.unfinished_chunks, 24),
    "one_unfinished_chunk": Case(payloads.one_unfinished_chunk, 24),
    "tiny_chunks": Case(payloads.tiny_chunks, 64, INGRESS_ALONE),
    "tiny_segments": Case(payloads.tiny_segments, 32, INGRESS_ALONE),
    "unfinished_body": Case(payloads.unfinished_body, 24),
    "complete_bodies": Case(payloads.complete_bodies, 24),
    "announced_body": Case(payloads.announced_body, 24),
    "endless_chunks": Case(payloads.endless_chunks, 24),
    "endless_chunk_size": Case(payloads.endless_chunk_size, 24),
    "endless_trailers": Case(payloads.endless_trailers, 24),
    "pipelined_requests": Case(payloads.pipelined_requests, 24, reads=False),
    "requests_without_reading": Case(payloads.requests_without_reading, 24, reads=False),
    "pages_without_reading": Case(payloads.pages_without_reading, 24, reads=False),
    "unfinished_frames": Case(payloads.unfinished_frames, 8, INNER_PORTS),
    "empty_objects": Case(payloads.empty_objects, 24, CONTROL_ALONE),
    "nested_arrays": Case(payloads.nested_arrays, 24, CONTROL_ALONE),
    "resets": Case(payloads.of_all_kinds, 24, resets=True),
    "all_kinds_while_ending": Case(payloads.of_all_kinds, 24),
    "endless_engine_list": Case(payloads.nothing, 0),
    "idle_connections": Case(payloads.nothing, 500, everywhere()),
    "idle_connections_at_the_limit": Case(payloads.nothing, 500, everywhere(), max_descriptors=4100, descriptor_limit=400),
    "large_answers": Case(payloads.nothing, 0),
    "large_answers_unread": Case(payloads.nothing, 0),
    "endless_events_unread": Case(payloads.nothing, 0),
    "large_requests_in_calm": Case(payloads.nothing, 0),
}


class TestedEngine(Engine):
    """An engine that reads bodies and, if the request says so, answers with more than any client asked for."""

    async def _respond(self, path, headers, writer):
        if "x-answer-bytes" not in headers:
            return await super()._respond(path, headers, writer)
        identity = "X-Attempt-Id: %s\r\nX-Instance: %s\r\nX-Server-Seal: seal\r\n" % (headers.get("x-attempt-id", ""), self.id)
        left = int(headers["x-answer-bytes"])
        kind = "text/event-stream" if "x-events" in headers else "text/plain"
        writer.write(("HTTP/1.1 200 OK\r\nContent-Type: %s\r\n%sContent-Length: %d\r\n\r\n" % (kind, identity, left)).encode())
        line = b"data: " + b"x" * 1016 + b"\n\n"
        while left > 0:
            piece = (line * (payloads.PIECE // len(line)))[:left]
            writer.write(piece)
            left -= len(piece)
            await writer.drain()


class LimitedFleet(Fleet):
    """Its settings name low limits of memory and descriptors."""

    max_descriptors = MAX_DESCRIPTORS
    endless_list = False

    async def _serve_engine_list(self, reader, writer):
        try:
            while await read_head(reader):
                if self.endless_list:
                    await self._write_endless_list(writer)
                    break
                servers = [engine.list_entry() for engine in self.engines]
                body = json.dumps({"servers": servers, "next_token": None}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            # The process closed the connection, or this run has ended.
            pass
        finally:
            writer.close()

    def write_settings(self, process):
        path = super().write_settings(process)
        with open(path) as file:
            text = file.read()
        text = text.replace("memory_mb = 260", "memory_mb = %d" % MEMORY_MEBIBYTES)
        text = text.replace("max_fds = 4100", "max_fds = %d" % self.max_descriptors)
        with open(path, "w") as file:
            file.write(text)
        return path


    @staticmethod
    async def _write_endless_list(writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(ENDLESS_LIST_BYTES // payloads.PIECE):
            writer.write(b"%x\r\n%s\r\n" % (payloads.PIECE, b" " * payloads.PIECE))
            await writer.drain()


class Watch:
    """Samples the memory and the descriptors of each process, and reports what is over its limits."""

    def __init__(self, fleet, descriptors):
        self.processes = [process for machine in fleet.machines for process in machine.processes]
        self.allowed_descriptors = descriptors
        self.most = {process.name: (0, 0) for process in self.processes}

    def sample(self):
        for process in self.processes:
            folder = "/proc/%d" % process.child.pid
            try:
                with open(folder + "/status") as status:
                    resident = int(status.read().split("VmHWM:")[1].split()[0]) / 1024
                descriptors = len(os.listdir(folder + "/fd"))
            except (OSError, IndexError):
                # It has ended, which the fleet reports.
                continue
            memory_before, descriptors_before = self.most[process.name]
            self.most[process.name] = max(memory_before, resident), max(descriptors_before, descriptors)

    async def run(self):
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_SECONDS)

    def check(self, history):
        for name, (memory, descriptors) in self.most.items():
            if memory > MEMORY_MEBIBYTES:
                history.violate("MEMORY", "%s had %.0f MiB resident, of %d" % (name, memory, MEMORY_MEBIBYTES))
            if descriptors > self.allowed_descriptors:
                history.violate("DESCRIPTORS", "%s had %d open, of %d" % (name, descriptors, self.allowed_descriptors))


async def stay(connection, reads):
    """Until the server closes the connection."""
    loop = asyncio.get_running_loop()
    while not reads or await loop.sock_recv(connection, 4096):
        if not reads:
            await asyncio.sleep(1)


async def hostile_client(address, case):
    """Sends what the case says, stays, and connects again if the server closes the connection."""
    loop = asyncio.get_running_loop()
    for _ in range(case.connections):
        connection = socket.socket()
        connection.setblocking(False)
        if not case.reads:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        if case.resets:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await loop.sock_connect(connection, address)
            for piece in case.payload():
                await loop.sock_sendall(connection, piece)
                if len(piece) < 16:
                    # Lets the server read each of these alone.
                    await asyncio.sleep(0)
            if not case.resets:
                await stay(connection, case.reads)
        except OSError:
            # The server refused or closed the connection.
            await asyncio.sleep(0.05)
        finally:
            connection.close()


attempts = itertools.count()


def label_headers(**more):
    headers = {"Host": HOST, "X-Attempt-Id": "ordinary-%d" % next(attempts), "X-Time-Left-Ms": "4000", "X-Work-Ms": "1"}
    headers.update({name.replace("_", "-"): str(value) for name, value in more.items()})
    return headers


async def ordinary_client(edge):
    """The statuses of one request of an ordinary client, which tries again on a new connection after a refusal."""
    statuses = []
    while len(statuses) < ORDINARY_TRIES and 200 not in statuses:
        response = await request(edge.address(INGRESS), "POST", "/label/x", label_headers(), b"hello", ORDINARY_TIMEOUT_SECONDS)
        statuses.append(response.status)
        if response.status != 200:
            await asyncio.sleep(0.2)
    return statuses


async def unread_answer(edge, path, headers):
    """Asks for an answer, reads its head at most, and stays."""
    loop = asyncio.get_running_loop()
    connection = socket.socket()
    connection.setblocking(False)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    try:
        await loop.sock_connect(connection, (edge.ip, INGRESS))
        lines = ["POST %s HTTP/1.1" % path, "Content-Length: 0"] + ["%s: %s" % item for item in headers.items()]
        await loop.sock_sendall(connection, ("\r\n".join(lines) + "\r\n\r\n").encode())
        while True:
            await asyncio.sleep(1)
    except OSError:
        # The server closed the connection.
        pass
    finally:
        connection.close()


async def read_answers(edge, headers):
    """Reads an answer that is larger than any that the pages know. Whatever comes is allowed."""
    await request(edge.address(INGRESS), "POST", "/label/x", headers, b"", CROWD_SECONDS)


async def post_raw(edge, pieces):
    """The status of one request sent as these pieces, or None."""
    reader, writer = await asyncio.open_connection(edge.ip, INGRESS)
    try:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        line = await asyncio.wait_for(reader.readline(), LAST_TIMEOUT_SECONDS)
        return int(line.split()[1]) if line else None
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        writer.close()


def head_of(attempt, more):
    return (b"POST /label/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Time-Left-Ms: 6000\r\nX-Work-Ms: 1\r\n%s\r\n"
            % (HOST.encode(), attempt, more))


async def check_large_requests(edge, history):
    """Requests of the largest sizes that the pages allow, one after the other."""
    full, count = b"x" * payloads.PIECE, payloads.BODY_LIMIT // payloads.PIECE
    with_length = [head_of(b"large-1", b"Content-Length: %d\r\n" % payloads.BODY_LIMIT)] + [full] * count
    chunks = [head_of(b"large-2", b"Transfer-Encoding: chunked\r\n")]
    chunks += [b"%x\r\n%s\r\n" % (len(full), full)] * count + [b"0\r\n\r\n"]
    one_chunk = [head_of(b"large-3", b"Transfer-Encoding: chunked\r\n"), b"%x\r\n" % payloads.BODY_LIMIT] + [full] * count
    one_chunk.append(b"\r\n0\r\n\r\n")
    tiny = [head_of(b"large-4", b"Transfer-Encoding: chunked\r\n")] + [b"1\r\nx\r\n" * 1024] * 256 + [b"0\r\n\r\n"]
    headers = b"".join(b"A%03d: %s\r\n" % (number, b"x" * 93) for number in range(150))
    large_head = [head_of(b"large-5", headers + b"Content-Length: 5\r\n"), b"hello"]
    for name, pieces in (("length", with_length), ("chunks", chunks), ("one chunk", one_chunk), ("tiny chunks", tiny),
                         ("head", large_head)):
        status = await post_raw(edge, pieces)
        if status != 200:
            history.violate("SERVED", "a request of the largest size, %s, was answered with %s" % (name, status))


def tasks_of(name, case, fleet):
    """The clients of the crowd."""
    edge = fleet.of_kind("edge")[0]
    if name == "large_answers":
        return [read_answers(edge, label_headers(X_Answer_Bytes=ENGINE_ANSWER_BYTES)) for _ in range(12)]
    if name == "large_answers_unread":
        return [unread_answer(edge, "/label/x", label_headers(X_Answer_Bytes=4 * payloads.MEBIBYTE)) for _ in range(24)]
    if name == "endless_events_unread":
        headers = {"X_Answer_Bytes": ENGINE_ANSWER_BYTES, "X_Events": 1}
        return [unread_answer(edge, "/turn/x", label_headers(**headers)) for _ in range(12)]
    targets = [(fleet.of_kind(kind)[0].ip, port) for kind, ports in case.ports.items() for port in ports]
    return [hostile_client(target, case) for _ in range(case.clients) for target in targets]


async def end_machines(fleet, history):
    """Ends the processes that have the crowd, in order, while it stays."""
    ended = [process for kind in HTTP_PORTS for process in fleet.of_kind(kind)[0].processes]
    for process in ended:
        process.signal(signal.SIGTERM)
    await asyncio.wait([fleet.spawn(process.child.wait()) for process in ended], timeout=END_SECONDS)
    for process in ended:
        if process.child.returncode != 0:
            history.violate("END", "%s, told to end, has code %s" % (process.name, process.child.returncode))


def limit_descriptors(limit):
    inherited = fleet_module.die_with_parent

    def limited():
        inherited()
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

    fleet_module.die_with_parent = limited


async def play(arguments):
    name, case, history = arguments.case, CASES[arguments.case], History()
    if case.descriptor_limit:
        limit_descriptors(case.descriptor_limit)
    fleet = LimitedFleet(arguments.root, os.path.join(arguments.build, "herontally"), history, 3)
    fleet.max_descriptors = case.max_descriptors
    fleet.engines += [TestedEngine(fleet, service, zone, 64) for zone in ZONES for service in ("labels", "turns")]
    operator = Operator(fleet, history, random.Random(1))
    edge, core = fleet.of_kind("edge")[0], fleet.of_kind("core")[0]
    watch = Watch(fleet, case.descriptor_limit or case.max_descriptors)
    try:
        await fleet.start()
        while not operator.acknowledged:
            await operator.change()
        if not await fleet.wait_until(fleet.is_ready, READY_SECONDS):
            history.violate("BEGIN", "not every edge is ready")
        watching = fleet.spawn(watch.run())
        if name == "large_requests_in_calm":
            await check_large_requests(edge, history)
        crowd = [fleet.spawn(each) for each in tasks_of(name, case, fleet)]
        if crowd:
            await asyncio.wait(crowd, timeout=CROWD_SECONDS)
        fleet.endless_list = name == "endless_engine_list"
        if fleet.endless_list:
            await asyncio.sleep(CROWD_SECONDS)
            fleet.endless_list = False
        if name == "all_kinds_while_ending":
            await end_machines(fleet, history)
            # The others go on.
            edge, core = fleet.of_kind("edge")[1], fleet.of_kind("core")[1]
        statuses = await ordinary_client(edge)
        if 200 not in statuses:
            history.violate("SERVED", "an ordinary client beside the crowd got %s" % statuses)
        for each in crowd:
            each.cancel()
        await asyncio.gather(*crowd, return_exceptions=True)
        await asyncio.sleep(1)
        last = await request(edge.address(INGRESS), "POST", "/label/x", label_headers(), b"hello", LAST_TIMEOUT_SECONDS)
        if last.status != 200:
            history.violate("SERVED", "one ordinary request after the crowd got %s" % last.status)
        read = await request(core.address(CONTROL), "GET", "/-/config/read", timeout=LAST_TIMEOUT_SECONDS)
        if read.status != 200:
            history.violate("SERVED", "the operator, after the crowd, got %s" % read.status)
        watching.cancel()
        watch.sample()
        watch.check(history)
    finally:
        await fleet.stop(os.path.join(arguments.keep, name) if arguments.keep and history.violations else None)
    print("%s: beside the crowd %s" % (name, statuses))
    for process, (memory, descriptors) in sorted(watch.most.items()):
        print("  %-20s %4.0f MiB, %4d descriptors" % (process, memory, descriptors))
    return history.violations


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("root")
    parser.add_argument("build")
    parser.add_argument("case", choices=sorted(CASES))
    parser.add_argument("--keep", help="a folder for the logs of a failed run")
    arguments = parser.parse_args()
    arguments.build = os.path.abspath(arguments.build)
    violations = asyncio.run(play(arguments))
    for violation in violations:
        print("  " + violation)
    print("failed" if violations else "passed")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
