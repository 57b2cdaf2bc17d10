#include "main/guarded_application.h"

#include "logging/guarded_call.h"

namespace hawthorn::main {

bool GuardedApplication::notify(QObject* receiver, QEvent* event) {
  bool handled = false;
  logging::CallGuarded(receiver->metaObject()->className(), [&] {
    handled = QCoreApplication::notify(receiver, event);
  });
  return handled;
}

}  // namespace hawthorn::main
