"""The processes of one fleet on loopback: addresses, settings files, start and stop, signals and HTTP requests.

Used by tools/fleet and by the soak tests."""
import json, os, random, signal, socket, subprocess, sys, time, urllib.error, urllib.request


TOKEN = "fleet-operator-token"
# Roles run by the product's programs; a role has the name of its executable. All other roles are stand-ins.
PRODUCT_ROLES = ("control_node", "storage_node", "agent", "proxy")


def random_loopback_host():
    # A loopback address used by this fleet alone, so that neither another fleet nor an outgoing connection takes its ports.
    return "127.%d.%d.%d" % (random.randrange(1, 255), random.randrange(256), random.randrange(1, 255))


def is_free(host, port):
    # Also false if another process listens on all addresses.
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class Fleet:
    """A fleet whose state is kept in fleet.json in its folder; `state` is None until the fleet is created."""

    def __init__(self, folder, build):
        self.folder, self.build = os.path.abspath(folder), os.path.abspath(build)
        self.file = os.path.join(self.folder, "fleet.json")
        self.state = json.load(open(self.file)) if os.path.exists(self.file) else None
        self.children = {}  # by name: those that this object started

    def save(self):
        with open(self.file + ".new", "w") as out:
            json.dump(self.state, out, indent=1)
        os.replace(self.file + ".new", self.file)

    def need(self):
        """The state; ends the program if there is no fleet."""
        if not self.state:
            sys.exit("fleet: no fleet in %s; run `tools/fleet up` first" % self.folder)
        return self.state

    def node(self, name):
        if name not in self.need()["nodes"]:
            sys.exit("fleet: no node is named %s" % name)
        return self.state["nodes"][name]

    def next_address(self):
        # Ports are counted up and never reused, even if their process is down or not yet started: only a port that was
        # never assigned before is certain to have no other owner.
        host = self.state.setdefault("host", random_loopback_host())
        port = self.state.get("last_port", 11999) + 1
        while not is_free(host, port):
            port += 1
        self.state["last_port"] = port
        return "%s:%d" % (host, port)

    def add_node(self, name, role, zone, extra=None):
        inner, http = self.next_address(), self.next_address()
        node = {"name": name, "role": role, "zone": zone, "inner": inner, "http": http, "pid": 0}
        node.update(extra or {})
        self.state["nodes"][name] = node
        return node

    def write_settings(self, node):
        state = self.state
        document = {"name": node["name"], "zone": node["zone"], "inner": node["inner"], "http": node["http"],
                    "seeds": state["seeds"], "log_level": state["log_level"]}
        if node["role"] in ("control_node", "storage_node"):
            document["data"] = os.path.join(self.folder, "data", node["name"])
        if node["role"] in ("control_node", "agent"):
            document["platform"] = state["platform"]
        if node["role"] == "control_node":
            document["operators"] = [{"token": TOKEN, "partner": "*"},
                                     {"token": state["site"] + "-operator-token", "partner": state["site"]}]
        if node["role"] == "proxy":
            document["agent"] = state["nodes"][node["agent"]]["inner"]
        with open(os.path.join(self.folder, "settings", node["name"] + ".json"), "w") as out:
            json.dump(document, out, indent=1)

    def start(self, node):
        command = [os.path.join(self.build, node["role"])]
        if node["role"] == "engine_stand_in":
            command += ["--engine", os.path.join(self.folder, "engines.json"), "--only", node["name"]]
        elif node["role"] == "platform_stand_in":
            nodes = [each["http"] for each in self.state["nodes"].values() if each["role"] in PRODUCT_ROLES]
            command += ["--listen", node["http"], "--engines", os.path.join(self.folder, "engines.json"),
                        "--nodes", ",".join(nodes)]
        else:
            self.write_settings(node)
            command += ["--settings", os.path.join(self.folder, "settings", node["name"] + ".json")]
        log = open(os.path.join(self.folder, "logs", node["name"] + ".log"), "ab")
        process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True)
        node["pid"] = process.pid
        self.children[node["name"]] = process
        # The system may reuse the process id; the start time tells the two processes apart.
        node["born"] = birth(process.pid)
        self.save()

    def exit_code(self, node):
        """The exit code of a node that this object started last; None: it runs, or another started it."""
        child = self.children.get(node["name"])
        return child.poll() if child is not None and child.pid == node["pid"] else None

    def alive(self, node):
        """Whether the node's process runs or still holds its ports."""
        return node["pid"] and birth(node["pid"]) == node.get("born") and not ended(node["pid"])

    def signal(self, node, number):
        """Sends a signal. Returns False if the process is not alive."""
        if not self.alive(node):
            return False
        os.kill(node["pid"], number)
        return True

    def stop(self, nodes, number, timeout):
        """Sends a signal to all nodes, then SIGKILL to those that are alive after `timeout` seconds, and waits."""
        for node in nodes:
            self.signal(node, number)
        until = time.time() + timeout
        while time.time() < until and any(self.alive(node) for node in nodes):
            time.sleep(0.02)
        for node in nodes:
            self.signal(node, signal.SIGKILL)
        # SIGKILL can't be ignored, but on a busy machine the process may take a while to end.
        while any(self.alive(node) for node in nodes):
            time.sleep(0.02)


def birth(pid):
    """The process's start time in clock ticks since boot, as text; None if there is no such process."""
    try:
        return open("/proc/%d/stat" % pid).read().rsplit(")", 1)[1].split()[19]
    except OSError:
        return None


def ended(pid):
    # A process whose main thread is a zombie still holds its ports until its last thread has ended.
    try:
        state = open("/proc/%d/stat" % pid).read().rsplit(")", 1)[1].split()[0]
        return state == "Z" and len(os.listdir("/proc/%d/task" % pid)) == 1
    except OSError:
        return True


def get(address, path, timeout=2):
    """Status and body of a GET request; status 0 without a response. `timeout` is in seconds."""
    try:
        with urllib.request.urlopen("http://%s%s" % (address, path), timeout=timeout) as reply:
            return reply.status, reply.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError:
        return 0, ""


def herontallyctl(fleet, *arguments):
    cores = ",".join(node["http"] for node in fleet.state["nodes"].values() if node["role"] == "control_node")
    return subprocess.run([os.path.join(fleet.build, "herontallyctl"), "--core", cores, "--token", TOKEN] + list(arguments),
                          stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)


def wait_for(what, check, timeout):
    """Checks every 100 ms. Ends the program if the check fails for `timeout` seconds."""
    until = time.time() + timeout
    while time.time() < until:
        if check():
            return
        time.sleep(0.1)
    sys.exit("fleet: %s did not happen within %d s" % (what, timeout))


def ready(fleet, role):
    nodes = [node for node in fleet.state["nodes"].values() if node["role"] == role]
    return all(get(node["http"], "/readyz")[0] == 200 for node in nodes)
