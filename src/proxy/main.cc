#include "proxy/node.h"
#include "runtime/program.h"

int main(int argc, char** argv) {
  return herontally::runtime::run_program<herontally::proxy::node>(
      argc, argv, "proxy", "takes clients' turns and calls and places them on engines");
}
