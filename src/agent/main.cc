#include "agent/node.h"
#include "runtime/program.h"

int main(int count, char** words) {
  return herontally::runtime::run_program<herontally::agent::node>(
      count, words, "agent", "keeps the control link and feeds the proxy beside it");
}
