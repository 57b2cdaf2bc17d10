#include "cluster/forwarder_list.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace hawthorn::cluster {

namespace {

uint64_t DigestOf(const std::string& text, uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

}  // namespace

std::vector<schema::Forwarder> ForwarderList::SampleFor(
    const std::string& instance, const std::string& zone) const {
  using Weighted = std::pair<uint64_t, const schema::Forwarder*>;
  std::vector<Weighted> near;
  std::vector<Weighted> far;
  const uint64_t seed = DigestOf(instance, 0);
  for (const auto& [id, it] : forwarders_) {
    if (id != instance) {
      (it.zone() == zone ? near : far).emplace_back(DigestOf(id, seed), &it);
    }
  }
  std::vector<schema::Forwarder> sample;
  for (auto* list : {&near, &far}) {
    std::sort(list->begin(), list->end());
    list->resize(std::min(list->size(), kSampleSize));
    for (const Weighted& it : *list) {
      sample.push_back(*it.second);
    }
  }
  std::sort(sample.begin(), sample.end(), [](const auto& a, const auto& b) {
    return a.instance() < b.instance();
  });
  return sample;
}

schema::ForwarderList ForwarderList::ToMessage() const {
  schema::ForwarderList message;
  for (const auto& [id, it] : forwarders_) {
    *message.add_forwarders() = it;
  }
  return message;
}

ForwarderList::Builder& ForwarderList::Builder::Add(
    const google::protobuf::RepeatedPtrField<schema::Forwarder>& it) {
  for (const schema::Forwarder& forwarder : it) {
    Add(forwarder);
  }
  return *this;
}

ForwarderList::Builder& ForwarderList::Builder::Add(
    const schema::Forwarder& forwarder) {
  forwarders_[forwarder.instance()] = forwarder;
  return *this;
}

ForwarderList ForwarderList::Builder::Build() {
  ForwarderList list;
  list.forwarders_ = std::move(forwarders_);
  for (const auto& [id, it] : list.forwarders_) {
    for (const std::string* text : {&id, &it.zone(), &it.peer_address()}) {
      list.digest_ = DigestOf(*text, list.digest_ + text->size());
    }
  }
  return list;
}

}  // namespace hawthorn::cluster
