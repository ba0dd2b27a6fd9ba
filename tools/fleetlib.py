"""What tools/fleet is made of: the processes of one fleet, their settings, signals and pages."""
import json, os, random, signal, socket, subprocess, sys, time, urllib.error, urllib.request


TOKEN = "fleet-operator-token"
# The product's own programs, named as their executables; the others are stand-ins.
PRODUCT_ROLES = ("control_node", "storage_node", "agent", "proxy")


def own_host():
    # A loopback address of the fleet's own: neither another fleet nor an outgoing connection takes ports there.
    return "127.%d.%d.%d" % (random.randrange(1, 255), random.randrange(256), random.randrange(1, 255))


def is_free(host, port):
    # Whoever listens on all addresses has this one too.
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class Fleet:
    def __init__(self, folder, build):
        self.folder, self.build = os.path.abspath(folder), os.path.abspath(build)
        self.file = os.path.join(self.folder, "fleet.json")
        self.state = json.load(open(self.file)) if os.path.exists(self.file) else None

    def save(self):
        with open(self.file + ".new", "w") as out:
            json.dump(self.state, out, indent=1)
        os.replace(self.file + ".new", self.file)

    def need(self):
        if not self.state:
            sys.exit("fleet: no fleet in %s; run `tools/fleet up` first" % self.folder)
        return self.state

    def node(self, name):
        if name not in self.need()["nodes"]:
            sys.exit("fleet: no node is named %s" % name)
        return self.state["nodes"][name]

    def next_address(self):
        # Counted on and kept, also those of processes that are down or not yet started: only a port that was never
        # given before is sure to have no other owner.
        host = self.state.setdefault("host", own_host())
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
        # A number may be given to another process later; its time of birth tells them apart.
        node["born"] = birth(process.pid)
        self.save()

    def alive(self, node):
        return node["pid"] and birth(node["pid"]) == node.get("born") and not ended(node["pid"])

    def signal(self, node, number):
        if not self.alive(node):
            return False
        os.kill(node["pid"], number)
        return True

    def stop(self, nodes, number, timeout):
        for node in nodes:
            self.signal(node, number)
        until = time.time() + timeout
        while time.time() < until and any(self.alive(node) for node in nodes):
            time.sleep(0.02)
        for node in nodes:
            self.signal(node, signal.SIGKILL)
        # Nobody withstands this one; on a busy machine it may take a while all the same.
        while any(self.alive(node) for node in nodes):
            time.sleep(0.02)


def birth(pid):
    try:
        return open("/proc/%d/stat" % pid).read().rsplit(")", 1)[1].split()[19]
    except OSError:
        return None


def ended(pid):
    # A process whose first thread is a zombie still holds its ports until its last thread has ended too.
    try:
        state = open("/proc/%d/stat" % pid).read().rsplit(")", 1)[1].split()[0]
        return state == "Z" and len(os.listdir("/proc/%d/task" % pid)) == 1
    except OSError:
        return True


def get(address, path, timeout=2):
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
    until = time.time() + timeout
    while time.time() < until:
        if check():
            return
        time.sleep(0.1)
    sys.exit("fleet: %s did not happen within %d s" % (what, timeout))


def ready(fleet, role):
    nodes = [node for node in fleet.state["nodes"].values() if node["role"] == role]
    return all(get(node["http"], "/readyz")[0] == 200 for node in nodes)
