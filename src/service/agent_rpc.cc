#include "bamboowing/service/agent_rpc.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <map>
#include <thread>
#include <utility>
#include <variant>

#include "bamboowing/service/log.h"
#include "bamboowing/wire/codec.h"
#include "mailbox.h"

namespace bamboowing {
namespace {

constexpr std::size_t kCommandCapacity = 2048;

struct open_entry_session {
  std::string address;
};
struct close_entry_session {
  std::string address;
};
struct send_to_entry {
  std::string address;
  agent_batch batch;
};
using command = std::variant<open_entry_session, close_entry_session, send_to_entry>;

class agent_port_server final : public rpc::AgentPort::Server {
 public:
  agent_port_server(agent_rpc_listener& listener, std::string address)
      : listener_(listener), address_(std::move(address)) {}

  kj::Promise<void> deliver(DeliverContext context) override {
    std::optional<entry_batch> batch = Read(context.getParams().getBatch());
    KJ_REQUIRE(batch.has_value(), "entry batch with a value out of range");
    listener_.OnEntryBatch(address_, std::move(*batch));
    return kj::READY_NOW;
  }

 private:
  agent_rpc_listener& listener_;
  std::string address_;
};

/// One connection to an entry with its attached session.
struct entry_connection {
  explicit entry_connection(kj::Own<kj::AsyncIoStream> opened) : stream(kj::mv(opened)), client(*stream) {}
  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyClient client;
  kj::Maybe<rpc::AgentSession::Client> session;
};

struct rpc_session {
  std::uint64_t generation = 0;  ///< identifies events of an earlier connection to the same address
  kj::Own<entry_connection> connection;
  kj::Promise<void> pending_open = nullptr;
};

class agent_loop final : public kj::TaskSet::ErrorHandler {
 public:
  agent_loop(agent_rpc_listener& listener, std::string agent_id, kj::AsyncIoContext& io)
      : listener_(listener), agent_id_(std::move(agent_id)), io_(io), tasks_(*this) {}

  void Handle(open_entry_session& open) {
    RemoveSession(open.address);
    const std::uint64_t generation = ++last_generation_;
    rpc_session& session = sessions_[open.address];
    session.generation = generation;
    session.pending_open = Open(open.address, generation)
                               .catch_([this, address = open.address, generation](kj::Exception&& error) {
                                 ReportClosed(address, generation, error.getDescription().cStr());
                               })
                               .eagerlyEvaluate(nullptr);
  }

  void Handle(close_entry_session& close) { RemoveSession(close.address); }

  void Handle(send_to_entry& send) {
    const std::map<std::string, rpc_session>::iterator found = sessions_.find(send.address);
    if (found == sessions_.end() || found->second.connection.get() == nullptr) {
      return;
    }
    KJ_IF_MAYBE (session, found->second.connection->session) {
      capnp::Request<rpc::AgentSession::DeliverParams, rpc::AgentSession::DeliverResults> request =
          session->deliverRequest();
      Write(send.batch, request.initBatch());
      tasks_.add(request.send().ignoreResult().then(
          [this, address = send.address, sent_at = send.batch.header.sent_at, generation = found->second.generation]() {
            ReportAcknowledged(address, generation, sent_at);
          }));
    }
  }

  // The disconnect event reports a broken connection. An overloaded entry leaves a batch without acknowledgement.
  void taskFailed(kj::Exception&& error) override {
    if (error.getType() != kj::Exception::Type::DISCONNECTED && error.getType() != kj::Exception::Type::OVERLOADED) {
      Log(log_level::kWarning, "rpc_failed", {{"reason", error.getDescription().cStr()}});
    }
  }

 private:
  kj::Promise<void> Open(const std::string& address, std::uint64_t generation) {
    return io_.provider->getNetwork()
        .parseAddress(address)
        .then([](kj::Own<kj::NetworkAddress>&& to) {
          kj::Promise<kj::Own<kj::AsyncIoStream>> opened = to->connect();
          return opened.attach(kj::mv(to));
        })
        .then([this, address, generation](kj::Own<kj::AsyncIoStream>&& stream) {
          return Attach(address, generation, kj::mv(stream));
        });
  }

  kj::Promise<void> Attach(const std::string& address, std::uint64_t generation, kj::Own<kj::AsyncIoStream> stream) {
    const int one = 1;
    stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    rpc_session& session = sessions_[address];
    session.connection = kj::heap<entry_connection>(kj::mv(stream));
    tasks_.add(session.connection->client.onDisconnect().then(
        [this, address, generation]() { ReportClosed(address, generation, "the connection ended"); }));
    rpc::EntryPort::Client port = session.connection->client.bootstrap().castAs<rpc::EntryPort>();
    capnp::Request<rpc::EntryPort::AttachParams, rpc::EntryPort::AttachResults> request = port.attachRequest();
    request.setAgentId(agent_id_);
    request.setAgent(kj::heap<agent_port_server>(listener_, address));
    return request.send().then([this, address, generation](capnp::Response<rpc::EntryPort::AttachResults>&& response) {
      const std::map<std::string, rpc_session>::iterator found = sessions_.find(address);
      if (found == sessions_.end() || found->second.generation != generation) {
        return;
      }
      found->second.connection->session = response.getSession();
      listener_.OnSessionOpened(address);
    });
  }

  void ReportAcknowledged(const std::string& address, std::uint64_t generation, instant sent_at) {
    const std::map<std::string, rpc_session>::iterator found = sessions_.find(address);
    if (found != sessions_.end() && found->second.generation == generation) {
      listener_.OnBatchAcknowledged(address, sent_at);
    }
  }

  void ReportClosed(const std::string& address, std::uint64_t generation, std::string reason) {
    const std::map<std::string, rpc_session>::iterator found = sessions_.find(address);
    if (found != sessions_.end() && found->second.generation == generation) {
      RemoveSession(address);
      listener_.OnSessionClosed(address, std::move(reason));
    }
  }

  /// Removes a session. Its objects are destroyed in a later event, because this may run inside one of their callbacks.
  void RemoveSession(const std::string& address) {
    const std::map<std::string, rpc_session>::iterator found = sessions_.find(address);
    if (found == sessions_.end()) {
      return;
    }
    tasks_.add(kj::evalLater(
        [connection = kj::mv(found->second.connection), pending_open = kj::mv(found->second.pending_open)]() {}));
    sessions_.erase(found);
  }

  agent_rpc_listener& listener_;
  std::string agent_id_;
  kj::AsyncIoContext& io_;
  std::uint64_t last_generation_ = 0;
  std::map<std::string, rpc_session> sessions_;
  kj::TaskSet tasks_;
};

class agent_rpc_impl final : public agent_rpc {
 public:
  agent_rpc_impl(std::string agent_id, agent_rpc_listener& listener)
      : listener_(listener), mailbox_(kCommandCapacity), thread_([this, id = std::move(agent_id)] { Run(id); }) {}

  agent_rpc_impl(const agent_rpc_impl&) = delete;
  agent_rpc_impl& operator=(const agent_rpc_impl&) = delete;

  ~agent_rpc_impl() noexcept override {
    mailbox_.Close();
    thread_.join();
  }

  void OpenSession(std::string address) override { mailbox_.Post(open_entry_session{std::move(address)}); }
  void CloseSession(std::string address) override { mailbox_.Post(close_entry_session{std::move(address)}); }
  void Send(std::string address, agent_batch batch) override {
    mailbox_.Post(send_to_entry{std::move(address), std::move(batch)});
  }

 private:
  void Run(const std::string& agent_id) {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    agent_loop loop(listener_, agent_id, io);
    while (std::optional<command> next = mailbox_.Next(io.waitScope)) {
      std::visit([&loop](auto& alternative) { loop.Handle(alternative); }, *next);
    }
  }

  agent_rpc_listener& listener_;
  detail::kj_mailbox<command> mailbox_;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<agent_rpc> agent_rpc::Open(std::string agent_id, agent_rpc_listener& listener) {
  return std::make_unique<agent_rpc_impl>(std::move(agent_id), listener);
}

}  // namespace bamboowing
