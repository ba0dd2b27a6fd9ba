"""Clients of a soak: each keeps its connection open and goes on using it until the process behind it has ended."""
import http.client
import json
import random
import threading
import time

from history import CROSSING_SECONDS

PARTNER, PROGRAM, ROUTE = "swanreach", "exchange", "labels"
REQUEST_TIMEOUT_SECONDS = 25
RETRY_PAUSE_SECONDS = 0.1
# One unit of work may need this many requests, since its answers may be lost or refused.
MAX_REQUESTS = 400
TURNS_OF_A_PROGRAM = 8
# A process that is killed, stands still, or whose agent is gone may leave a request without an answer.
ABRUPT = ("kill", "freeze")


class Lost(Exception):
    """The connection ended, or stayed silent, without a whole answer."""

    def __init__(self, partial):
        super().__init__("partial answer" if partial else "no answer")
        self.partial = partial


class Connection:
    """A kept connection to one proxy."""

    def __init__(self, name, address, history):
        host, port = address.split(":")
        self.name, self._history = name, history
        self._http = http.client.HTTPConnection(host, int(port), timeout=REQUEST_TIMEOUT_SECONDS)
        self._http.connect()
        self.open = True

    def post(self, path, body, headers):
        """Status and body of a whole answer; a Lost that no trouble excuses is a violation."""
        begun = time.time()
        try:
            return self._exchange(path, body, headers)
        except Lost as lost:
            self.close()
            self._judge(lost, path, begun, time.time())
            raise

    def _exchange(self, path, body, headers):
        partial = False
        try:
            self._http.request("POST", path, json.dumps(body), headers)
            response = self._http.getresponse()
            partial = True
            text = response.read()
        except (OSError, http.client.HTTPException) as error:
            raise Lost(partial) from error
        if response.will_close:
            self.close()
        return response.status, text

    def _judge(self, lost, path, begun, ended):
        self._history.count("requests without a whole answer")
        if self._history.troubled(self.name, begun, ended, ABRUPT):
            return
        # A request that crosses the closing of its connection was never read.
        allowed = CROSSING_SECONDS + self._history.lag.longest(begun, ended)
        if not lost.partial and ended - begun <= allowed:
            self._history.count("requests that crossed a closing")
            return
        self._history.violate("LOST", "%s at %s: %s after %.3f s" % (path, self.name, lost, ended - begun))

    def close(self):
        self.open = False
        self._http.close()


class Client(threading.Thread):
    """Takes turns of programs and makes calls, one after the other, and checks what it is told."""

    def __init__(self, number, seed, proxies, history, stop):
        super().__init__(daemon=True)
        self._name, self._random = "client-%d" % number, random.Random("%d/%d" % (seed, number))
        self._proxies, self._history, self._stop_event = proxies, history, stop
        self._connection = None
        self.keys = []

    def run(self):
        number = 0
        while not self._stop_event.is_set():
            try:
                self._run_program("%s-%d" % (self._name, number))
            except AssertionError as error:
                self._history.violate("ANSWER", "%s: %s" % (self._name, error))
            number += 1

    def _connect(self):
        while self._connection is None or not self._connection.open:
            name, address = self._random.choice(self._proxies())
            try:
                self._connection = Connection(name, address, self._history)
                self._history.count("connections")
            except OSError:
                time.sleep(RETRY_PAUSE_SECONDS)
        return self._connection

    def _post(self, path, body, headers=None):
        """One request over the kept connection; None: it ended without an answer."""
        try:
            status, text = self._connect().post(path, body, headers or {})
        except Lost:
            return None
        self._history.count("answers %d" % status)
        return status, text

    def _until_done(self, what, attempt):
        for _ in range(MAX_REQUESTS):
            done = attempt()
            if done is not None:
                return done
            if self._stop_event.is_set():
                return None
            time.sleep(RETRY_PAUSE_SECONDS)
        raise AssertionError("%s isn't done after %d requests" % (what, MAX_REQUESTS))

    def _run_program(self, program):
        texts = []
        for turn in range(TURNS_OF_A_PROGRAM):
            told = self._take_turn(program, turn)
            if told is None:
                return
            text, last = told
            stored = last.get("stored", False)
            assert stored or last["length"] == turn + 1, "%s lost turns: %s" % (program, last)
            texts.append(text)
            self._history.count("turns")
            self._make_call()
        again = self._take_turn(program, 0)
        if again is not None:
            assert again[1].get("stored") and again[0] == texts[0], "%s: a finished turn was not kept" % program

    def _take_turn(self, program, turn):
        path = "/v1/partners/%s/programs/%s:%s/turns" % (PARTNER, PROGRAM, program)
        body = {"turn": "t%d" % turn, "prompt": "word %d" % turn, "max_tokens": 6}

        def attempt():
            answer = self._post(path, body)
            if answer is None or answer[0] != 200:
                return None
            lines = [json.loads(line) for line in answer[1].splitlines()]
            assert [line["n"] for line in lines] == list(range(len(lines))), "a stream skips or repeats"
            if not lines or lines[-1].get("end") != "complete":
                self._history.count("streams ended as cut")
                return None
            assert lines[-1]["pieces"] == len(lines) - 1, "a stream's last line counts wrongly"
            return "".join(line.get("text", "") for line in lines), lines[-1]

        return self._until_done("turn %d of %s" % (turn, program), attempt)

    def _make_call(self):
        key = "%s-%d" % (self._name, len(self.keys))
        self.keys.append(key)
        path = "/v1/partners/%s/calls/%s" % (PARTNER, ROUTE)

        def attempt():
            answer = self._post(path, {"k": key}, {"Idempotency-Key": key})
            return json.loads(answer[1])["code"] if answer is not None and answer[0] == 200 else None

        codes = {self._until_done("call " + key, attempt) for _ in range(2)} - {None}
        assert len(codes) <= 1, "key %s has two results" % key
        self._history.count("calls")
