// Entry point of the storage node program.
#include "runtime/program.h"
#include "storage_node/node.h"

int main(int argc, char** argv) {
  return herontally::runtime::run_program<herontally::storage_node::node>(
      argc, argv, "storage_node",
      "stores the records of programs, conversations, calls and operations on disk");
}
