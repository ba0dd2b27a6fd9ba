"""Tests the address allocation of tools/fleetlib.py: it must never return an address twice, even if the process that has it is
down, nor one on which another process listens. Otherwise a process could not bind its port when it starts again."""
import os, socket, sys, tempfile, unittest

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "tools"))
from fleetlib import Fleet  # noqa: E402


class FleetAddresses(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def new_fleet(self):
        fleet = Fleet(self.folder, self.folder)
        fleet.state = fleet.state or {"nodes": {}}
        return fleet

    def addresses(self, fleet, count):
        nodes = [fleet.add_node("node-%d" % (len(fleet.state["nodes"]) + 1), "storage_node", "") for _ in range(count)]
        return [node[part] for node in nodes for part in ("inner", "http")]

    def test_no_address_is_allocated_twice(self):
        allocated = self.addresses(self.new_fleet(), 2000)
        self.assertEqual(len(set(allocated)), 4000)

    def test_no_address_is_allocated_twice_by_several_runs_of_the_tool(self):
        first = self.new_fleet()
        allocated = self.addresses(first, 30)
        first.save()
        allocated += self.addresses(self.new_fleet(), 30)
        self.assertEqual(len(set(allocated)), 120)

    def test_ports_are_below_those_of_outgoing_connections(self):
        first = int(open("/proc/sys/net/ipv4/ip_local_port_range").read().split()[0])
        for each in self.addresses(self.new_fleet(), 100):
            self.assertLess(int(each.rsplit(":")[1]), first)

    def test_no_address_on_which_another_process_listens(self):
        fleet = self.new_fleet()
        allocated = self.addresses(fleet, 1)[-1]
        next_port = int(allocated.rsplit(":")[1]) + 1
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((allocated.rsplit(":")[0], next_port))
            listener.listen()
            self.assertNotIn("%s:%d" % (allocated.rsplit(":")[0], next_port), self.addresses(fleet, 3))


if __name__ == "__main__":
    unittest.main()
