#include "main/threads/upstream_thread.h"

#include <utility>

namespace hawthorn::main {

UpstreamThread::UpstreamThread(EventSink events)
    : events_(std::move(events)),
      mailbox_(new Mailbox),
      client_(new transport::HttpClient(
          [this](transport::ClientCallId id, std::string chunk) {
            events_(UpstreamChunk{id, std::move(chunk)});
          },
          [this](transport::ClientCallId id,
                 transport::ClientResponse response) {
            events_(UpstreamEnded{id, std::move(response)});
          })) {
  mailbox_->moveToThread(&thread_);
  client_->moveToThread(&thread_);
  QObject::connect(&thread_, &QThread::finished, client_,
                   &QObject::deleteLater);
  QObject::connect(&thread_, &QThread::finished, mailbox_,
                   &QObject::deleteLater);
  thread_.setObjectName("upstreams");
  thread_.start();
}

UpstreamThread::~UpstreamThread() { Stop(); }

void UpstreamThread::Start(transport::ClientRequest request) {
  mailbox_->Post(
      [this, request = std::move(request)] { client_->Start(request); });
}

void UpstreamThread::Cancel(transport::ClientCallId attempt) {
  mailbox_->Post([this, attempt] { client_->Cancel(attempt); });
}

void UpstreamThread::Stop() {
  if (!thread_.isRunning()) {
    return;
  }
  thread_.quit();
  thread_.wait();
}

}  // namespace hawthorn::main
