#include "cluster/quota_messages.h"

namespace hawthorn::cluster {

schema::QuotaRequest ToProto(const scheduling::QuotaReport& report) {
  schema::QuotaRequest request;
  request.set_term(report.term);
  request.set_configuration_version(report.configuration_version);
  request.set_sequence(report.sequence);
  request.set_incarnation(report.incarnation);
  for (const scheduling::QuotaDemand& it : report.demands) {
    schema::QuotaDemand* demand = request.add_demands();
    demand->set_organisation(it.organisation);
    demand->set_used(it.used);
    demand->set_returned(it.returned);
    demand->set_refunded(it.refunded);
    demand->set_refund_age_ms(static_cast<uint32_t>(it.refund_age.count()));
    demand->set_wanted(it.wanted);
  }
  return request;
}

scheduling::QuotaReport FromProto(const schema::QuotaRequest& request) {
  scheduling::QuotaReport report;
  report.term = request.term();
  report.configuration_version = request.configuration_version();
  report.sequence = request.sequence();
  report.incarnation = request.incarnation();
  for (const schema::QuotaDemand& it : request.demands()) {
    scheduling::QuotaDemand& demand = report.demands.emplace_back();
    demand.organisation = it.organisation();
    demand.used = it.used();
    demand.returned = it.returned();
    demand.refunded = it.refunded();
    demand.refund_age = std::chrono::milliseconds(it.refund_age_ms());
    demand.wanted = it.wanted();
  }
  return report;
}

schema::QuotaGrant ToProto(const scheduling::QuotaAnswer& answer) {
  schema::QuotaGrant grant;
  grant.set_term(answer.term);
  grant.set_configuration_version(answer.configuration_version);
  grant.set_settling(answer.settling);
  for (const scheduling::QuotaCredit& it : answer.credits) {
    schema::QuotaCredit* credit = grant.add_credits();
    credit->set_organisation(it.organisation);
    credit->set_granted(it.granted);
    credit->set_retry_after_ms(static_cast<uint32_t>(it.retry_after.count()));
  }
  return grant;
}

scheduling::QuotaAnswer FromProto(const schema::QuotaGrant& grant) {
  scheduling::QuotaAnswer answer;
  answer.term = grant.term();
  answer.configuration_version = grant.configuration_version();
  answer.settling = grant.settling();
  for (const schema::QuotaCredit& it : grant.credits()) {
    answer.credits.push_back({it.organisation(), it.granted(),
                              std::chrono::milliseconds(it.retry_after_ms())});
  }
  return answer;
}

}  // namespace hawthorn::cluster
