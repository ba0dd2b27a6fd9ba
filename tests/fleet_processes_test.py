"""Tests Fleet.stop of tools/fleetlib.py: it must return only when the port of the killed process can be bound again. The first
thread of a process may end while others still hold its port."""
import os, signal, socket, subprocess, sys, tempfile, unittest

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "tools"))
from fleetlib import Fleet, birth  # noqa: E402

# Listens on a port and runs a dozen more threads, so that its first thread may end before the others.
CHILD = """
import signal, socket, sys, threading
listener = socket.create_server((sys.argv[1], int(sys.argv[2])))
for _ in range(12):
    threading.Thread(target=threading.Event().wait, daemon=True).start()
print("listening", flush=True)
signal.pause()
"""


class FleetProcesses(unittest.TestCase):
    def test_the_port_is_free_after_a_kill(self):
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(folder, folder)
            fleet.state = {"nodes": {}}
            node = fleet.add_node("node", "storage_node", "")
            host, port = node["http"].rsplit(":")
            for _ in range(40):
                process = subprocess.Popen([sys.executable, "-c", CHILD, host, port], stdout=subprocess.PIPE)
                process.stdout.readline()
                node.update(pid=process.pid, born=birth(process.pid))
                fleet.stop([node], signal.SIGKILL, 5)
                # It has not been reaped yet, so it is still a zombie.
                socket.create_server((host, int(port))).close()
                process.communicate()


if __name__ == "__main__":
    unittest.main()
