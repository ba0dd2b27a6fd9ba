#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "logging/logging.h"

int main(int count, char** words) {
  herontally::logging::start("tests", "OFF");
  return Catch::Session().run(count, words);
}
