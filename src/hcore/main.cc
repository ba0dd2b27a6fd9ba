#include "hcore/node.h"
#include "runtime/program.h"

int main(int count, char** words) {
  return herontally::runtime::run_program<herontally::hcore::node>(
      count, words, "hcore", "keeps the desired state with its peers and serves the operators");
}
