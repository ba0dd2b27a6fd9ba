#include "control_node/node.h"
#include "runtime/program.h"

int main(int argc, char** argv) {
  return herontally::runtime::run_program<herontally::control_node::node>(
      argc, argv, "control_node", "keeps the configuration with its peers and serves the operators");
}
