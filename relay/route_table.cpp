#include "relay/route_table.h"

#include <functional>
#include <utility>

#include "transport/http_message.h"

namespace hawthorn::relay {

const ServiceSettings* RouteTable::FindService(const std::string& name) const {
  const auto it = services_.find(name);
  return it == services_.end() ? nullptr : &it->second;
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view target) const {
  const std::string_view path = target.substr(0, target.find('?'));
  const std::string_view name = host.substr(0, host.find(':'));
  const Route* best = nullptr;
  for (const Route& route : routes_) {
    const bool matches = transport::EqualsIgnoreCase(route.host, name) &&
                         path.starts_with(route.path_prefix);
    if (matches && (best == nullptr ||
                    route.path_prefix.size() > best->path_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

const std::string& RouteTable::PickService(const Route& route,
                                           std::string_view key) {
  uint64_t total = 0;
  for (const WeightedService& it : route.services) {
    total += it.weight;
  }
  uint64_t point = total == 0 ? 0 : std::hash<std::string_view>{}(key) % total;
  for (const WeightedService& it : route.services) {
    if (point < it.weight) {
      return it.service;
    }
    point -= it.weight;
  }
  return route.services.front().service;
}

RouteTable::Builder& RouteTable::Builder::SetVersion(uint64_t version) {
  table_.version_ = version;
  return *this;
}

RouteTable::Builder& RouteTable::Builder::SetLimits(
    const CallerLimits& limits) {
  table_.limits_ = limits;
  return *this;
}

RouteTable::Builder& RouteTable::Builder::AddRoute(Route route) {
  table_.routes_.push_back(std::move(route));
  return *this;
}

RouteTable::Builder& RouteTable::Builder::AddService(ServiceSettings service) {
  std::string name = service.name;
  table_.services_[std::move(name)] = std::move(service);
  return *this;
}

RouteTable::Builder& RouteTable::Builder::SetOrganisations(
    OrganisationTable organisations) {
  table_.organisations_ = std::move(organisations);
  return *this;
}

std::shared_ptr<const RouteTable> RouteTable::Builder::Build() {
  return std::make_shared<const RouteTable>(std::move(table_));
}

}  // namespace hawthorn::relay
