"""Clients of the soak test: each reuses its keep-alive connection until the process behind it ends, checks every response
and reports violations to the history. They inject no faults (faults.py)."""
import http.client
import json
import random
import threading
import time

from history import CLOSE_RACE_SECONDS

PARTNER, PROGRAM, ROUTE = "swanreach", "exchange", "labels"
REQUEST_TIMEOUT_SECONDS = 25
RETRY_PAUSE_SECONDS = 0.1
# Requests for one turn or call before it counts as failed: responses may be lost or refused.
MAX_REQUESTS = 400
TURNS_PER_PROGRAM = 8
# Faults under which a process, or the agent next to it, may leave a request without a complete response.
EXCUSING_FAULTS = ("kill", "freeze")


class Lost(Exception):
    """The connection closed or timed out before a complete response."""

    def __init__(self, partial):
        super().__init__("partial response" if partial else "no response")
        self.partial = partial


class Connection:
    """A keep-alive connection to one proxy."""

    def __init__(self, name, address, history):
        host, port = address.split(":")
        self.name, self._history = name, history
        self._http = http.client.HTTPConnection(host, int(port), timeout=REQUEST_TIMEOUT_SECONDS)
        self._http.connect()
        self.open = True

    def post(self, path, body, headers):
        """Status and body of a complete response. Raises Lost, which is a violation unless a fault excuses it."""
        begun = time.time()
        try:
            return self._exchange(path, body, headers)
        except Lost as lost:
            self.close()
            self._check_lost(lost, path, begun, time.time())
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

    def _check_lost(self, lost, path, begun, ended):
        self._history.count("requests without a complete response")
        if self._history.had_fault(self.name, begun, ended, EXCUSING_FAULTS):
            return
        # A request that the client sends while the server closes the connection is never read.
        allowed = CLOSE_RACE_SECONDS + self._history.lag.longest(begun, ended)
        if not lost.partial and ended - begun <= allowed:
            self._history.count("requests sent while the connection closed")
            return
        self._history.violate("LOST", "%s at %s: %s after %.3f s" % (path, self.name, lost, ended - begun))

    def close(self):
        self.open = False
        self._http.close()


class Client(threading.Thread):
    """Sends the turns of one program after the other, with a call after each turn, and checks the responses."""

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
        """One request over the keep-alive connection; None: no complete response."""
        try:
            status, text = self._connect().post(path, body, headers or {})
        except Lost:
            return None
        self._history.count("responses %d" % status)
        return status, text

    def _retry(self, what, attempt):
        """The first result of `attempt` that isn't None; None: the soak was stopped meanwhile."""
        for _ in range(MAX_REQUESTS):
            result = attempt()
            if result is not None:
                return result
            if self._stop_event.is_set():
                return None
            time.sleep(RETRY_PAUSE_SECONDS)
        raise AssertionError("%s isn't complete after %d requests" % (what, MAX_REQUESTS))

    def _run_program(self, program):
        texts = []
        for turn in range(TURNS_PER_PROGRAM):
            result = self._complete_turn(program, turn)
            if result is None:
                return
            text, last = result
            stored = last.get("stored", False)
            assert stored or last["length"] == turn + 1, "%s lost turns: %s" % (program, last)
            texts.append(text)
            self._history.count("turns")
            self._make_call()
        again = self._complete_turn(program, 0)
        if again is not None:
            assert again[1].get("stored") and again[0] == texts[0], "%s: a complete turn was not stored" % program

    def _complete_turn(self, program, turn):
        path = "/v1/partners/%s/programs/%s:%s/turns" % (PARTNER, PROGRAM, program)
        body = {"turn": "t%d" % turn, "prompt": "word %d" % turn, "max_tokens": 6}

        def attempt():
            response = self._post(path, body)
            if response is None or response[0] != 200:
                return None
            lines = [json.loads(line) for line in response[1].splitlines()]
            assert [line["n"] for line in lines] == list(range(len(lines))), "a stream has gaps or repetitions"
            if not lines or lines[-1].get("end") != "complete":
                self._history.count("incomplete streams")
                return None
            assert lines[-1]["pieces"] == len(lines) - 1, "the count in a stream's last line is wrong"
            return "".join(line.get("text", "") for line in lines), lines[-1]

        return self._retry("turn %d of %s" % (turn, program), attempt)

    def _make_call(self):
        key = "%s-%d" % (self._name, len(self.keys))
        self.keys.append(key)
        path = "/v1/partners/%s/calls/%s" % (PARTNER, ROUTE)

        def attempt():
            response = self._post(path, {"k": key}, {"Idempotency-Key": key})
            return json.loads(response[1])["code"] if response is not None and response[0] == 200 else None

        codes = {self._retry("call " + key, attempt) for _ in range(2)} - {None}
        assert len(codes) <= 1, "key %s has two results" % key
        self._history.count("calls")
