#include "main/guarded_application.h"

#include <QTimer>
#include <catch2/catch.hpp>
#include <stdexcept>

#include "logging/guarded_call.h"
#include "tests/support/event_loop.h"

namespace hawthorn::main {
namespace {

TEST_CASE("The event loop goes on after an unexpected error of a handler") {
  const uint64_t before = logging::UnexpectedErrors();
  int ticks = 0;
  QTimer timer;
  QObject::connect(&timer, &QTimer::timeout, &timer, [&ticks] {
    if (++ticks == 1) {
      throw std::runtime_error("unexpected");
    }
  });
  timer.start(std::chrono::milliseconds(1));
  QMetaObject::invokeMethod(
      &timer, [] { throw 1; }, Qt::QueuedConnection);
  REQUIRE(test::WaitFor([&ticks] { return ticks >= 3; }));
  CHECK(logging::UnexpectedErrors() == before + 2);
}

}  // namespace
}  // namespace hawthorn::main
