#include "cluster/quota_server.h"

#include <utility>

#include "cluster/errors.h"
#include "cluster/quota_messages.h"
#include "logging/log.h"

namespace hawthorn::cluster {

namespace {

using logging::Log;
using logging::LogLevel;

}  // namespace

void QuotaServer::Update(const Leadership& leadership,
                         const schema::PublishedConfiguration& configuration,
                         core::TimePoint now) {
  leadership_ = leadership;
  if (!leadership_.is_leader) {
    return;
  }
  if (leadership_.term != allocator_.term()) {
    allocator_.BeginTerm(leadership_.term, now);
    decoded_version_.reset();
  }
  if (decoded_version_ != configuration.version()) {
    TakeLimits(configuration, now);
  }
}

void QuotaServer::TakeLimits(
    const schema::PublishedConfiguration& configuration, core::TimePoint now) {
  decoded_version_ = configuration.version();
  if (configuration.version() == 0 || !decoder_) {
    allocator_.SetLimits(configuration.version(), {}, now);
    return;
  }
  const auto limits = decoder_(configuration.content());
  if (!limits) {
    Log(LogLevel::kError, "request limits are unreadable",
        {{"version", std::to_string(configuration.version())}});
    return;
  }
  allocator_.SetLimits(configuration.version(), *limits, now);
  Log(LogLevel::kInfo, "request limits in force",
      {{"version", std::to_string(configuration.version())},
       {"term", std::to_string(allocator_.term())},
       {"organisations", std::to_string(allocator_.organisation_count())}});
}

core::Result<schema::QuotaGrant> QuotaServer::OnRequest(
    const std::string& from, const schema::QuotaRequest& request,
    core::TimePoint now) {
  metrics_.Count("quota_requests");
  if (!leadership_.is_leader) {
    return Unavailable("this instance is not the leader");
  }
  if (!leadership_.contact || now >= *leadership_.contact + kContactLimit) {
    metrics_.Count("quota_requests_without_majority");
    return Unavailable("the leader has no contact with a majority");
  }
  const auto answer = allocator_.Answer(from, FromProto(request), now);
  if (!core::IsOk(answer)) {
    metrics_.Count("quota_requests_refused");
    return core::ErrorOf(answer);
  }
  return ToProto(core::Value(answer));
}

void QuotaServer::UpdateGauges() const {
  const bool serves = leadership_.is_leader;
  metrics_.SetGauge(
      "quota_organisations",
      serves ? static_cast<double>(allocator_.organisation_count()) : 0);
  metrics_.SetGauge("quota_credit_lent",
                    serves ? static_cast<double>(allocator_.outstanding()) : 0);
}

}  // namespace hawthorn::cluster
