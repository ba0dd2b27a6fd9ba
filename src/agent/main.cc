#include "agent/node.h"
#include "runtime/program.h"

int main(int count, char** arguments) {
  return herontally::runtime::run_program<herontally::agent::node>(
      count, arguments, "agent",
      "fetches the configuration from the control plane and supplies it to the local proxy");
}
