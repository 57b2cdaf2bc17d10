#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "main/guarded_application.h"

int main(int argc, char** argv) {
  const hawthorn::main::GuardedApplication app(argc, argv);
  return Catch::Session().run(argc, argv);
}
