#include "runtime/program.h"
#include "storage_node/node.h"

int main(int argc, char** argv) {
  return herontally::runtime::run_program<herontally::storage_node::node>(
      argc, argv, "storage_node", "keeps the program ledger, chains and call records on disk");
}
