#include <gtest/gtest.h>

#include <deque>

#include "libraries/http_stream/http_stream.h"

namespace borageloft::http_stream {
namespace {

using asio::ip::tcp;

/** A server, whose requests the test responds to, and a client connection, on one event loop. */
class ServerTest : public ::testing::Test {
 protected:
  struct Received {
    RequestMessage message;
    Exchange exchange;
  };

  void SetUp() override {
    base::ReplaceLogSink([](std::string_view) {});
    ServerLimits limits;
    limits.message.header_bytes = 512;
    limits.header_timeout = std::chrono::milliseconds(50);
    limits.pipeline_depth = 2;
    server_ = std::make_unique<Server>(
        context_, limits,
        [this](RequestMessage message, base::TimePoint, const Exchange& exchange) {
          if (message.target == fails_at_) {
            throw std::runtime_error("unexpected");
          }
          received_.push_back({std::move(message), exchange});
        });
    const settings::Endpoint endpoint = server_->Listen({"127.0.0.1", 0});
    client_.connect({asio::ip::make_address("127.0.0.1"), endpoint.port});
  }
  void TearDown() override {
    server_.reset();
    context_.poll();
    base::ReplaceLogSink({});
  }

  void Send(std::string_view bytes) { asio::write(client_, asio::buffer(bytes)); }

  /** Runs the loop until @p condition holds; the time limit of 10 s is reached only by a failing
   * test. */
  template <typename Condition>
  bool RunUntil(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition() && std::chrono::steady_clock::now() < end) {
      context_.restart();
      context_.run_for(std::chrono::milliseconds(2));
    }
    return condition();
  }

  /** Reads what is available without blocking. @return Everything received so far. */
  std::string& Collect() {
    client_.non_blocking(true);
    std::array<char, 4096> buffer{};
    asio::error_code error;
    while (true) {
      const std::size_t count = client_.read_some(asio::buffer(buffer), error);
      if (error) {
        has_ended_ = has_ended_ || error != asio::error::would_block;
        return collected_;
      }
      collected_.append(buffer.data(), count);
    }
  }

  static ResponseMessage MakeResponse(const std::string& body) {
    ResponseMessage response;
    response.status = 200;
    response.body = body;
    return response;
  }

  asio::io_context context_{1};
  std::unique_ptr<Server> server_;
  tcp::socket client_{context_};
  std::deque<Received> received_;
  std::string fails_at_;
  std::string collected_;
  bool has_ended_ = false;
};

// Guards against responses of one connection being sent out of order.
TEST_F(ServerTest, RespondsToPipelinedRequestsInOrder) {
  Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return received_.size() == 2; }));
  received_[1].exchange.Respond(MakeResponse("second"));
  RunUntil([] { return true; });
  EXPECT_EQ(Collect(), "");
  received_[0].exchange.Respond(MakeResponse("first"));
  ASSERT_TRUE(RunUntil([&] { return Collect().find("second") != std::string::npos; }));
  EXPECT_LT(collected_.find("first"), collected_.find("second"));
}

// Guards against losing requests beyond the pipeline depth, which must stay buffered.
TEST_F(ServerTest, ParsesFurtherRequestsWhenThePipelineHasRoom) {
  Send(
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
      "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return received_.size() == 2; }));
  received_[0].exchange.Respond(MakeResponse("one"));
  ASSERT_TRUE(RunUntil([&] { return received_.size() == 3; }));
  EXPECT_EQ(received_[2].message.target, "/3");
}

// Counted for a request with two fields beside its bytes.
constexpr std::size_t kCountedBeside = ServerLimits::kBytesPerRequest + 2 * sizeof(wire::Header);

// Guards against a process that runs out of memory, and takes all requests with it, because many
// callers send long bodies at the same time.
TEST_F(ServerTest, LongBodiesOfManyCallersAreBoundedInSum) {
  constexpr std::size_t kLength = std::size_t{100} << 10U;
  ServerLimits limits;
  limits.held_bytes = 3 * kLength;
  server_->set_limits(limits);
  const tcp::endpoint address = client_.remote_endpoint();
  const std::string head =
      "POST /long HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(kLength) + "\r\n\r\n";
  std::deque<tcp::socket> others;
  for (int i = 0; i < 2; ++i) {
    others.emplace_back(context_).connect(address);
    asio::write(others.back(), asio::buffer(head + "begin"));
  }
  // The target, and the names and values of the fields with four bytes each.
  constexpr std::size_t kHeld = kLength + 5 + (4 + 1 + 4) + (14 + 6 + 4) + kCountedBeside;
  ASSERT_TRUE(RunUntil([&] { return server_->held_bytes() == 2 * kHeld; }));
  Send(head + "begin");
  ASSERT_TRUE(RunUntil([&] { return Collect().find("\r\n\r\n") != std::string::npos; }));
  EXPECT_TRUE(collected_.starts_with("HTTP/1.1 503")) << collected_;
  EXPECT_NE(collected_.find("Retry-After"), std::string::npos);
  EXPECT_EQ(server_->held_bytes(), 2 * kHeld);

  others.emplace_back(context_).connect(address);
  asio::write(others.back(),
              asio::buffer(std::string(
                  "POST /short HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nshort")));
  ASSERT_TRUE(RunUntil([&] { return received_.size() == 1; })) << "short bodies still have room";
  received_[0].exchange.Respond(MakeResponse("done"));
  asio::write(others[0], asio::buffer(std::string(kLength - 5, 'x')));
  ASSERT_TRUE(RunUntil([&] { return received_.size() == 2; }));
  EXPECT_EQ(server_->held_bytes(), 2 * kHeld) << "until it is answered";
  received_[1].exchange.Respond(MakeResponse("done"));
  EXPECT_EQ(server_->held_bytes(), kHeld);
  others[1].close();
  ASSERT_TRUE(RunUntil([&] { return server_->held_bytes() == 0; })) << "the caller has left";
}

// Guards against bodies without a stated length that escape the limit.
TEST_F(ServerTest, ChunkedBodiesCountAsTheyGrow) {
  // The target, and the names and values of the fields with four bytes each.
  constexpr std::size_t kHeadBytes = 5 + (4 + 1 + 4) + (17 + 7 + 4) + kCountedBeside;
  ServerLimits limits;
  limits.held_bytes = std::size_t{256} << 10U;
  server_->set_limits(limits);
  Send("POST /long HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
  for (int i = 0; i < 12; ++i) {
    Send(chunk);
    RunUntil([] { return true; });
  }
  ASSERT_TRUE(RunUntil([&] { return server_->held_bytes() == 12 * 0x4000U + kHeadBytes; }));
  for (int i = 0; i < 3; ++i) {
    Send(chunk);
  }
  ASSERT_TRUE(RunUntil([&] { return Collect().starts_with("HTTP/1.1 503"); }));
  EXPECT_EQ(server_->held_bytes(), 0U);
  EXPECT_TRUE(received_.empty());
}

// Guards against heads, which may be 16 KiB each, that escape the limit: requests behind others on
// many connections once took more memory than all bodies.
TEST_F(ServerTest, HeadsCountUntilTheirResponse) {
  Send("GET /1 HTTP/1.1\r\nHost: h\r\nFiller: " + std::string(300, 'f') + "\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return received_.size() == 1; }));
  EXPECT_GE(server_->held_bytes(), 300U);
  received_[0].exchange.Respond(MakeResponse("done"));
  EXPECT_EQ(server_->held_bytes(), 0U);
}

// Guards against requests of a few bytes that take far more memory than they count: thousands of
// them may wait behind each other.
TEST_F(ServerTest, ShortRequestsCountForWhatDescribesThem) {
  Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return received_.size() == 2; }));
  EXPECT_GE(server_->held_bytes(), 2 * ServerLimits::kBytesPerRequest);
  received_[1].exchange.Respond(MakeResponse(""));
  EXPECT_GE(server_->unread_bytes(), ServerLimits::kBytesPerResponse);
  received_[0].exchange.Respond(MakeResponse(""));
  EXPECT_EQ(server_->held_bytes(), 0U);
  ASSERT_TRUE(RunUntil([&] { return server_->unread_bytes() == 0; }));
}

// Guards against a process that runs out of memory because callers do not read its responses.
TEST_F(ServerTest, ACallerThatDoesNotReadIsClosedBeforeTheLimit) {
  ServerLimits limits;
  limits.held_bytes = std::size_t{2} << 20U;
  server_->set_limits(limits);
  tcp::socket reader(context_);
  reader.connect(client_.remote_endpoint());
  for (const std::string target : {"/1", "/2"}) {
    Send("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  ASSERT_TRUE(RunUntil([&] { return received_.size() == 2; }));
  const std::string body(std::size_t{1200} << 10U, 'x');
  received_[0].exchange.Respond(MakeResponse(body));
  asio::write(reader, asio::buffer(std::string("GET /3 HTTP/1.1\r\nHost: h\r\n\r\n")));
  ASSERT_TRUE(RunUntil([&] { return received_.size() == 3; }));
  received_[2].exchange.Respond(MakeResponse("short"));
  std::string answer;
  asio::error_code ignored;
  reader.non_blocking(true);
  ASSERT_TRUE(RunUntil([&] {
    std::array<char, 512> buffer{};
    answer.append(buffer.data(), reader.read_some(asio::buffer(buffer), ignored));
    return answer.ends_with("short");
  }));
  EXPECT_EQ(server_->counters().closed_slow_readers, 0U);
  received_[1].exchange.Respond(MakeResponse(body));
  EXPECT_EQ(server_->counters().closed_slow_readers, 1U);
  EXPECT_LE(server_->unread_bytes(), limits.held_bytes);
  EXPECT_TRUE(reader.is_open());
}

// Guards against a connection that holds memory for ever because its caller has stopped in the
// middle of a body.
TEST_F(ServerTest, ABodyThatStandsStillIsRefused) {
  ServerLimits limits;
  limits.header_timeout = std::chrono::milliseconds(20);
  limits.idle_timeout = std::chrono::milliseconds(60);
  server_->set_limits(limits);
  Send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nbegin");
  ASSERT_TRUE(RunUntil([&] { return Collect().starts_with("HTTP/1.1 408"); }));
  EXPECT_EQ(server_->held_bytes(), 0U);
  EXPECT_TRUE(received_.empty());
}

// Guards against callers that stop in the middle of their requests and keep all others out until
// their time is up: by the memory of what they sent, or by the number of their connections.
TEST_F(ServerTest, StalledSendersGiveWayToOrdinaryRequests) {
  for (const bool is_full_of_bytes : {true, false}) {
    SCOPED_TRACE(is_full_of_bytes);
    received_.clear();
    ServerLimits limits;
    limits.stall_patience = std::chrono::milliseconds(0);
    limits.held_bytes = std::size_t{64} << 10U;
    limits.connections = is_full_of_bytes ? 16 : 4;
    server_->set_limits(limits);
    const tcp::endpoint address = client_.remote_endpoint();
    const std::string head = "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                             std::string(is_full_of_bytes ? "18000" : "10") + "\r\n\r\nbegin";
    std::deque<tcp::socket> stalled;
    for (int i = 0; i < 3; ++i) {
      stalled.emplace_back(context_).connect(address);
      asio::write(stalled.back(), asio::buffer(head));
    }
    ASSERT_TRUE(RunUntil([&] { return server_->held_bytes() > 3 * 10; }));
    ASSERT_TRUE(RunUntil([&] { return server_->connection_count() == 4; }));
    tcp::socket ordinary(context_);
    ordinary.connect(address);
    asio::write(ordinary,
                asio::buffer("POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 12000\r\n\r\n" +
                             std::string(12'000, 'x')));
    ASSERT_TRUE(RunUntil([&] { return received_.size() == 1; }));
    EXPECT_EQ(received_[0].message.target, "/2");
    received_[0].exchange.Respond(MakeResponse("done"));
    EXPECT_GE(server_->counters().closed_stalled_senders, 1U);
    for (tcp::socket& socket : stalled) {
      socket.close();
    }
    ordinary.close();
    ASSERT_TRUE(RunUntil([&] { return server_->connection_count() <= 1; }));
  }
}

// Guards against running requests whose caller has disconnected.
TEST_F(ServerTest, NotifiesWhenTheCallerDisconnects) {
  Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return received_.size() == 1; }));
  bool is_abandoned = false;
  received_[0].exchange.NotifyAbandoned([&] { is_abandoned = true; });
  client_.close();
  EXPECT_TRUE(RunUntil([&] { return is_abandoned; }));
  EXPECT_EQ(server_->exchanges_in_progress(), 0U);
  received_[0].exchange.Respond(MakeResponse("nobody"));  // Has no effect.
}

// Guards against a caller that holds a connection open with an incomplete header.
TEST_F(ServerTest, RespondsToAnIncompleteHeaderWithATimeout) {
  Send("GET /1 HTTP/1.1\r\nHo");
  ASSERT_TRUE(RunUntil([&] { return Collect().find(" 408 ") != std::string::npos; }));
  EXPECT_TRUE(received_.empty());
}

// Guards against keeping the connection open after a malformed request: the bytes that follow it
// would be parsed as another request.
TEST_F(ServerTest, ClosesAfterAMalformedRequest) {
  Send(
      "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"
      "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] {
    Collect();
    return has_ended_;
  }));
  EXPECT_NE(collected_.find(" 400 "), std::string::npos);
  EXPECT_NE(collected_.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(received_.empty());
}

// Guards against a drain that closes the connection while a pipelined request is still in progress.
TEST_F(ServerTest, DrainClosesOnlyAfterTheLastRequest) {
  Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return received_.size() == 2; }));
  server_->BeginDrain();
  received_[0].exchange.Respond(MakeResponse("first"));
  ASSERT_TRUE(RunUntil([&] { return Collect().find("first") != std::string::npos; }));
  EXPECT_EQ(collected_.find("Connection: close"), std::string::npos);
  received_[1].exchange.Respond(MakeResponse("second"));
  ASSERT_TRUE(RunUntil([&] {
    Collect();
    return has_ended_;
  }));
  EXPECT_NE(collected_.find("Connection: close"), std::string::npos);
  EXPECT_NE(collected_.find("second"), std::string::npos);
}

// Guards against a node that stops while an answer is still being sent to a caller who reads
// slowly.
TEST_F(ServerTest, AnAnswerIsInProgressUntilTheCallerHasReadIt) {
  Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return received_.size() == 1; }));
  server_->BeginDrain();
  const std::string body(std::size_t{16} << 20U, 'x');
  received_[0].exchange.Respond(MakeResponse(body));
  RunUntil([] { return true; });
  EXPECT_EQ(server_->unfinished_responses(), 1U);
  ASSERT_TRUE(RunUntil([&] {
    Collect();
    return has_ended_;
  }));
  EXPECT_GT(collected_.size(), body.size());
  client_.close();
  EXPECT_TRUE(RunUntil([&] { return server_->unfinished_responses() == 0; }));
}

// Guards against an interim response for each piece of a body, which is no answer in the protocol.
TEST_F(ServerTest, ContinuesOnce) {
  Send("POST /1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return Collect().find("100 Continue") != std::string::npos; }));
  for (const char* piece : {"a", "b", "c", "d"}) {
    Send(piece);
    context_.restart();
    context_.run_for(std::chrono::milliseconds(5));
  }
  ASSERT_TRUE(RunUntil([&] { return received_.size() == 1; }));
  received_[0].exchange.Respond(MakeResponse("done"));
  ASSERT_TRUE(RunUntil([&] { return Collect().find("done") != std::string::npos; }));
  EXPECT_EQ(collected_.find("100 Continue"), collected_.rfind("100 Continue"));
}

// Guards against a caller that waits to be told to send its body, which follows another request.
TEST_F(ServerTest, ContinuesAfterTheRequestBefore) {
  Send(
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
      "POST /2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return received_.size() == 1; }));
  received_[0].exchange.Respond(MakeResponse("first"));
  ASSERT_TRUE(RunUntil([&] { return Collect().find("100 Continue") != std::string::npos; }));
  EXPECT_LT(collected_.find("first"), collected_.find("100 Continue"));
}

// Guards against an unexpected error in the handling of one request that ends the process.
TEST_F(ServerTest, AnErrorOfAHandlerEndsOnlyItsConnection) {
  fails_at_ = "/fails";
  tcp::socket other(context_);
  other.connect(client_.remote_endpoint());
  Send("GET /fails HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] {
    Collect();
    return has_ended_;
  }));
  EXPECT_EQ(server_->exchanges_in_progress(), 0U);
  asio::write(other, asio::buffer(std::string("GET /works HTTP/1.1\r\nHost: h\r\n\r\n")));
  ASSERT_TRUE(RunUntil([&] { return received_.size() == 1; }));
  EXPECT_EQ(received_[0].message.target, "/works");
}

}  // namespace
}  // namespace borageloft::http_stream
