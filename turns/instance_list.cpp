#include "turns/instance_list.h"

#include <utility>

namespace hawthorn::turns {

void InstanceListQuery::Read(InstanceListCallback callback) {
  waiting_.push_back(std::move(callback));
  if (!reading_) {
    Begin();
  }
}

void InstanceListQuery::Begin() {
  reading_ = true;
  reader_([this, alive = std::weak_ptr<bool>(alive_),
           served = std::exchange(waiting_, {})](
              const core::Result<std::vector<schema::InstanceRecord>>& list) {
    for (const InstanceListCallback& it : served) {
      if (alive.expired()) {
        return;
      }
      it(list);
    }
    if (alive.expired()) {
      return;
    }
    reading_ = false;
    if (!waiting_.empty()) {
      Begin();
    }
  });
}

}  // namespace hawthorn::turns
