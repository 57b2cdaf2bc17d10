#pragma once

#include "scheduling/quota.h"
#include "schema/generated/deployment.pb.h"

// Credit for requests of organisations as messages between instances.
namespace hawthorn::cluster {

schema::QuotaRequest ToProto(const scheduling::QuotaReport& report);
scheduling::QuotaReport FromProto(const schema::QuotaRequest& request);
schema::QuotaGrant ToProto(const scheduling::QuotaAnswer& answer);
scheduling::QuotaAnswer FromProto(const schema::QuotaGrant& grant);

}  // namespace hawthorn::cluster
