// The control node's program: a control node that speaks the product's own protocol, without an adapter.
#include "control_node/node.h"
#include "runtime/program.h"

int main(int argc, char** argv) {
  return herontally::runtime::run_program<herontally::control_node::node>(
      argc, argv, "control_node",
      "replicates the configuration with the other cores and serves the operators' API");
}
