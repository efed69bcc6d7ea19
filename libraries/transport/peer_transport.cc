#include "libraries/transport/peer_transport.h"

#include <fmt/format.h>

#include <utility>
#include <vector>

#include "libraries/transport/connection.h"

namespace borageloft::transport {

using asio::ip::tcp;

struct PeerTransport::State : std::enable_shared_from_this<PeerTransport::State> {
  State(asio::io_context& io_context, TransportOptions transport_options,
        TransportHooks transport_hooks)
      : context(io_context),
        options(std::move(transport_options)),
        hooks(std::move(transport_hooks)),
        acceptor(asio::make_strand(io_context)) {}

  void Accept();
  void AddInbound(tcp::socket socket);
  std::shared_ptr<Connection> ConnectionTo(const PeerAddress& peer);
  ConnectionEvents MakeEvents();
  bool HandleHello(const std::shared_ptr<Connection>& connection, const wire::Hello& hello);
  void HandleRequest(const std::shared_ptr<Connection>& connection, wire::Request request);
  void HandleClosed(const std::shared_ptr<Connection>& connection, const char* reason);
  std::vector<std::shared_ptr<Connection>> AllConnections() const;

  asio::io_context& context;
  const TransportOptions options;
  const TransportHooks hooks;
  tcp::acceptor acceptor;  // Used on its strand only, once it listens.

  mutable base::RankedMutex mutex{base::LockRank::kTransport};
  bool is_stopped = false;
  std::uint64_t next_connection = 1;
  std::map<std::uint64_t, std::shared_ptr<Connection>> connections;
  std::map<std::string, std::shared_ptr<Connection>> by_node;
  std::map<std::string, std::uint64_t> incarnations;
  TransportCounters counters;
  TrafficTable traffic;
};

void PeerTransport::State::Accept() {
  acceptor.async_accept(
      asio::make_strand(context),
      [self = shared_from_this()](const asio::error_code& error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !self->acceptor.is_open()) {
          return;
        }
        if (!error) {
          self->AddInbound(std::move(socket));
        }
        self->Accept();
      });
}

void PeerTransport::State::AddInbound(tcp::socket socket) {
  std::shared_ptr<Connection> connection;
  {
    const std::scoped_lock lock(mutex);
    if (is_stopped || connections.size() >= options.connections) {
      ++counters.connections_refused;
      return;
    }
    const std::uint64_t id = next_connection++;
    connection = std::make_shared<Connection>(std::move(socket), Direction::kInbound, id, 0, "",
                                              options, MakeEvents());
    connections.emplace(id, connection);
    ++counters.connections_opened;
  }
  connection->Start();
}

std::shared_ptr<Connection> PeerTransport::State::ConnectionTo(const PeerAddress& peer) {
  std::shared_ptr<Connection> connection;
  {
    const std::scoped_lock lock(mutex);
    if (is_stopped) {
      return nullptr;
    }
    if (const auto found = by_node.find(peer.node); found != by_node.end()) {
      return found->second;
    }
    if (connections.size() >= options.connections) {
      ++counters.connections_refused;
      return nullptr;
    }
    const std::uint64_t id = next_connection++;
    // The connection's number serves as its generation: it rises with every connection opened.
    connection =
        std::make_shared<Connection>(tcp::socket(asio::make_strand(context)), Direction::kOutbound,
                                     id, id, peer.node, options, MakeEvents());
    connections.emplace(id, connection);
    by_node.emplace(peer.node, connection);
    ++counters.connections_opened;
  }
  connection->Dial(peer.endpoint);
  return connection;
}

ConnectionEvents PeerTransport::State::MakeEvents() {
  const auto self = shared_from_this();
  ConnectionEvents events;
  events.handle_hello = [self](const std::shared_ptr<Connection>& connection,
                               const wire::Hello& hello) {
    return self->HandleHello(connection, hello);
  };
  events.handle_request = [self](const std::shared_ptr<Connection>& connection,
                                 wire::Request request) {
    self->HandleRequest(connection, std::move(request));
  };
  events.handle_cancel = [self](InboundRequestId id) { self->hooks.handle_cancel(id); };
  events.handle_control = [self](const std::string& from, wire::Channel channel,
                                 std::string payload) {
    self->hooks.handle_control(from, channel, std::move(payload));
  };
  events.handle_closed = [self](const std::shared_ptr<Connection>& connection, const char* reason) {
    self->HandleClosed(connection, reason);
  };
  events.count_sent = [self](TrafficKind kind, bool crosses_zones, std::size_t bytes) {
    self->traffic.Add(kind, crosses_zones, bytes);
  };
  events.handle_late_response = [self] {
    const std::scoped_lock lock(self->mutex);
    ++self->counters.late_responses;
  };
  return events;
}

bool PeerTransport::State::HandleHello(const std::shared_ptr<Connection>& connection,
                                       const wire::Hello& hello) {
  const std::scoped_lock lock(mutex);
  std::uint64_t& incarnation = incarnations[hello.node];
  if (hello.incarnation < incarnation) {
    return false;
  }
  incarnation = hello.incarnation;
  // Calls to the peer use its inbound connection when no outbound one exists.
  by_node.emplace(hello.node, connection);
  return true;
}

void PeerTransport::State::HandleRequest(const std::shared_ptr<Connection>& connection,
                                         wire::Request request) {
  const std::uint64_t stream = request.stream;
  const std::weak_ptr<Connection> weak = connection;
  Responder respond = [weak, stream](wire::Response response) {
    if (const auto target = weak.lock()) {
      response.stream = stream;
      target->SendResponse(std::move(response));
    }
  };
  hooks.handle_request(connection->peer(), {connection->id(), stream}, std::move(request),
                       std::move(respond));
}

void PeerTransport::State::HandleClosed(const std::shared_ptr<Connection>& connection,
                                        const char* reason) {
  {
    const std::scoped_lock lock(mutex);
    connections.erase(connection->id());
    std::erase_if(by_node, [&](const auto& entry) { return entry.second == connection; });
    if (std::string_view(reason) == "silent") {
      ++counters.connections_silent;
    }
  }
  base::Log(base::LogLevel::kInfo, "peer_connection_closed",
            {{"peer", connection->peer()},
             {"connection", static_cast<Json::UInt64>(connection->id())},
             {"reason", reason}});
}

std::vector<std::shared_ptr<Connection>> PeerTransport::State::AllConnections() const {
  const std::scoped_lock lock(mutex);
  std::vector<std::shared_ptr<Connection>> all;
  all.reserve(connections.size());
  for (const auto& [id, connection] : connections) {
    all.push_back(connection);
  }
  return all;
}

PeerTransport::PeerTransport(asio::io_context& context, TransportOptions options,
                             TransportHooks hooks)
    : state_(std::make_shared<State>(context, std::move(options), std::move(hooks))) {}

PeerTransport::~PeerTransport() { Stop(); }

settings::Endpoint PeerTransport::Listen(const settings::Endpoint& endpoint) {
  try {
    const tcp::endpoint target(asio::ip::make_address(endpoint.address), endpoint.port);
    state_->acceptor.open(target.protocol());
    state_->acceptor.set_option(tcp::acceptor::reuse_address(true));
    state_->acceptor.bind(target);
    state_->acceptor.listen();
    state_->Accept();
    return {endpoint.address, state_->acceptor.local_endpoint().port()};
  } catch (const std::system_error& error) {
    throw TransportError(fmt::format("cannot listen for nodes on {}: {}",
                                     settings::FormatEndpoint(endpoint), error.what()));
  }
}

CallId PeerTransport::SendRequest(const PeerAddress& peer, wire::Request request,
                                  ResponseHandler handler) {
  const std::shared_ptr<Connection> connection = state_->ConnectionTo(peer);
  if (connection == nullptr) {
    handler(CallFailure::kNotSent);
    return {};
  }
  return {connection, connection->SendRequest(std::move(request), std::move(handler))};
}

void PeerTransport::CancelCall(const CallId& call) {
  if (const auto connection = call.connection.lock()) {
    connection->CancelCall(call.stream);
  }
}

void PeerTransport::SendControl(const PeerAddress& peer, wire::Channel channel,
                                std::string payload) {
  const std::size_t size = payload.size();
  const std::shared_ptr<Connection> connection = state_->ConnectionTo(peer);
  {
    const std::scoped_lock lock(state_->mutex);
    if (connection == nullptr) {
      ++state_->counters.control_dropped;
      return;
    }
    ++state_->counters.control_messages_sent;
    state_->counters.control_bytes_sent += size;
  }
  connection->SendControl(channel, std::move(payload));
}

void PeerTransport::CheckHeartbeats() {
  for (const auto& connection : state_->AllConnections()) {
    connection->CheckHeartbeat();
  }
}

base::Duration PeerTransport::SilentFor(const std::string& node) const {
  const std::scoped_lock lock(state_->mutex);
  const auto found = state_->by_node.find(node);
  return found == state_->by_node.end() ? base::Duration::zero()
                                        : found->second->SilentFor(base::SystemClock()());
}

void PeerTransport::ReplaceConnection(const std::string& node) {
  std::shared_ptr<Connection> connection;
  {
    const std::scoped_lock lock(state_->mutex);
    const auto found = state_->by_node.find(node);
    if (found == state_->by_node.end()) {
      return;
    }
    connection = found->second;
    state_->by_node.erase(found);
  }
  connection->Close("suspect");
}

void PeerTransport::Stop() {
  {
    const std::scoped_lock lock(state_->mutex);
    if (state_->is_stopped) {
      return;
    }
    state_->is_stopped = true;
  }
  asio::post(state_->acceptor.get_executor(), [state = state_] {
    asio::error_code ignored;
    state->acceptor.close(ignored);
  });
  for (const auto& connection : state_->AllConnections()) {
    connection->Close("shutdown");
  }
}

TransportCounters PeerTransport::counters() const {
  const std::scoped_lock lock(state_->mutex);
  TransportCounters counters = state_->counters;
  counters.traffic = state_->traffic.counters();
  return counters;
}

std::size_t PeerTransport::connection_count() const {
  const std::scoped_lock lock(state_->mutex);
  return state_->connections.size();
}

}  // namespace borageloft::transport
