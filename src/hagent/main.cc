#include "hagent/node.h"
#include "runtime/program.h"

int main(int count, char** words) {
  return herontally::runtime::run_program<herontally::hagent::node>(
      count, words, "hagent", "keeps the control link and feeds the proxy beside it");
}
