#include "bamboowing/service/entry_rpc.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <functional>
#include <future>
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
// Of an outgoing call whose connection is still being opened.
constexpr std::uint64_t kNoConnection = 0;

struct send_claims {
  std::uint64_t exchange = 0;
  std::string address;
  claim_request request;
};
struct abandon_claims {
  std::uint64_t exchange = 0;
};
struct answer_claims {
  claim_call_id id = 0;
  claim_reply reply;
};
using command = std::variant<send_to_agent, close_agent_session, send_relay, abandon_relay, answer_relay, send_claims,
                             abandon_claims, answer_claims>;

/// An outgoing call to another entry: its kind and its number among the calls of this kind.
enum class peer_call_kind : std::uint8_t { kRelay, kClaims };
using peer_call = std::pair<peer_call_kind, std::uint64_t>;

void EnableTcpNoDelay(kj::AsyncIoStream& stream) {
  const int one = 1;
  stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

class entry_loop;

/// An accepted connection, from an agent or another entry.
struct connection {
  connection(kj::Own<kj::AsyncIoStream> accepted, capnp::Capability::Client bootstrap)
      : stream(kj::mv(accepted)),
        network(*stream, capnp::rpc::twoparty::Side::SERVER),
        system(capnp::makeRpcServer(network, kj::mv(bootstrap))) {}
  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

/// An outgoing connection to another entry.
struct peer_connection {
  peer_connection(std::uint64_t id, kj::Own<kj::AsyncIoStream> opened)
      : connection(id), stream(kj::mv(opened)), client(*stream), port(client.bootstrap().castAs<rpc::EntryPort>()) {}
  std::uint64_t connection;
  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyClient client;
  rpc::EntryPort::Client port;
};

struct attached_agent {
  attached_agent(std::uint64_t id, rpc::AgentPort::Client agent) : connection(id), port(kj::mv(agent)) {}
  std::uint64_t connection;
  rpc::AgentPort::Client port;
};

class agent_session_server final : public rpc::AgentSession::Server {
 public:
  agent_session_server(entry_loop& loop, session_id session) : loop_(loop), session_(session) {}
  agent_session_server(const agent_session_server&) = delete;
  agent_session_server& operator=(const agent_session_server&) = delete;
  ~agent_session_server() noexcept(false);
  kj::Promise<void> deliver(DeliverContext context) override;

 private:
  entry_loop& loop_;
  session_id session_;
};

class entry_port_server final : public rpc::EntryPort::Server {
 public:
  entry_port_server(entry_loop& loop, std::uint64_t connection) : loop_(loop), connection_(connection) {}
  kj::Promise<void> attach(AttachContext context) override;
  kj::Promise<void> relay(RelayContext context) override;
  kj::Promise<void> claim(ClaimContext context) override;

 private:
  entry_loop& loop_;
  std::uint64_t connection_;
};

/// State of the RPC thread. Used on that thread only.
class entry_loop final : public kj::TaskSet::ErrorHandler {
 public:
  entry_loop(entry_rpc_listener& listener, kj::AsyncIoContext& io) : listener_(listener), io_(io), tasks_(*this) {}

  void Listen(kj::Own<kj::ConnectionReceiver> receiver) {
    receiver_ = kj::mv(receiver);
    AcceptNext();
  }

  void Handle(send_to_agent& send) {
    const std::map<session_id, kj::Own<attached_agent>>::iterator found = sessions_.find(send.session);
    if (found == sessions_.end()) {
      return;
    }
    capnp::Request<rpc::AgentPort::DeliverParams, rpc::AgentPort::DeliverResults> request =
        found->second->port.deliverRequest();
    Write(send.batch, request.initBatch());
    tasks_.add(request.send().ignoreResult());
  }

  void Handle(close_agent_session& close) {
    const std::map<session_id, kj::Own<attached_agent>>::iterator found = sessions_.find(close.session);
    if (found != sessions_.end()) {
      DropConnection(found->second->connection, "closed by the entry");
    }
  }

  void Handle(send_relay& relay) {
    const relay_id id = relay.relay;
    CallPeer({peer_call_kind::kRelay, id}, relay.address,
             [this, id, message = std::move(relay.request)](peer_connection& peer) {
               capnp::Request<rpc::EntryPort::RelayParams, rpc::EntryPort::RelayResults> request =
                   peer.port.relayRequest();
               Write(message, request.initRequest());
               return request.send().then([this, id](capnp::Response<rpc::EntryPort::RelayResults>&& response) {
                 if (EndCall({peer_call_kind::kRelay, id})) {
                   listener_.OnRelayReply(id, Read(response.getReply()));
                 }
               });
             });
  }

  void Handle(send_claims& claims) {
    const std::uint64_t exchange = claims.exchange;
    CallPeer({peer_call_kind::kClaims, exchange}, claims.address,
             [this, exchange, message = std::move(claims.request)](peer_connection& peer) {
               capnp::Request<rpc::EntryPort::ClaimParams, rpc::EntryPort::ClaimResults> request =
                   peer.port.claimRequest();
               Write(message, request.initRequest());
               return request.send().then([this, exchange](capnp::Response<rpc::EntryPort::ClaimResults>&& response) {
                 if (EndCall({peer_call_kind::kClaims, exchange})) {
                   listener_.OnClaimReply(exchange, Read(response.getReply()));
                 }
               });
             });
  }

  void Handle(abandon_relay& abandon) { AbandonCall({peer_call_kind::kRelay, abandon.relay}); }
  void Handle(abandon_claims& abandon) { AbandonCall({peer_call_kind::kClaims, abandon.exchange}); }

  void Handle(answer_claims& answer) {
    const std::map<claim_call_id, kj::Own<kj::PromiseFulfiller<kj::Own<claim_reply>>>>::iterator found =
        incoming_claims_.find(answer.id);
    if (found != incoming_claims_.end()) {
      found->second->fulfill(kj::heap<claim_reply>(std::move(answer.reply)));
      incoming_claims_.erase(found);
    }
  }

  void Handle(answer_relay& answer) {
    const std::map<relay_id, kj::Own<kj::PromiseFulfiller<kj::Own<relay_reply>>>>::iterator found =
        incoming_relays_.find(answer.relay);
    if (found != incoming_relays_.end()) {
      found->second->fulfill(kj::heap<relay_reply>(std::move(answer.reply)));
      incoming_relays_.erase(found);
    }
  }

  session_id AddSession(std::uint64_t connection, rpc::AgentPort::Client port, std::string agent) {
    const session_id id = ++last_id_;
    sessions_.emplace(id, kj::heap<attached_agent>(connection, kj::mv(port)));
    listener_.OnSessionOpened(id, std::move(agent));
    return id;
  }

  void RemoveSession(session_id session, std::string reason) {
    if (sessions_.erase(session) > 0) {
      listener_.OnSessionClosed(session, std::move(reason));
    }
  }

  kj::Promise<kj::Own<relay_reply>> AcceptRelay(relay_request request) {
    kj::PromiseFulfillerPair<kj::Own<relay_reply>> pair = kj::newPromiseAndFulfiller<kj::Own<relay_reply>>();
    const relay_id id = ++last_id_;
    incoming_relays_.emplace(id, kj::mv(pair.fulfiller));
    listener_.OnRelayRequest(id, std::move(request));
    return kj::mv(pair.promise);
  }

  kj::Promise<kj::Own<claim_reply>> AcceptClaims(claim_request request) {
    kj::PromiseFulfillerPair<kj::Own<claim_reply>> pair = kj::newPromiseAndFulfiller<kj::Own<claim_reply>>();
    const claim_call_id id = ++last_id_;
    incoming_claims_.emplace(id, kj::mv(pair.fulfiller));
    listener_.OnClaimRequest(id, std::move(request));
    return kj::mv(pair.promise);
  }

  entry_rpc_listener& listener() { return listener_; }

  // The end of the session reports a broken connection.
  void taskFailed(kj::Exception&& error) override {
    if (error.getType() != kj::Exception::Type::DISCONNECTED) {
      Log(log_level::kWarning, "rpc_failed", {{"reason", error.getDescription().cStr()}});
    }
  }

 private:
  using call_sender = std::function<kj::Promise<void>(peer_connection& peer)>;

  struct outgoing_call {
    std::string address;
    std::uint64_t connection = kNoConnection;  ///< on which the call was sent
    kj::Promise<void> promise = nullptr;
  };

  void AcceptNext() {
    tasks_.add(receiver_->accept().then([this](kj::Own<kj::AsyncIoStream>&& stream) {
      AddConnection(kj::mv(stream));
      AcceptNext();
    }));
  }

  void AddConnection(kj::Own<kj::AsyncIoStream> stream) {
    EnableTcpNoDelay(*stream);
    const std::uint64_t id = ++last_id_;
    kj::Own<connection> added = kj::heap<connection>(kj::mv(stream), kj::heap<entry_port_server>(*this, id));
    // The connection must not be destroyed inside its own event, so it is removed in a separate event.
    tasks_.add(added->network.onDisconnect().then([this, id]() { DropConnection(id, "the connection ended"); }));
    connections_.emplace(id, kj::mv(added));
  }

  void DropConnection(std::uint64_t id, const std::string& reason) {
    const std::map<std::uint64_t, kj::Own<connection>>::iterator found = connections_.find(id);
    if (found == connections_.end()) {
      return;
    }
    tasks_.add(kj::evalLater([closed = kj::mv(found->second)]() {}));
    connections_.erase(found);
    for (std::map<session_id, kj::Own<attached_agent>>::iterator it = sessions_.begin(); it != sessions_.end();) {
      const session_id session = it->first;
      const bool belongs = it->second->connection == id;
      ++it;
      if (belongs) {
        RemoveSession(session, reason);
      }
    }
  }

  /// Sends a call on the connection to the entry at @p address, which is opened if there is none.
  void CallPeer(const peer_call& call, const std::string& address, call_sender send) {
    const std::map<std::string, kj::Own<peer_connection>>::iterator found = peers_.find(address);
    if (found != peers_.end()) {
      TrackCall(call, address, found->second->connection, send(*found->second));
      return;
    }
    TrackCall(call, address, kNoConnection,
              io_.provider->getNetwork().parseAddress(address).then(
                  [this, call, address, send = std::move(send)](kj::Own<kj::NetworkAddress>&& to) mutable {
                    return Connect(kj::mv(to), call, address, std::move(send));
                  }));
  }

  kj::Promise<void> Connect(kj::Own<kj::NetworkAddress> to, const peer_call& call, const std::string& address,
                            call_sender send) {
    kj::Promise<kj::Own<kj::AsyncIoStream>> opened = to->connect();
    return opened.attach(kj::mv(to))
        .then([this, call, address, send = std::move(send)](kj::Own<kj::AsyncIoStream>&& stream) {
          EnableTcpNoDelay(*stream);
          std::map<std::string, kj::Own<peer_connection>>::iterator found = peers_.find(address);
          if (found == peers_.end()) {
            const std::uint64_t id = ++last_id_;
            kj::Own<peer_connection> added = kj::heap<peer_connection>(id, kj::mv(stream));
            tasks_.add(added->client.onDisconnect().then([this, address, id]() { DropPeer(address, id); }));
            found = peers_.emplace(address, kj::mv(added)).first;
          }
          outgoing_calls_[call].connection = found->second->connection;
          return send(*found->second);
        });
  }

  /// Holds the promise of an outgoing call until its reply is reported or the call is abandoned.
  void TrackCall(const peer_call& call, const std::string& address, std::uint64_t connection,
                 kj::Promise<void> promise) {
    outgoing_call& tracked = outgoing_calls_[call];
    tracked.address = address;
    tracked.connection = connection;
    tracked.promise = promise
                          .catch_([this, call, address](kj::Exception&&) {
                            // The next call must not use the broken connection.
                            DropPeer(address, outgoing_calls_[call].connection);
                            FailCall(call);
                          })
                          .eagerlyEvaluate(nullptr);
  }

  /// Removes an outgoing call. Returns false if it was abandoned.
  bool EndCall(const peer_call& call) {
    const std::map<peer_call, outgoing_call>::iterator found = outgoing_calls_.find(call);
    if (found == outgoing_calls_.end()) {
      return false;
    }
    // This runs inside the promise that is being removed, so the promise is destroyed in a later event.
    tasks_.add(kj::evalLater([finished = kj::mv(found->second.promise)]() {}));
    outgoing_calls_.erase(found);
    return true;
  }

  void FailCall(const peer_call& call) {
    if (!EndCall(call)) {
      return;
    }
    if (call.first == peer_call_kind::kRelay) {
      listener_.OnRelayReply(call.second, std::nullopt);
    } else {
      listener_.OnClaimReply(call.second, std::nullopt);
    }
  }

  void AbandonCall(const peer_call& call) {
    const std::map<peer_call, outgoing_call>::iterator found = outgoing_calls_.find(call);
    if (found == outgoing_calls_.end()) {
      return;
    }
    const std::string address = found->second.address;
    outgoing_calls_.erase(found);
    const std::map<std::string, kj::Own<peer_connection>>::const_iterator peer = peers_.find(address);
    if (peer != peers_.end()) {
      DropPeer(address, peer->second->connection);
    }
  }

  /// Closes a connection to another entry unless a later one has replaced it.
  void DropPeer(const std::string& address, std::uint64_t connection) {
    const std::map<std::string, kj::Own<peer_connection>>::iterator found = peers_.find(address);
    if (found != peers_.end() && found->second->connection == connection) {
      tasks_.add(kj::evalLater([closed = kj::mv(found->second)]() {}));
      peers_.erase(found);
    }
  }

  entry_rpc_listener& listener_;
  kj::AsyncIoContext& io_;
  std::uint64_t last_id_ = 0;
  kj::Own<kj::ConnectionReceiver> receiver_;
  std::map<session_id, kj::Own<attached_agent>> sessions_;
  std::map<peer_call, outgoing_call> outgoing_calls_;
  std::map<relay_id, kj::Own<kj::PromiseFulfiller<kj::Own<relay_reply>>>> incoming_relays_;
  std::map<claim_call_id, kj::Own<kj::PromiseFulfiller<kj::Own<claim_reply>>>> incoming_claims_;
  std::map<std::string, kj::Own<peer_connection>> peers_;
  std::map<std::uint64_t, kj::Own<connection>> connections_;
  kj::TaskSet tasks_;
};

agent_session_server::~agent_session_server() noexcept(false) { loop_.RemoveSession(session_, "closed by the agent"); }

kj::Promise<void> agent_session_server::deliver(DeliverContext context) {
  std::optional<agent_batch> batch = Read(context.getParams().getBatch());
  KJ_REQUIRE(batch.has_value(), "agent batch with a value out of range");
  if (!loop_.listener().OnAgentBatch(session_, std::move(*batch))) {
    return KJ_EXCEPTION(OVERLOADED, "the entry does not process batches");
  }
  return kj::READY_NOW;
}

kj::Promise<void> entry_port_server::attach(AttachContext context) {
  rpc::EntryPort::AttachParams::Reader params = context.getParams();
  const session_id session = loop_.AddSession(connection_, params.getAgent(), params.getAgentId());
  context.getResults().setSession(kj::heap<agent_session_server>(loop_, session));
  return kj::READY_NOW;
}

kj::Promise<void> entry_port_server::relay(RelayContext context) {
  std::optional<relay_request> request = Read(context.getParams().getRequest());
  KJ_REQUIRE(request.has_value(), "relayed call with a value out of range");
  context.releaseParams();
  return loop_.AcceptRelay(std::move(*request)).then([context](kj::Own<relay_reply>&& reply) mutable {
    Write(*reply, context.getResults().initReply());
  });
}

kj::Promise<void> entry_port_server::claim(ClaimContext context) {
  std::optional<claim_request> request = Read(context.getParams().getRequest());
  KJ_REQUIRE(request.has_value(), "request for claims with a value out of range");
  context.releaseParams();
  return loop_.AcceptClaims(std::move(*request)).then([context](kj::Own<claim_reply>&& reply) mutable {
    Write(*reply, context.getResults().initReply());
  });
}

class entry_rpc_impl final : public entry_rpc {
 public:
  explicit entry_rpc_impl(entry_rpc_listener& listener) : listener_(listener), mailbox_(kCommandCapacity) {}

  entry_rpc_impl(const entry_rpc_impl&) = delete;
  entry_rpc_impl& operator=(const entry_rpc_impl&) = delete;

  ~entry_rpc_impl() noexcept override {
    mailbox_.Close();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  /// Starts the thread. Returns the reason why the address cannot be bound; empty on success.
  std::string Start(std::string address) {
    std::promise<std::string> started;
    std::future<std::string> result = started.get_future();
    thread_ = std::thread(
        [this, address = std::move(address), started = std::move(started)]() mutable { Run(address, started); });
    return result.get();
  }

  void SendToAgent(session_id session, entry_batch batch) override { Post(send_to_agent{session, std::move(batch)}); }
  void CloseSession(session_id session) override { Post(close_agent_session{session}); }
  void SendRelay(relay_id id, std::string address, relay_request request) override {
    Post(send_relay{id, std::move(address), std::move(request)});
  }
  void AbandonRelay(relay_id id) override { Post(abandon_relay{id}); }
  void ReplyRelay(relay_id id, relay_reply reply) override { Post(answer_relay{id, std::move(reply)}); }
  void SendClaims(std::uint64_t exchange, std::string address, claim_request request) override {
    Post(send_claims{exchange, std::move(address), std::move(request)});
  }
  void AbandonClaims(std::uint64_t exchange) override { Post(abandon_claims{exchange}); }
  void ReplyClaims(claim_call_id id, claim_reply reply) override { Post(answer_claims{id, std::move(reply)}); }

 private:
  // If the mailbox is full, the command is dropped, like a message on a broken connection; the session
  // timeouts handle the loss.
  void Post(command posted) { mailbox_.Post(std::move(posted)); }

  void Run(const std::string& address, std::promise<std::string>& started) {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    entry_loop loop(listener_, io);
    try {
      kj::Own<kj::NetworkAddress> bound = io.provider->getNetwork().parseAddress(address).wait(io.waitScope);
      loop.Listen(bound->listen());
    } catch (const kj::Exception& error) {
      started.set_value(error.getDescription().cStr());
      return;
    }
    started.set_value("");
    while (std::optional<command> next = mailbox_.Next(io.waitScope)) {
      std::visit([&loop](auto& alternative) { loop.Handle(alternative); }, *next);
    }
  }

  entry_rpc_listener& listener_;
  detail::kj_mailbox<command> mailbox_;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<entry_rpc> entry_rpc::Open(std::string_view address, entry_rpc_listener& listener, failure& error) {
  std::unique_ptr<entry_rpc_impl> rpc = std::make_unique<entry_rpc_impl>(listener);
  const std::string reason = rpc->Start(std::string(address));
  if (!reason.empty()) {
    error = failure(error_kind::kInternal, "cannot listen on " + std::string(address) + ": " + reason);
    return nullptr;
  }
  return rpc;
}

}  // namespace bamboowing
