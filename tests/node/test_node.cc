#include "tests/node/test_node.h"

#include <fmt/format.h>
#include <json/json.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace borageloft::node {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

settings::NodeSettings MakeSettings(const std::string& name, const std::string& zone) {
  settings::NodeSettings settings;
  settings.node = name;
  settings.region = "r";
  settings.zone = zone;
  return settings;
}

transport::TransportOptions MakeOptions(const std::string& name) {
  transport::TransportOptions options;
  options.node = name;
  options.silence_timeout = seconds(60);
  options.connect_timeout = seconds(10);
  return options;
}

}  // namespace

OnceHooks PermitAll() {
  return {[](const wire::Request&, base::TimePoint) { return std::optional<wire::Response>(); },
          [](const wire::Request&, wire::Response response, base::TimePoint) { return response; }};
}

TestNode::TestNode(const std::string& name, OnceHooks once, const std::string& zone)
    : settings(MakeSettings(name, zone)),
      spans(name, {}, 16),
      services{settings,
               [this] { return base::SystemClock()() + base::Duration(clock_offset_); },
               base::SystemWallClock(),
               [] {
                 thread_local std::uint64_t state =
                     std::hash<std::thread::id>()(std::this_thread::get_id());
                 return base::Hash("random", ++state);
               },
               policies,
               metrics,
               spans,
               timers},
      routes(services),
      gate(services, running, MakeHooks(std::move(once))),
      inbound(services, gate),
      transport(context, MakeOptions(name), MakeTransportHooks()),
      peers(transport.Listen({"127.0.0.1", 0})),
      sender(services, gate, transport),
      attempts(services, routes, sender, [](const std::string&, base::TimePoint) {}),
      entry(services, routes, running, attempts) {
  policies.AddListener([this](const notes::Policy& policy) {
    if (before_apply) {
      before_apply();
    }
    gate.ApplyPolicy(policy);
  });
  // A node without a release note in force runs nothing.
  ApplyNote("[changed limit queue_length]\nvalue = 128\n");
  timers.SubscribeEvery(milliseconds(2), [this](base::TimePoint) { gate.Tick(); });
  driver.Start();
  for (int i = 0; i < 2; ++i) {
    threads_.emplace_back([this] { context.run(); });
  }
}

TestNode::~TestNode() {
  driver.Stop();
  gate.Stop();
  transport.Stop();
  work.reset();
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

GateHooks TestNode::MakeHooks(OnceHooks once) {
  GateHooks hooks;
  hooks.upstream_changed = [this](const std::optional<membership::UpstreamData>& upstream) {
    if (before_change) {
      before_change();
    }
    const std::scoped_lock lock(mutex_);
    changes_.push_back(upstream);
  };
  hooks.level_below = [] { return admission::AdmissionLevel(); };
  hooks.once = std::move(once);
  return hooks;
}

transport::TransportHooks TestNode::MakeTransportHooks() {
  transport::TransportHooks hooks;
  hooks.handle_request = [this](const std::string&, transport::InboundRequestId id,
                                wire::Request request, transport::Responder respond) {
    inbound.Start(id, std::move(request), std::move(respond));
  };
  hooks.handle_cancel = [this](transport::InboundRequestId id) { inbound.Cancel(id); };
  hooks.handle_control = [](const std::string&, wire::Channel, const std::string&) {};
  return hooks;
}

void TestNode::ApplyNote(const std::string& sections) {
  const auto current = policies.current();
  policies.Replace(notes::ApplyNote(
      *current,
      fmt::format("[note]\nnumber = {}\nauthor = test\n{}", current->number() + 1, sections),
      "test"));
}

settings::Endpoint TestNode::Serve(const std::string& service, http::HttpHandler handler,
                                   std::uint32_t slots) {
  upstream_ = std::make_unique<http::HttpServer>(http::HttpServerOptions{}, std::move(handler));
  const settings::Endpoint endpoint = upstream_->Start({"127.0.0.1", 0});
  Announce(service, endpoint, slots);
  return endpoint;
}

membership::AnnounceRefusal TestNode::Announce(const std::string& service,
                                               const settings::Endpoint& address,
                                               std::uint32_t slots) {
  return gate.Announce({service, settings::FormatEndpoint(address), slots, 64, seconds(600)});
}

void TestNode::Learn(const std::string& service, std::initializer_list<const TestNode*> nodes) {
  std::vector<membership::RecordEntry> entries;
  for (const TestNode* node : nodes) {
    membership::RecordEntry entry;
    entry.record.node = node->settings.node;
    entry.record.stamp = {1, 1};
    entry.record.region = "r";
    entry.record.zone = node->settings.zone;
    entry.record.address = settings::FormatEndpoint(node->peers);
    entry.record.upstream = membership::UpstreamData{
        service, "127.0.0.1:1", 4, 64, 1, membership::UpstreamState::kServing};
    entries.push_back(std::move(entry));
  }
  routes.UpdateMembers(service, entries);
}

std::future<wire::Response> TestNode::Submit(const wire::Request& request, base::Duration timeout,
                                             GateCallId* id) {
  auto promise = std::make_shared<std::promise<wire::Response>>();
  const GateCallId call =
      gate.Submit(request, services.clock() + timeout,
                  [promise](wire::Response response) { promise->set_value(std::move(response)); });
  if (id != nullptr) {
    *id = call;
  }
  return promise->get_future();
}

std::vector<std::optional<membership::UpstreamData>> TestNode::changes() const {
  const std::scoped_lock lock(mutex_);
  return changes_;
}

wire::Request MakeGateRequest(const std::string& service, const std::string& path) {
  wire::Request request;
  request.service = service;
  request.method = "GET";
  request.path = path;
  request.context.root = "root";
  request.context.begun = base::SystemWallClock()();
  return request;
}

http::HttpRequest MakeCall(const std::string& target, http::Headers headers,
                           const std::string& method) {
  http::HttpRequest request;
  request.method = method;
  request.target = target;
  request.headers = std::move(headers);
  request.remote = "127.0.0.1";
  return request;
}

std::string OutcomeOf(const http::HttpResponse& response) {
  return http::FindHeader(response.headers, http::kOutcomeHeader);
}

std::string ReasonOf(const http::HttpResponse& response) {
  Json::Value body;
  Json::Reader reader;
  return reader.parse(response.body, body) && body.isObject() ? body["title"].asString() : "";
}

RawUpstream::RawUpstream(std::string answer) : answer_(std::move(answer)) {
  listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  ::bind(listener_, reinterpret_cast<sockaddr*>(&address), length);
  ::listen(listener_, 16);
  ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
  endpoint_ = {"127.0.0.1", ntohs(address.sin_port)};
  thread_ = std::thread([this] { Serve(); });
}

RawUpstream::~RawUpstream() {
  ::shutdown(listener_, SHUT_RDWR);
  thread_.join();
  ::close(listener_);
}

void RawUpstream::Serve() {
  int socket = 0;
  while ((socket = ::accept(listener_, nullptr, nullptr)) >= 0) {
    std::array<char, 4096> buffer{};
    ::recv(socket, buffer.data(), buffer.size(), 0);
    ::send(socket, answer_.data(), answer_.size(), MSG_NOSIGNAL);
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
  }
}

}  // namespace borageloft::node
