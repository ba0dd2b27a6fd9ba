#include "hproxy/node.h"
#include "runtime/program.h"

int main(int count, char** words) {
  return herontally::runtime::run_program<herontally::hproxy::node>(
      count, words, "hproxy", "takes callers' turns and calls and places them on engines");
}
