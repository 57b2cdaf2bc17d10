#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <functional>
#include <memory>
#include <string>

#include "main/calls/call_controller.h"
#include "main/calls/catalog.h"
#include "main/groups/group_client.h"
#include "main/threads/sinks.h"
#include "transport/http_server.h"

namespace hawthorn::main {

/// HTTP API for callers: creates, reads, pauses, resumes and ends programs, and
/// accepts calls in programs and idempotent calls outside them. Runs on the
/// decision thread.
class CallerApi {
 public:
  struct Parts {
    const core::Clock& clock;
    GroupClient& groups;
    CallController& calls;
    HttpSink& http;
  };
  using CatalogSource = std::function<std::shared_ptr<const Catalog>()>;
  using RandomSource = std::function<uint64_t()>;

  /// `zone` becomes the home zone of programs that are created here.
  CallerApi(Parts parts, std::string zone, CatalogSource catalog,
            RandomSource random);

  /// Handles `request` if its path belongs to this API; otherwise returns
  /// false.
  bool OnRequest(const transport::HttpRequest& request);

 private:
  using Handler = std::function<void(const schema::LedgerReply&)>;

  std::optional<core::OrganisationId> Authenticate(
      const transport::HttpRequest& request);
  void RouteProgram(const transport::HttpRequest& request,
                    const core::OrganisationId& organisation);
  void CreateProgram(const transport::HttpRequest& request,
                     const core::OrganisationId& organisation);
  void ReadProgram(const transport::HttpRequest& request,
                   const core::OrganisationId& organisation,
                   const core::ProgramId& program);
  void SubmitCall(const transport::HttpRequest& request,
                  const core::OrganisationId& organisation,
                  const core::ProgramId& program);
  void SubmitPlainCall(const transport::HttpRequest& request,
                       const core::OrganisationId& organisation);
  void SubmitChat(const transport::HttpRequest& request,
                  const core::OrganisationId& organisation);
  void ContinueChat(const transport::HttpRequest& request,
                    const core::OrganisationId& organisation,
                    const core::ProgramId& program, const QJsonObject& body);
  void ChangeProgram(const transport::HttpRequest& request,
                     const core::OrganisationId& organisation,
                     const core::ProgramId& program, const std::string& action);
  core::Result<CallSubmission> ParseCall(
      const transport::HttpRequest& request, const QJsonObject& body,
      const core::OrganisationId& organisation) const;
  core::Status FillService(CallSubmission* submission) const;
  void Propose(const transport::HttpRequest& request,
               const core::ProgramId& program,
               const schema::LedgerCommand& command,
               const Handler& on_accepted);
  void Refuse(const transport::HttpRequest& request, const core::Error& error);
  void Reply(const transport::HttpRequest& request, int status,
             const QJsonObject& body);

  Parts parts_;
  std::string zone_;
  CatalogSource catalog_;
  RandomSource random_;
};

/// The messages of a chat request that the program's history does not contain
/// yet, and the number of their call. If all messages are recorded, the request
/// is a retry of an earlier call.
struct ChatDelta {
  uint32_t number = 1;
  std::string messages;

  bool operator==(const ChatDelta&) const = default;
};

/// Compares a chat request with the history. Error kConflict if the messages
/// contradict it.
core::Result<ChatDelta> ChatDeltaOf(const std::string& history_reply,
                                    const QJsonArray& messages);

}  // namespace hawthorn::main
