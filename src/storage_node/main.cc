#include "runtime/program.h"
#include "storage_node/node.h"

int main(int count, char** words) {
  return herontally::runtime::run_program<herontally::storage_node::node>(
      count, words, "hstore", "keeps the program ledger, chains and receipts on disk");
}
