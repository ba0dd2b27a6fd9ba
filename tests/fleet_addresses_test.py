"""No address of a fleet is given twice, not even to processes that are down, and none that somebody else listens on."""
import os, socket, sys, tempfile, unittest

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "tools"))
from fleetlib import Fleet  # noqa: E402


class FleetAddresses(unittest.TestCase):
    def setUp(self):
        held = tempfile.TemporaryDirectory()
        self.addCleanup(held.cleanup)
        self.folder = held.name

    def new_fleet(self):
        fleet = Fleet(self.folder, self.folder)
        fleet.state = fleet.state or {"nodes": {}}
        return fleet

    def addresses(self, fleet, count):
        nodes = [fleet.add_node("node-%d" % (len(fleet.state["nodes"]) + 1), "storage_node", "") for _ in range(count)]
        return [node[part] for node in nodes for part in ("inner", "http")]

    def test_no_address_twice(self):
        given = self.addresses(self.new_fleet(), 2000)
        self.assertEqual(len(set(given)), 4000)

    def test_no_address_twice_over_runs_of_the_tool(self):
        first = self.new_fleet()
        given = self.addresses(first, 30)
        first.save()
        given += self.addresses(self.new_fleet(), 30)
        self.assertEqual(len(set(given)), 120)

    def test_below_the_ports_of_outgoing_connections(self):
        first = int(open("/proc/sys/net/ipv4/ip_local_port_range").read().split()[0])
        for each in self.addresses(self.new_fleet(), 100):
            self.assertLess(int(each.rsplit(":")[1]), first)

    def test_not_an_address_that_is_listened_on(self):
        fleet = self.new_fleet()
        given = self.addresses(fleet, 1)[-1]
        following = int(given.rsplit(":")[1]) + 1
        with socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind((given.rsplit(":")[0], following))
            other.listen()
            self.assertNotIn("%s:%d" % (given.rsplit(":")[0], following), self.addresses(fleet, 3))


if __name__ == "__main__":
    unittest.main()
