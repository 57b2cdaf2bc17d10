#define CATCH_CONFIG_RUNNER
#include <QCoreApplication>
#include <catch2/catch.hpp>

// Main function of tests that run an event loop.
int main(int argc, char** argv) {
  QCoreApplication application(argc, argv);
  return Catch::Session().run(argc, argv);
}
