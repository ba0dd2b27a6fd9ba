#include "hstore/node.h"
#include "runtime/program.h"

int main(int count, char** words) {
  return herontally::runtime::run_program<herontally::hstore::node>(
      count, words, "hstore", "keeps the program ledger, chains and receipts on disk");
}
