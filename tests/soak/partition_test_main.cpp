#define CATCH_CONFIG_RUNNER
#include <signal.h>

#include <QCoreApplication>
#include <catch2/catch.hpp>

int main(int argc, char** argv) {
  const QCoreApplication application(argc, argv);
  signal(SIGPIPE, SIG_IGN);
  return Catch::Session().run(argc, argv);
}
