#include "bamboowing/transport/connection_server.h"

#include <utility>

#include "http_connections.h"

namespace bamboowing {
namespace {

class beast_server final : public connection_server, private request_listener {
 public:
  explicit beast_server(connection_listener& listener) : listener_(listener) {}

  bool Open(std::string_view address, const connection_limits& limits, failure& error) {
    connections_ = http_connections::Open(address, limits, *this, error);
    return connections_ != nullptr;
  }

  void Serve() override { connections_->Serve(); }
  void Respond(call_id call, http_response response) override { connections_->Respond(call, std::move(response)); }
  void DisableKeepAlive() override { connections_->DisableKeepAlive(); }
  void StopAccepting() override { connections_->StopAccepting(); }
  int port() const override { return connections_->port(); }

 private:
  void OnRequest(call_id call, received_request received) override {
    http_request request;
    request.method = std::move(received.method);
    request.path = received.target.substr(0, received.target.find('?'));
    request.headers = std::move(received.headers);
    request.body = std::move(received.body);
    listener_.OnRequest(call, std::move(request));
  }

  void OnCallerDisconnected(call_id call) override { listener_.OnCallerDisconnected(call); }
  void OnEnd(call_id /*call*/) override {}

  connection_listener& listener_;
  std::unique_ptr<http_connections> connections_;
};

}  // namespace

std::unique_ptr<connection_server> connection_server::Open(std::string_view address, const connection_limits& limits,
                                                           connection_listener& listener, failure& error) {
  std::unique_ptr<beast_server> server = std::make_unique<beast_server>(listener);
  if (!server->Open(address, limits, error)) {
    return nullptr;
  }
  return server;
}

}  // namespace bamboowing
