#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <future>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "libraries/transport/transport.h"

namespace borageloft::transport {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** One node's transport with its own event loop. */
class TestNode {
 public:
  explicit TestNode(const std::string& name, TransportHooks hooks = {},
                    milliseconds silence = seconds(60), std::uint64_t incarnation = 1) {
    if (!hooks.handle_request) {
      hooks.handle_request = [](const std::string&, InboundRequestId, const wire::Request& request,
                                const Responder& respond) {
        wire::Response response;
        response.outcome = wire::Outcome::kRan;
        response.body = request.body;
        respond(response);
      };
    }
    if (!hooks.handle_cancel) {
      hooks.handle_cancel = [](InboundRequestId) {};
    }
    if (!hooks.handle_control) {
      hooks.handle_control = [](const std::string&, wire::Channel, const std::string&) {};
    }
    TransportOptions options;
    options.node = name;
    options.incarnation = incarnation;
    options.silence_timeout = silence;
    options.connect_timeout = seconds(5);
    // Some pairs compress in one direction only, which both ends must bear.
    options.crosses_zones = [](const std::string& node) { return node != "plain"; };
    transport_ = std::make_unique<PeerTransport>(context_, options, std::move(hooks));
    address_ = {name, transport_->Listen({"127.0.0.1", 0})};
    for (int i = 0; i < 2; ++i) {
      threads_.emplace_back([this] { context_.run(); });
    }
  }

  ~TestNode() {
    transport_->Stop();
    work_.reset();
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }

  PeerTransport& transport() { return *transport_; }
  const PeerAddress& address() const { return address_; }

 private:
  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_ =
      asio::make_work_guard(context_);
  std::unique_ptr<PeerTransport> transport_;
  PeerAddress address_;
  std::vector<std::thread> threads_;
};

wire::Request MakeRequest(std::string body) {
  wire::Request request;
  request.service = "s";
  request.body = std::move(body);
  return request;
}

CallResult Call(TestNode& from, const PeerAddress& to, const std::string& body) {
  std::promise<CallResult> promise;
  from.transport().SendRequest(to, MakeRequest(body),
                               [&](CallResult result) { promise.set_value(std::move(result)); });
  return promise.get_future().get();
}

// Guards R3: answers that come in any order reach only the request they belong to.
TEST(PeerTransportTest, ConcurrentCallsGetTheirOwnAnswers) {
  TestNode server("server");
  TestNode client("client");
  constexpr int kThreads = 4;
  constexpr int kCalls = 500;
  std::atomic<int> right = 0;
  std::vector<std::thread> threads;
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread] {
      for (int i = 0; i < kCalls; ++i) {
        const std::string body = std::to_string(thread) + "/" + std::to_string(i);
        const CallResult result = Call(client, server.address(), body);
        const auto* response = std::get_if<wire::Response>(&result);
        right += response != nullptr && response->body == body ? 1 : 0;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(right, kThreads * kCalls);
  EXPECT_EQ(client.transport().connection_count(), 1U);
}

// Guards against an operator who cannot tell what the bytes on the links between zones are for.
TEST(PeerTransportTest, CountsTheBytesSentByKind) {
  TestNode near("plain");
  TestNode far("far");
  TestNode client("client");
  const std::string body(20'000, 'x');
  Call(client, near.address(), body);
  Call(client, far.address(), body);
  client.transport().SendControl(far.address(), wire::Channel::kMembership, "record");
  const auto bytes = [&](const BytesByKind& counted, TrafficKind kind) {
    return counted.at(static_cast<std::size_t>(kind));
  };
  // The control message precedes this request on the connection.
  Call(client, far.address(), "end");
  const TrafficCounters traffic = client.transport().counters().traffic;
  EXPECT_GE(bytes(traffic.within_zone, TrafficKind::kRequest), body.size());
  EXPECT_GT(bytes(traffic.across_zones, TrafficKind::kRequest), 0U);
  EXPECT_LT(bytes(traffic.across_zones, TrafficKind::kRequest), body.size() / 2)
      << "the compressed size counts";
  EXPECT_GT(bytes(traffic.across_zones, TrafficKind::kMembership), 0U);
  EXPECT_EQ(bytes(traffic.within_zone, TrafficKind::kMembership), 0U);
  EXPECT_EQ(bytes(traffic.across_zones, TrafficKind::kCall), 0U);
}

// Guards against two connections for a pair of nodes that call each other.
TEST(PeerTransportTest, BothSidesShareOneConnection) {
  TestNode first("first");
  TestNode second("second");
  ASSERT_TRUE(std::holds_alternative<wire::Response>(Call(first, second.address(), "a")));
  ASSERT_TRUE(std::holds_alternative<wire::Response>(Call(second, first.address(), "b")));
  EXPECT_EQ(first.transport().connection_count(), 1U);
  EXPECT_EQ(second.transport().connection_count(), 1U);
}

// Guards R4: a request that could not be sent is reported as not sent.
TEST(PeerTransportTest, UnreachablePeerMeansNotSent) {
  TestNode client("client");
  const CallResult result = Call(client, {"gone", {"127.0.0.1", 1}}, "x");
  EXPECT_EQ(std::get<CallFailure>(result), CallFailure::kNotSent);
}

// Guards against work delivered to a node that took over another one's address.
TEST(PeerTransportTest, RefusesUnexpectedNode) {
  TestNode server("server");
  TestNode client("client");
  PeerAddress wrong = server.address();
  wrong.node = "other";
  EXPECT_EQ(std::get<CallFailure>(Call(client, wrong, "x")), CallFailure::kNotSent);
}

/** Server hooks that keep requests unanswered and count cancellations. */
class HoldingHooks {
 public:
  TransportHooks hooks() {
    TransportHooks hooks;
    hooks.handle_request = [this](const std::string&, InboundRequestId id, const wire::Request&,
                                  Responder respond) {
      const std::scoped_lock lock(mutex_);
      held_.emplace_back(id, std::move(respond));
      changed_.notify_all();
    };
    hooks.handle_cancel = [this](InboundRequestId id) {
      const std::scoped_lock lock(mutex_);
      cancelled_.push_back(id);
      changed_.notify_all();
    };
    return hooks;
  }

  std::pair<InboundRequestId, Responder> WaitForRequest() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return !held_.empty(); });
    return held_.back();
  }

  std::size_t count() {
    const std::scoped_lock lock(mutex_);
    return held_.size();
  }

  InboundRequestId WaitForCancel() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return !cancelled_.empty(); });
    return cancelled_.back();
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::pair<InboundRequestId, Responder>> held_;
  std::vector<InboundRequestId> cancelled_;
};

// Guards against work that goes on for a caller that gave up, and against its late answer.
TEST(PeerTransportTest, CancelReachesThePeerAndDropsTheLateAnswer) {
  HoldingHooks holding;
  TestNode server("server", holding.hooks());
  TestNode client("client");
  std::promise<CallResult> promise;
  const CallId call = client.transport().SendRequest(
      server.address(), MakeRequest("x"), [&](CallResult result) { promise.set_value(result); });
  const auto [id, respond] = holding.WaitForRequest();
  client.transport().CancelCall(call);
  EXPECT_EQ(std::get<CallFailure>(promise.get_future().get()), CallFailure::kLost);
  EXPECT_EQ(holding.WaitForCancel(), id);
  respond({});  // Must not end the call a second time, which would break the promise.
}

// Guards R3 and R4 on a connection that breaks: a request in flight is reported as lost.
TEST(PeerTransportTest, BrokenConnectionMeansLost) {
  HoldingHooks holding;
  auto server = std::make_unique<TestNode>("server", holding.hooks());
  TestNode client("client");
  std::promise<CallResult> promise;
  client.transport().SendRequest(server->address(), MakeRequest("x"),
                                 [&](CallResult result) { promise.set_value(result); });
  holding.WaitForRequest();
  server->transport().Stop();
  EXPECT_EQ(std::get<CallFailure>(promise.get_future().get()), CallFailure::kLost);
}

/** Accepts connections, completes the hello and then never answers again. */
class SilentPeer {
 public:
  SilentPeer() : acceptor_(context_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    thread_ = std::thread([this] { Serve(); });
  }
  ~SilentPeer() { thread_.join(); }
  PeerAddress address() const {
    return {"silent", {"127.0.0.1", acceptor_.local_endpoint().port()}};
  }

 private:
  void Serve() {
    tcp::socket socket = acceptor_.accept();
    wire::FrameReader reader(1 << 20);
    std::array<char, 1024> buffer{};
    std::optional<wire::Frame> frame;
    while (!(frame = reader.Next())) {
      reader.Append({buffer.data(), socket.read_some(asio::buffer(buffer))});
    }
    wire::Hello hello = std::get<wire::Hello>(*frame);
    hello.node = "silent";
    asio::write(socket, asio::buffer(wire::EncodeFrame(hello, 1 << 20)));
    asio::error_code error;
    while (!error) {
      socket.read_some(asio::buffer(buffer), error);
    }
  }

  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::thread thread_;
};

// Guards against connections that go silent for good while the socket stays open.
TEST(PeerTransportTest, SilentConnectionIsClosed) {
  SilentPeer silent;
  TestNode client("client", {}, milliseconds(1));
  std::promise<CallResult> promise;
  auto future = promise.get_future();
  client.transport().SendRequest(silent.address(), MakeRequest("x"),
                                 [&](CallResult result) { promise.set_value(result); });
  while (future.wait_for(milliseconds(5)) != std::future_status::ready) {
    client.transport().CheckHeartbeats();
  }
  EXPECT_TRUE(std::holds_alternative<CallFailure>(future.get()));
  EXPECT_EQ(client.transport().counters().connections_silent, 1U);
}

// Guards against memory claimed by a stranger that speaks another protocol.
TEST(PeerTransportTest, MalformedFramesCloseTheConnection) {
  TestNode server("server");
  asio::io_context context;
  for (const std::string& bytes :
       {std::string("\xff\xff\xff\xff", 4), std::string("\0\0\0\2\x91\x04", 6),
        std::string("\0\0\0\0", 4)}) {
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), server.address().endpoint.port});
    asio::write(socket, asio::buffer(bytes));
    std::array<char, 16> buffer{};
    asio::error_code error;
    socket.read_some(asio::buffer(buffer), error);
    EXPECT_TRUE(error);
  }
}

// Guards against an unexpected error in the handling of one peer's message that ends the process.
TEST(PeerTransportTest, AnErrorOfAHookEndsOnlyItsConnection) {
  TransportHooks hooks;
  hooks.handle_control = [](const std::string&, wire::Channel, const std::string&) {
    throw std::runtime_error("unexpected");
  };
  TestNode server("server", hooks);
  TestNode first("first");
  TestNode second("second");
  first.transport().SendControl(server.address(), wire::Channel::kMembership, "x");
  Call(first, server.address(), "cut");
  const CallResult result = Call(second, server.address(), "whole");
  ASSERT_TRUE(std::holds_alternative<wire::Response>(result));
  EXPECT_EQ(std::get<wire::Response>(result).body, "whole");
}

// Guards against a caller that waits for its deadline because the answer fits no frame.
TEST(PeerTransportTest, AnswerThatFitsNoFrameIsReplaced) {
  TransportHooks hooks;
  hooks.handle_request = [](const std::string&, InboundRequestId, const wire::Request&,
                            const Responder& respond) {
    wire::Response response;
    response.outcome = wire::Outcome::kRan;
    response.body = std::string(2 * 1024 * 1024, 'x');
    respond(response);
  };
  TestNode server("server", hooks);
  TestNode client("client");
  const CallResult result = Call(client, server.address(), "x");
  ASSERT_TRUE(std::holds_alternative<wire::Response>(result));
  EXPECT_EQ(std::get<wire::Response>(result).outcome, wire::Outcome::kUnknown);
  EXPECT_EQ(std::get<wire::Response>(result).reason, "answer_too_large");
}

// Guards R3: a faulty peer cannot give the stream of a cancelled request, whose answer is still to
// come, to another request.
TEST(PeerTransportTest, StreamOfACancelledRequestStaysTaken) {
  HoldingHooks holding;
  TestNode server("server", holding.hooks());
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect({asio::ip::make_address("127.0.0.1"), server.address().endpoint.port});
  const auto send = [&](const wire::Frame& frame) {
    asio::write(socket, asio::buffer(wire::EncodeFrame(frame, 1 << 20)));
  };
  send(wire::Hello{wire::kProtocolVersion, "peer", 1, 7});
  wire::Request request = MakeRequest("first");
  request.generation = 7;
  request.stream = 1;
  send(request);
  send(wire::Cancel{7, 1});
  holding.WaitForCancel();
  send(request);
  std::array<char, 1024> buffer{};
  asio::error_code error;
  while (!error) {
    socket.read_some(asio::buffer(buffer), error);
  }
  EXPECT_EQ(holding.count(), 1U);
}

// Guards against messages of an earlier life of a node.
TEST(PeerTransportTest, RefusesStaleIncarnation) {
  TestNode server("server");
  {
    TestNode current("client", {}, seconds(60), 5);
    ASSERT_TRUE(std::holds_alternative<wire::Response>(Call(current, server.address(), "a")));
  }
  TestNode stale("client", {}, seconds(60), 4);
  EXPECT_TRUE(std::holds_alternative<CallFailure>(Call(stale, server.address(), "b")));
}

}  // namespace
}  // namespace borageloft::transport
