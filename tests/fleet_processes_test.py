"""A process that was killed counts as ended only when its port can be listened on again."""
import os, signal, socket, subprocess, sys, tempfile, unittest

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "tools"))
from fleetlib import Fleet, birth  # noqa: E402

# Listens, with a dozen threads: its first thread may end before the others do.
CHILD = """
import signal, socket, sys, threading
held = socket.create_server((sys.argv[1], int(sys.argv[2])))
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
                # Nobody has waited for it yet: it is a zombie still.
                socket.create_server((host, int(port))).close()
                process.communicate()


if __name__ == "__main__":
    unittest.main()
