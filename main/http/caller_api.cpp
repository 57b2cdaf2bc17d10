#include "main/http/caller_api.h"

#include <QJsonArray>
#include <cinttypes>
#include <cstdio>

#include "main/groups/ledger_messages.h"
#include "main/http/json.h"
#include "main/http/json_fields.h"
#include "transport/http_status.h"

namespace hawthorn::main {

namespace {

constexpr char kBearer[] = "Bearer ";
constexpr char kProgramsPath[] = "/v1/programs";
constexpr char kServicesPath[] = "/v1/services/";
constexpr char kChatPath[] = "/v1/chat/completions";
constexpr std::chrono::milliseconds kDefaultTimeout{60'000};
constexpr int64_t kDefaultIdleExpiryMs = 3'600'000;

core::Error BadRequest(std::string message) {
  return NotRun(core::ErrorCode::kInvalidArgument, std::move(message));
}

core::Error NoSuchRoute() {
  return NotRun(core::ErrorCode::kNotFound, "no such route");
}

}  // namespace

CallerApi::CallerApi(Parts parts, std::string zone, CatalogSource catalog,
                     RandomSource random)
    : parts_(parts),
      zone_(std::move(zone)),
      catalog_(std::move(catalog)),
      random_(std::move(random)) {}

void CallerApi::Refuse(const transport::HttpRequest& request,
                       const core::Error& error) {
  parts_.http.Respond(request.id, StatusOf(error.code), ErrorHeaders(error),
                      ToJson(ErrorObject(error)) + "\n");
}

void CallerApi::Reply(const transport::HttpRequest& request, int status,
                      const QJsonObject& body) {
  parts_.http.Respond(request.id, status, JsonHeaders(), ToJson(body) + "\n");
}

std::optional<core::OrganisationId> CallerApi::Authenticate(
    const transport::HttpRequest& request) {
  const std::string header = request.Header("authorization");
  if (!header.starts_with(kBearer)) {
    return std::nullopt;
  }
  return catalog_()->OrganisationOf(header.substr(sizeof kBearer - 1));
}

bool CallerApi::OnRequest(const transport::HttpRequest& request) {
  const bool is_program = request.path == kProgramsPath ||
                          request.path.starts_with("/v1/programs/");
  const bool is_service = request.path.starts_with(kServicesPath);
  if (!is_program && !is_service && request.path != kChatPath) {
    return false;
  }
  const auto organisation = Authenticate(request);
  if (!organisation) {
    Refuse(request, NotRun(core::ErrorCode::kUnauthenticated,
                           "the organisation's key is missing or unknown"));
    return true;
  }
  if (is_program) {
    RouteProgram(request, *organisation);
  } else if (request.method != "POST") {
    Refuse(request, NoSuchRoute());
  } else if (is_service) {
    SubmitPlainCall(request, *organisation);
  } else {
    SubmitChat(request, *organisation);
  }
  return true;
}

void CallerApi::RouteProgram(const transport::HttpRequest& request,
                             const core::OrganisationId& organisation) {
  std::string rest = request.path.substr(sizeof kProgramsPath - 1);
  if (rest.empty()) {
    request.method == "POST" ? CreateProgram(request, organisation)
                             : Refuse(request, NoSuchRoute());
    return;
  }
  rest.erase(0, 1);
  const size_t slash = rest.find('/');
  const core::ProgramId program(rest.substr(0, slash));
  const std::string action =
      slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (request.method == "GET" && action.empty()) {
    ReadProgram(request, organisation, program);
  } else if (request.method == "POST" && action == "calls") {
    SubmitCall(request, organisation, program);
  } else if (request.method == "POST" && !action.empty()) {
    ChangeProgram(request, organisation, program, action);
  } else {
    Refuse(request, NoSuchRoute());
  }
}

void CallerApi::Propose(const transport::HttpRequest& request,
                        const core::ProgramId& program,
                        const schema::LedgerCommand& command,
                        const Handler& on_accepted) {
  parts_.groups.Propose(
      LedgerGroup(HomeZoneOf(program)), command.SerializeAsString(),
      [this, request, on_accepted](const core::Result<std::string>& result) {
        if (!core::IsOk(result)) {
          Refuse(request, core::ErrorOf(result));
          return;
        }
        schema::LedgerReply reply;
        reply.ParseFromString(core::Value(result));
        if (reply.verdict() != schema::VERDICT_ACCEPTED) {
          Refuse(request, ErrorOfVerdict(reply));
          return;
        }
        on_accepted(reply);
      });
}

void CallerApi::CreateProgram(const transport::HttpRequest& request,
                              const core::OrganisationId& organisation) {
  const auto parsed = ParseObject(request.body);
  if (!core::IsOk(parsed)) {
    Refuse(request, core::ErrorOf(parsed));
    return;
  }
  JsonFields fields(core::Value(parsed));
  schema::LedgerCommand command = CommandAt(parts_.clock.WallNow());
  schema::CreateProgram& create = *command.mutable_create();
  create.set_organisation(organisation.text());
  create.set_parent(fields.Text("parent"));
  create.set_service_class(fields.Text("class"));
  create.set_idle_expiry_ms(
      fields.Number("idle_expiry_ms", kDefaultIdleExpiryMs));
  const std::string on_timeout = fields.Text("on_tool_timeout");
  create.set_on_tool_timeout(on_timeout == "continue"
                                 ? schema::TOOL_TIMEOUT_ACTION_CONTINUE
                                 : schema::TOOL_TIMEOUT_ACTION_FAIL);
  JsonFields budget(fields.Object("budget"));
  create.mutable_budget()->set_tokens(budget.Number("tokens", 0));
  create.mutable_budget()->set_turns(budget.Number("turns", 0));
  create.mutable_budget()->set_calls(budget.Number("calls", 0));
  create.mutable_budget()->set_wall_ms(budget.Number("wall_ms", 0));
  create.mutable_budget()->set_cost(budget.Number("cost", 0));
  fields.AddErrors(budget.Finish("budget."));
  if (!on_timeout.empty() && on_timeout != "fail" && on_timeout != "continue") {
    fields.AddError("on_tool_timeout must be \"fail\" or \"continue\"");
  }
  const auto* known = catalog_()->FindClass(create.service_class());
  if (!create.service_class().empty() && known == nullptr) {
    fields.AddError("unknown class \"" + create.service_class() + "\"");
  }
  const core::Status status = fields.Finish();
  if (!core::IsOk(status)) {
    Refuse(request, core::ErrorOf(status));
    return;
  }
  const std::string home = create.parent().empty()
                               ? zone_
                               : HomeZoneOf(core::ProgramId(create.parent()));
  char random[17];
  std::snprintf(random, sizeof random, "%016" PRIx64, random_());
  const core::ProgramId id(home + "." + std::to_string(command.wall_ms()) +
                           "." + random);
  create.set_program(id.text());
  Propose(request, id, command, [this, request, id](const auto&) {
    Reply(request, transport::status::kCreated,
          {{"program", QString::fromStdString(id.text())}});
  });
}

void CallerApi::ReadProgram(const transport::HttpRequest& request,
                            const core::OrganisationId& organisation,
                            const core::ProgramId& program) {
  parts_.groups.Query(
      LedgerGroup(HomeZoneOf(program)), MakeHistoryQuery(organisation, program),
      [this, request, program](const core::Result<std::string>& result) {
        if (!core::IsOk(result)) {
          Refuse(request, core::ErrorOf(result));
          return;
        }
        schema::LedgerQueryReply reply;
        reply.ParseFromString(core::Value(result));
        if (!reply.found()) {
          Refuse(request,
                 NotRun(core::ErrorCode::kNotFound, "no such program"));
          return;
        }
        Reply(request, transport::status::kOk, ProgramObject(reply));
      });
}

core::Status CallerApi::FillService(CallSubmission* submission) const {
  const auto catalog = catalog_();
  const schema::Service* service = catalog->FindService(submission->service);
  if (service == nullptr) {
    return NotRun(core::ErrorCode::kNotFound,
                  "unknown service \"" + submission->service.text() + "\"");
  }
  if (service->kind() == schema::SERVICE_KIND_MODEL) {
    submission->kind = schema::CALL_KIND_MODEL;
    if (!submission->operation.empty()) {
      return BadRequest("a model service has no operations");
    }
    return std::monostate();
  }
  if (submission->operation.empty()) {
    return BadRequest("\"operation\" is required for a plain service");
  }
  submission->kind = schema::CALL_KIND_NON_IDEMPOTENT;
  for (const std::string& it : service->idempotent_operations()) {
    if ("/" + it == submission->operation || it == submission->operation) {
      submission->kind = schema::CALL_KIND_IDEMPOTENT;
    }
  }
  return std::monostate();
}

core::Result<CallSubmission> CallerApi::ParseCall(
    const transport::HttpRequest& request, const QJsonObject& body,
    const core::OrganisationId& organisation) const {
  JsonFields fields(body);
  CallSubmission submission;
  submission.organisation = organisation;
  submission.number = static_cast<uint32_t>(fields.RequiredNumber("number"));
  submission.service = core::ServiceId(fields.RequiredText("service"));
  submission.service_class = fields.Text("class");
  submission.max_tokens = fields.Number("max_tokens", 0);
  submission.timeout = std::chrono::milliseconds(
      fields.Number("timeout_ms", kDefaultTimeout.count()));
  submission.waiter.exchange = request.id;
  submission.waiter.stream = fields.Flag("stream");
  const std::string operation = fields.Text("operation");
  if (!operation.empty()) {
    submission.operation = "/" + operation;
    submission.messages = ToJson(fields.Object("input"));
  } else {
    submission.messages = ToJson(QJsonValue(fields.Array("messages")));
  }
  const core::Status status = fields.Finish();
  if (!core::IsOk(status)) {
    return core::ErrorOf(status);
  }
  const core::Status known = FillService(&submission);
  if (!core::IsOk(known)) {
    return core::ErrorOf(known);
  }
  submission.waiter.stream =
      submission.waiter.stream && submission.kind == schema::CALL_KIND_MODEL;
  return submission;
}

void CallerApi::SubmitCall(const transport::HttpRequest& request,
                           const core::OrganisationId& organisation,
                           const core::ProgramId& program) {
  const auto body = ParseObject(request.body);
  if (!core::IsOk(body)) {
    Refuse(request, core::ErrorOf(body));
    return;
  }
  auto submission = ParseCall(request, core::Value(body), organisation);
  if (!core::IsOk(submission)) {
    Refuse(request, core::ErrorOf(submission));
    return;
  }
  CallSubmission call = core::TakeValue(std::move(submission));
  call.program = program;
  parts_.calls.Submit(call);
}

void CallerApi::SubmitPlainCall(const transport::HttpRequest& request,
                                const core::OrganisationId& organisation) {
  const std::string rest = request.path.substr(sizeof kServicesPath - 1);
  const size_t slash = rest.find('/');
  if (slash == std::string::npos || slash + 1 == rest.size()) {
    Refuse(request, NoSuchRoute());
    return;
  }
  CallSubmission call;
  call.organisation = organisation;
  call.service = core::ServiceId(rest.substr(0, slash));
  call.operation = rest.substr(slash);
  call.messages = request.body;
  call.timeout = kDefaultTimeout;
  call.waiter.exchange = request.id;
  const core::Status known = FillService(&call);
  if (!core::IsOk(known)) {
    Refuse(request, core::ErrorOf(known));
    return;
  }
  if (call.kind != schema::CALL_KIND_IDEMPOTENT) {
    Refuse(request, BadRequest("a call that may not be repeated must belong "
                               "to a program"));
    return;
  }
  parts_.calls.Submit(call);
}

void CallerApi::SubmitChat(const transport::HttpRequest& request,
                           const core::OrganisationId& organisation) {
  const auto parsed = ParseObject(request.body);
  if (!core::IsOk(parsed)) {
    Refuse(request, core::ErrorOf(parsed));
    return;
  }
  const QJsonObject body = core::Value(parsed);
  const core::ProgramId program(request.Header("hawthorn-program"));
  if (program.empty()) {
    Refuse(request, BadRequest("the header Hawthorn-Program is required"));
    return;
  }
  if (!body["messages"].isArray() || !body["model"].isString()) {
    Refuse(request, BadRequest("\"model\" and \"messages\" are required"));
    return;
  }
  ContinueChat(request, organisation, program, body);
}

void CallerApi::ContinueChat(const transport::HttpRequest& request,
                             const core::OrganisationId& organisation,
                             const core::ProgramId& program,
                             const QJsonObject& body) {
  CallSubmission call;
  call.organisation = organisation;
  call.program = program;
  call.service = core::ServiceId(body["model"].toString().toStdString());
  call.max_tokens = body["max_tokens"].toInteger();
  call.timeout = kDefaultTimeout;
  call.waiter = {request.id, body["stream"].toBool(),
                 ResponseFormat::kChatCompletion};
  const core::Status known = FillService(&call);
  if (!core::IsOk(known)) {
    Refuse(request, core::ErrorOf(known));
    return;
  }
  const QJsonArray messages = body["messages"].toArray();
  parts_.groups.Query(
      LedgerGroup(HomeZoneOf(program)), MakeHistoryQuery(organisation, program),
      [this, request, call, messages](const core::Result<std::string>& result) {
        if (!core::IsOk(result)) {
          Refuse(request, core::ErrorOf(result));
          return;
        }
        const auto delta = ChatDeltaOf(core::Value(result), messages);
        if (!core::IsOk(delta)) {
          Refuse(request, core::ErrorOf(delta));
          return;
        }
        CallSubmission next = call;
        next.number = core::Value(delta).number;
        next.messages = core::Value(delta).messages;
        parts_.calls.Submit(next);
      });
}

void CallerApi::ChangeProgram(const transport::HttpRequest& request,
                              const core::OrganisationId& organisation,
                              const core::ProgramId& program,
                              const std::string& action) {
  const auto parsed = ParseObject(request.body);
  if (!core::IsOk(parsed)) {
    Refuse(request, core::ErrorOf(parsed));
    return;
  }
  JsonFields fields(core::Value(parsed));
  schema::LedgerCommand command = CommandAt(parts_.clock.WallNow());
  if (action == "pause") {
    schema::BeginPause& pause = *command.mutable_begin_pause();
    pause.set_program(program.text());
    pause.set_organisation(organisation.text());
    pause.set_tool(fields.RequiredText("tool"));
    pause.set_deadline_wall_ms(command.wall_ms() +
                               fields.RequiredNumber("deadline_ms"));
  } else if (action == "resume") {
    command.mutable_end_pause()->set_program(program.text());
    command.mutable_end_pause()->set_organisation(organisation.text());
  } else if (action == "end") {
    command.mutable_end()->set_program(program.text());
    command.mutable_end()->set_organisation(organisation.text());
    command.mutable_end()->set_reason(fields.Text("reason"));
  } else {
    Refuse(request, NoSuchRoute());
    return;
  }
  const core::Status status = fields.Finish();
  if (!core::IsOk(status)) {
    Refuse(request, core::ErrorOf(status));
    return;
  }
  Propose(request, program, command,
          [this, request, program, action](const auto&) {
            if (action == "end") {
              parts_.calls.OnProgramEnded(program);
            }
            Reply(request, transport::status::kOk,
                  {{"program", QString::fromStdString(program.text())},
                   {"done", QString::fromStdString(action)}});
          });
}

}  // namespace hawthorn::main
