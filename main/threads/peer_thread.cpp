#include "main/threads/peer_thread.h"

#include <utility>

namespace hawthorn::main {

PeerThread::PeerThread(peer::PeerOptions options, EventSink events)
    : events_(std::move(events)), mailbox_(new Mailbox) {
  mailbox_->moveToThread(&thread_);
  thread_.setObjectName("peers");
  thread_.start();
  // The transport creates its sockets, so it must be created on its thread.
  QMetaObject::invokeMethod(
      mailbox_,
      [this, &options] {
        transport_ = new peer::PeerTransport(std::move(options));
      },
      Qt::BlockingQueuedConnection);
  QObject::connect(&thread_, &QThread::finished, transport_,
                   &QObject::deleteLater);
  QObject::connect(&thread_, &QThread::finished, mailbox_,
                   &QObject::deleteLater);
}

PeerThread::~PeerThread() { Stop(); }

core::Result<uint16_t> PeerThread::Listen(const schema::Settings& settings) {
  core::Result<uint16_t> result = uint16_t{0};
  const auto start = [this, &settings, &result] {
    transport_->SetHandler(
        [this](schema::PeerMessage message, const peer::Replier& replier) {
          PeerArrived arrived;
          arrived.message = std::move(message);
          arrived.reply = [this, replier](schema::PeerMessage reply_message) {
            mailbox_->Post([replier, reply_message = std::move(reply_message)] {
              replier.Reply(reply_message);
            });
          };
          events_(std::move(arrived));
        });
    for (const schema::PeerAddress& it : settings.instances()) {
      if (it.instance() == settings.instance()) {
        continue;
      }
      const core::Status known =
          transport_->SetPeer(core::InstanceId(it.instance()), it.address());
      if (!core::IsOk(known)) {
        result = core::ErrorOf(known);
        return;
      }
    }
    const core::Status status = transport_->Listen();
    if (!core::IsOk(status)) {
      result = core::ErrorOf(status);
      return;
    }
    result = transport_->port();
  };
  QMetaObject::invokeMethod(transport_, start, Qt::BlockingQueuedConnection);
  return result;
}

void PeerThread::Send(const core::InstanceId& to, schema::PeerMessage message) {
  mailbox_->Post([this, to, message = std::move(message)] {
    transport_->Send(to, message);
  });
}

void PeerThread::Request(const core::InstanceId& to,
                         schema::PeerMessage message,
                         std::chrono::milliseconds timeout,
                         ReplyHandler on_reply) {
  mailbox_->Post([this, to, message = std::move(message), timeout,
                  on_reply = std::move(on_reply)] {
    transport_->Request(
        to, message, timeout,
        [this, on_reply](core::Result<schema::PeerMessage> result) {
          events_(PeerReplied{on_reply, std::move(result)});
        });
  });
}

void PeerThread::CutLinks(std::set<core::InstanceId> peers) {
  mailbox_->Post(
      [this, peers = std::move(peers)] { transport_->CutLinks(peers); });
}

void PeerThread::Stop() {
  if (!thread_.isRunning()) {
    return;
  }
  thread_.quit();
  thread_.wait();
}

}  // namespace hawthorn::main
