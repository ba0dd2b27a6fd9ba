// Entry point of the unit tests; turns logging off, so that only the test runner's output is shown.
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "logging/logging.h"

int main(int argc, char** argv) {
  herontally::logging::start("tests", "OFF");
  return Catch::Session().run(argc, argv);
}
