#include "main/http/operator_handlers.h"

#include <QJsonArray>
#include <algorithm>

#include "control/operation_id.h"
#include "main/groups/ledger_messages.h"
#include "main/http/json.h"
#include "main/http/json_fields.h"
#include "query.pb.h"
#include "settings/settings.h"

namespace hawthorn::main {

namespace {

constexpr uint32_t kMaxListedPrograms = 1000;

QString Text(const std::string& text) { return QString::fromStdString(text); }

const char* StateName(membership::InstanceState state) {
  switch (state) {
    case membership::InstanceState::kUnknown:
      return "unknown";
    case membership::InstanceState::kAlive:
      return "alive";
    case membership::InstanceState::kSuspect:
      return "suspect";
    case membership::InstanceState::kDead:
      return "dead";
  }
  return "unknown";
}

QJsonObject GroupObject(const std::string& name, const HostedGroup& group) {
  QJsonArray members;
  for (const consensus::Member& it : group.replica().membership().members()) {
    members.append(QJsonObject{{"instance", Text(it.id.instance)},
                               {"voter", it.voter},
                               {"disk", it.durable}});
  }
  return {{"group", Text(name)},
          {"leader", Text(group.leader())},
          {"leads_here", group.is_leader()},
          {"term", static_cast<qint64>(group.replica().term())},
          {"applied", static_cast<qint64>(group.applied_index())},
          {"members", members}};
}

QJsonObject Members(const ReplicatedGroups& groups,
                    const membership::Membership& membership) {
  QJsonArray instances;
  const auto& self = membership.instances().self();
  for (const membership::InstanceView& it : membership.instances().All()) {
    const bool is_self = it.instance == self.instance;
    instances.append(
        QJsonObject{{"instance", Text(it.instance.text())},
                    {"zone", Text(it.zone.text())},
                    {"state", is_self ? "alive" : StateName(it.state)},
                    {"draining", it.draining},
                    {"revision", static_cast<qint64>(it.revision)}});
  }
  QJsonArray list;
  for (const auto& [name, replica] : groups.replicas()) {
    list.append(GroupObject(name, *replica));
  }
  return {{"instances", instances},
          {"groups", list},
          {"highest_revision",
           static_cast<qint64>(membership.instances().HighestRevision())}};
}

void ListPrograms(GroupClient& groups, const std::string& zone,
                  const transport::HttpRequest& request,
                  const OperatorApi::HandlerReply& reply) {
  schema::LedgerQuery query;
  query.mutable_list()->set_organisation(request.Query("organisation"));
  query.mutable_list()->set_limit(kMaxListedPrograms);
  groups.Query(LedgerGroup(zone), query.SerializeAsString(),
               [reply](const core::Result<std::string>& result) {
                 if (!core::IsOk(result)) {
                   reply(core::ErrorOf(result));
                   return;
                 }
                 schema::LedgerQueryReply parsed;
                 parsed.ParseFromString(core::Value(result));
                 QJsonArray list;
                 for (const schema::ProgramSummary& it : parsed.programs()) {
                   list.append(SummaryObject(it));
                 }
                 reply(QJsonObject{{"programs", list}});
               });
}

void QueryControl(
    GroupClient& groups, schema::ControlQuery::Kind kind,
    const std::function<void(const core::Result<schema::ControlQueryReply>&)>&
        next) {
  schema::ControlQuery query;
  query.set_kind(kind);
  groups.Query(kControlGroup, query.SerializeAsString(),
               [next](const core::Result<std::string>& result) {
                 if (!core::IsOk(result)) {
                   next(core::ErrorOf(result));
                   return;
                 }
                 schema::ControlQueryReply parsed;
                 parsed.ParseFromString(core::Value(result));
                 next(parsed);
               });
}

void ReadConfiguration(GroupClient& groups,
                       const OperatorApi::HandlerReply& reply) {
  QueryControl(
      groups, schema::ControlQuery::KIND_CURRENT,
      [reply](const core::Result<schema::ControlQueryReply>& result) {
        if (!core::IsOk(result)) {
          reply(core::ErrorOf(result));
          return;
        }
        const auto& current = core::Value(result).current();
        reply(QJsonObject{{"revision", static_cast<qint64>(current.revision())},
                          {"author", Text(current.author())},
                          {"operation", Text(current.operation())},
                          {"yaml", Text(settings::ConfigurationToYaml(
                                       current.configuration()))}});
      });
}

void ReadHistory(GroupClient& groups, const OperatorApi::HandlerReply& reply) {
  QueryControl(groups, schema::ControlQuery::KIND_HISTORY,
               [reply](const core::Result<schema::ControlQueryReply>& result) {
                 if (!core::IsOk(result)) {
                   reply(core::ErrorOf(result));
                   return;
                 }
                 QJsonArray list;
                 for (const auto& it : core::Value(result).history()) {
                   list.append(QJsonObject{
                       {"revision", static_cast<qint64>(it.revision())},
                       {"author", Text(it.author())},
                       {"operation", Text(it.operation())},
                       {"wall_ms", static_cast<qint64>(it.wall_ms())}});
                 }
                 reply(QJsonObject{{"history", list}});
               });
}

core::Result<QJsonObject> ControlResult(const std::string& bytes) {
  schema::ControlReply reply;
  reply.ParseFromString(bytes);
  if (reply.verdict() == schema::CONTROL_VERDICT_ACCEPTED) {
    return QJsonObject{{"revision", static_cast<qint64>(reply.revision())},
                       {"repeated_answer", reply.repeated_answer()}};
  }
  core::Error error =
      NotRun(core::ErrorCode::kInvalidArgument, reply.message());
  if (reply.verdict() == schema::CONTROL_VERDICT_CONFLICT) {
    error.code = core::ErrorCode::kConflict;
    error.message += " (revision " + std::to_string(reply.revision()) +
                     " is in force, by " + reply.winner_author() +
                     ", operation " + reply.winner_operation() + ")";
  }
  if (reply.verdict() == schema::CONTROL_VERDICT_EXPIRED) {
    error.code = core::ErrorCode::kExpired;
  }
  return error;
}

void ApplyConfiguration(GroupClient& groups, const core::Clock& clock,
                        const std::function<uint64_t()>& random,
                        const transport::HttpRequest& request,
                        const OperatorApi::HandlerReply& reply) {
  const auto body = ParseObject(request.body);
  if (!core::IsOk(body)) {
    reply(core::ErrorOf(body));
    return;
  }
  JsonFields fields(core::Value(body));
  schema::ControlCommand command;
  command.set_wall_ms(clock.WallNow().time_since_epoch().count());
  schema::ApplyConfiguration& apply = *command.mutable_apply();
  apply.set_expected_revision(
      static_cast<uint64_t>(fields.Number("expected", 0)));
  apply.set_author(fields.RequiredText("author"));
  const std::string operation = fields.Text("operation");
  apply.set_operation(operation.empty()
                          ? control::MakeOperationId(clock.WallNow(), random())
                          : operation);
  const std::string yaml = fields.RequiredText("yaml");
  const core::Status status = fields.Finish();
  if (!core::IsOk(status)) {
    reply(core::ErrorOf(status));
    return;
  }
  const auto parsed = settings::ParseConfiguration(yaml, "configuration");
  if (std::holds_alternative<core::FindingList>(parsed)) {
    reply(NotRun(core::ErrorCode::kInvalidArgument,
                 std::get<core::FindingList>(parsed).Report()));
    return;
  }
  *apply.mutable_configuration() = std::get<schema::Configuration>(parsed);
  groups.Propose(kControlGroup, command.SerializeAsString(),
                 [reply](const core::Result<std::string>& result) {
                   reply(core::IsOk(result) ? ControlResult(core::Value(result))
                                            : core::Result<QJsonObject>(
                                                  core::ErrorOf(result)));
                 });
}

}  // namespace

void RegisterGroupHandlers(Node& node, ReplicatedGroups& groups,
                           membership::Membership& membership,
                           const schema::Settings& settings,
                           const core::Clock& clock,
                           const std::function<uint64_t()>& random) {
  using Reply = OperatorApi::HandlerReply;
  using Request = transport::HttpRequest;
  node.RegisterOperatorHandler(
      "members", [&groups, &membership](const Request&, const Reply& reply) {
        reply(Members(groups, membership));
      });
  node.RegisterOperatorHandler("programs", [&groups, &settings](
                                               const Request& request,
                                               const Reply& reply) {
    const std::string zone = request.Query("zone");
    ListPrograms(groups, zone.empty() ? settings.zone() : zone, request, reply);
  });
  node.RegisterOperatorHandler("config",
                               [&groups](const Request&, const Reply& reply) {
                                 ReadConfiguration(groups, reply);
                               });
  node.RegisterOperatorHandler("config/history",
                               [&groups](const Request&, const Reply& reply) {
                                 ReadHistory(groups, reply);
                               });
  node.RegisterOperatorHandler(
      "config/apply",
      [&groups, &clock, random](const Request& request, const Reply& reply) {
        ApplyConfiguration(groups, clock, random, request, reply);
      });
}

}  // namespace hawthorn::main
