#include <gtest/gtest.h>

#include <deque>

#include "libraries/request_path/request_path.h"

namespace borageloft::request_path {
namespace {

using asio::ip::tcp;
using std::chrono_literals::operator""ms;

// An upstream on loopback that accepts one connection and answers its first request.
class UpstreamPoolTest : public ::testing::Test {
 protected:
  void SetUp() override {
    names_.seal = "Seal";
    names_.instance = "Instance";
    UpstreamPoolOptions options;
    options.held_bytes = kHeldBytes;
    options.endpoint = {"127.0.0.1", acceptor_.local_endpoint().port()};
    pool_ = std::make_unique<UpstreamPool>(
        context_, options, names_, [] {}, [] {});
  }

  // Accepts one connection and answers its first request.
  void Accept() {
    acceptor_.async_accept(socket_, [this](const asio::error_code& error) {
      ASSERT_FALSE(error);
      asio::async_read_until(socket_, asio::dynamic_buffer(request_), "\r\n\r\n",
                             [this](const asio::error_code&, std::size_t) {
                               asio::async_write(socket_, asio::buffer(answer_),
                                                 [](const asio::error_code&, std::size_t) {});
                             });
    });
  }

  base::TimePoint Deadline() const { return base::SystemClock()() + std::chrono::seconds(30); }
  template <typename Done>
  void RunUntil(const Done& done) {
    context_.restart();
    while (!done()) {
      ASSERT_GT(context_.run_one(), 0U) << "nothing is left to wait for";
    }
  }

  static constexpr std::size_t kHeldBytes = std::size_t{1} << 20U;

  asio::io_context context_;
  tcp::acceptor acceptor_{context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  tcp::socket socket_{context_};
  HeaderNames names_;
  std::string request_;
  std::string answer_ =
      "HTTP/1.1 200 OK\r\nInstance: i-7\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok";
  std::unique_ptr<UpstreamPool> pool_;
};

// Guards against rejecting a health answer because it has no seal header.
TEST_F(UpstreamPoolTest, PassesOnAHealthAnswerWithoutSeal) {
  Accept();
  std::optional<http_stream::ResponseMessage> got;
  pool_->AskHealth("/health", Deadline(),
                   [&](const http_stream::ResponseMessage& answer) { got = answer; });
  RunUntil([&] { return got.has_value(); });
  EXPECT_EQ(got->status, 200U);
  ASSERT_NE(http_stream::FindField(got->fields, "Instance"), nullptr);
  EXPECT_EQ(request_.substr(0, 20), "GET /health HTTP/1.1");
}

// Guards against passing a success to a caller that the upstream did not produce.
TEST_F(UpstreamPoolTest, RefusesASuccessWithoutSeal) {
  Accept();
  std::optional<wire::Response> got;
  wire::Request request;
  request.method = "GET";
  request.path = "/a";
  request.headers.push_back({"Host", "a"});
  pool_->Run(std::move(request), Deadline(),
             [&](wire::Response response) { got = std::move(response); });
  RunUntil([&] { return got.has_value(); });
  EXPECT_EQ(got->outcome, wire::Outcome::kUnknown);
  EXPECT_EQ(got->reason, TextOf(Refusal::kUpstreamGarbled));
}

// Guards against a named rate or leave that is lost, and against a text that is no rate.
TEST_F(UpstreamPoolTest, ReadsWhatTheUpstreamSaysOfItself) {
  const std::vector<std::pair<std::string, std::uint32_t>> rates = {
      {"14.4", 14'400}, {"0", 1},  {"0.0001", 1}, {"7", 7000}, {"1e99", UINT32_MAX},
      {"", 0},          {"-1", 0}, {"nan", 0},    {"inf", 0},  {"5 ", 0}};
  for (const auto& [text, milli] : rates) {
    SCOPED_TRACE(text);
    socket_ = tcp::socket(context_);
    request_.clear();
    Accept();
    answer_ =
        "HTTP/1.1 500 Oops\r\nBorageloft-Upstream-Leaving: " + std::string(milli == 0 ? "1" : "0") +
        "\r\nBorageloft-Upstream-Rate-Limit: " + text +
        "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    std::optional<wire::Response> got;
    wire::Request request;
    request.method = "GET";
    request.path = "/a";
    request.headers.push_back({"Host", "a"});
    pool_->Run(std::move(request), Deadline(),
               [&](wire::Response response) { got = std::move(response); });
    RunUntil([&] { return got.has_value(); });
    EXPECT_EQ(got->load.rate_limit_milli, milli);
    EXPECT_EQ(got->load.is_leaving, milli == 0);
  }
}

/** An upstream that keeps its connections open and answers the requests in turn. */
class KeepAliveUpstreamTest : public UpstreamPoolTest {
 protected:
  struct Connection {
    explicit Connection(asio::io_context& context) : socket(context) {}
    tcp::socket socket;
    std::string request;
    std::string answer;
  };

  void SetUp() override {
    UpstreamPoolTest::SetUp();
    AcceptNext();
  }

  void AcceptNext() {
    connections_.push_back(std::make_unique<Connection>(context_));
    acceptor_.async_accept(
        connections_.back()->socket,
        [this, connection = connections_.back().get()](const asio::error_code& error) {
          if (!error) {
            Serve(*connection);
            AcceptNext();
          }
        });
  }

  void Serve(Connection& connection) {
    connection.request.clear();
    asio::async_read_until(
        connection.socket, asio::dynamic_buffer(connection.request), "\r\n\r\n",
        [this, &connection](const asio::error_code& error, std::size_t) {
          if (error || answers_.empty()) {
            return;
          }
          connection.answer = answers_.front();
          answers_.pop_front();
          asio::async_write(
              connection.socket, asio::buffer(connection.answer),
              [this, &connection](const asio::error_code&, std::size_t) { Serve(connection); });
        });
  }

  static std::string MakeRefusal(const std::string& id) {
    return "HTTP/1.1 503 Busy\r\nBorageloft-Not-Run: 1\r\n" +
           (id.empty() ? "" : "Borageloft-Request-Id: " + id + "\r\n") +
           "Content-Length: 0\r\n\r\n";
  }

  wire::Response Ask(const std::string& id) {
    std::optional<wire::Response> got;
    wire::Request request;
    request.method = "GET";
    request.path = "/a";
    request.headers = {{"Host", "a"}, {"Borageloft-Request-Id", id}};
    request.context.root = id;
    pool_->Run(std::move(request), Deadline(),
               [&](wire::Response response) { got = std::move(response); });
    RunUntil([&] { return got.has_value(); });
    return *got;
  }

  std::deque<std::string> answers_;
  std::vector<std::unique_ptr<Connection>> connections_;
};

// Guards against a refusal that the upstream writes once more and that is taken for the answer to a
// later request, which runs (REFUSED, TWICE).
TEST_F(KeepAliveUpstreamTest, ARepeatedRefusalIsNoAnswerToALaterRequest) {
  answers_ = {MakeRefusal("x"), MakeRefusal(""), MakeRefusal("x"), MakeRefusal("x")};
  EXPECT_EQ(Ask("x").outcome, wire::Outcome::kNotRun);
  EXPECT_EQ(pool_->idle_count(), 1U);
  // Without an id, the refusal may be of the request before.
  EXPECT_EQ(Ask("y").outcome, wire::Outcome::kUnknown);
  EXPECT_EQ(pool_->idle_count(), 0U);
  EXPECT_EQ(Ask("x").outcome, wire::Outcome::kNotRun);
  // The same request again: a refusal with its id may be the one before.
  EXPECT_EQ(Ask("x").outcome, wire::Outcome::kNotRun);
  EXPECT_EQ(pool_->counters().connections_opened, 3U);
}

// Guards against an unexpected error in the handling of one answer that ends the process.
TEST_F(KeepAliveUpstreamTest, AnErrorOfAHandlerEndsOnlyItsConnection) {
  const std::string answer = "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
  answers_ = {answer, answer};
  bool was_called = false;
  wire::Request request;
  request.method = "GET";
  request.path = "/a";
  request.headers = {{"Host", "a"}};
  pool_->Run(std::move(request), Deadline(), [&](const wire::Response&) {
    was_called = true;
    throw std::runtime_error("unexpected");
  });
  RunUntil([&] { return was_called; });
  EXPECT_EQ(Ask("x").body, "ok");
}

// Guards against bytes without end in a head, in interim responses or in a body, which would fill
// the node's memory or keep its processor busy until the deadline.
TEST_F(KeepAliveUpstreamTest, AnAnswerWithoutEndIsCut) {
  std::string interim;
  for (int i = 0; i < 1000; ++i) {
    interim += "HTTP/1.1 103 Early Hints\r\n\r\n";
  }
  const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
  std::string chunks = "HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 32; ++i) {
    chunks += chunk;
  }
  answers_ = {"HTTP/1.1 200 OK\r\nX: " + std::string(100'000, 'x'), interim,
              "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\n" + std::string(2 * kHeldBytes, 'x'), chunks};
  for (const Refusal cause : {Refusal::kUpstreamGarbled, Refusal::kUpstreamGarbled,
                              Refusal::kTooManyBytes, Refusal::kTooManyBytes}) {
    const wire::Response response = Ask("x");
    EXPECT_EQ(response.outcome, wire::Outcome::kUnknown);
    EXPECT_EQ(response.reason, TextOf(cause));
    EXPECT_EQ(pool_->idle_count(), 0U);
  }
  answers_ = {"HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok"};
  EXPECT_EQ(Ask("x").body, "ok");
}

/** An upstream that answers while it is still being sent the request. */
class EarlyAnswerTest : public UpstreamPoolTest {
 protected:
  enum class End {
    kReset,          // The upstream fails.
    kResetAfterEnd,  // As above, after the end of the stream has arrived.
    kClose,          // Closes with unread bytes, which resets the connection.
    kReadToEnd,      // Reads the rest of the request after the end of the stream.
    kReadAndReset,   // Reads some more after the end of the stream, then fails.
  };

  struct Case {
    std::string answer;
    End end = End::kReset;
    /** Time between the last byte of the answer and the end. */
    std::chrono::milliseconds pause{};
  };

  // More than the buffers of the connection hold.
  static constexpr std::size_t kUploadBytes = std::size_t{16} << 20U;

  void SetUp() override {
    UpstreamPoolTest::SetUp();
    acceptor_.set_option(asio::socket_base::receive_buffer_size(64 * 1024));
  }

  /** Plays @p played on the next connection. */
  void AcceptAndPlay(const Case& played) {
    socket_ = tcp::socket(context_);
    request_.clear();
    answer_ = played.answer;
    has_ended_ = false;
    acceptor_.async_accept(socket_, [this, played](const asio::error_code& error) {
      ASSERT_FALSE(error);
      asio::async_read_until(
          socket_, asio::dynamic_buffer(request_), "\r\n\r\n",
          [this, played](const asio::error_code&, std::size_t) {
            asio::async_write(
                socket_, asio::buffer(answer_),
                [this, played](const asio::error_code&, std::size_t) { WaitAndEnd(played); });
          });
    });
  }

  /** @return What the pool makes of @p played as the answer to a request with @p body_bytes. */
  wire::Response Ask(const Case& played, std::size_t body_bytes) {
    AcceptAndPlay(played);
    std::optional<wire::Response> got;
    wire::Request request;
    request.method = "PUT";
    request.path = "/a";
    request.headers = {{"Host", "a"}};
    request.body = std::string(body_bytes, 'u');
    pool_->Run(std::move(request), Deadline(),
               [&](wire::Response response) { got = std::move(response); });
    RunUntil([&] { return got.has_value() && has_ended_; });
    return *got;
  }

  /** @return What the pool makes of @p played as the answer to a long upload. */
  wire::Response Upload(const Case& played) { return Ask(played, kUploadBytes); }

  /** @return Status that the pool reports of @p played as a health answer; 0 if there is none. */
  unsigned AskHealth(const Case& played) {
    AcceptAndPlay(played);
    std::optional<unsigned> status;
    pool_->AskHealth("/health", Deadline(),
                     [&](const http_stream::ResponseMessage& answer) { status = answer.status; });
    RunUntil([&] { return status.has_value() && has_ended_; });
    return *status;
  }

  void WaitAndEnd(const Case& played) {
    timer_.expires_after(played.pause);
    timer_.async_wait([this, end = played.end](const asio::error_code&) {
      has_ended_ = true;
      EndAnswer(end);
    });
  }

  void EndAnswer(End end) {
    asio::error_code ignored;  // The pool may have closed the connection.
    switch (end) {
      case End::kReset:
        Reset();
        break;
      case End::kResetAfterEnd:
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        Reset();
        break;
      case End::kClose:
        socket_.close(ignored);
        break;
      case End::kReadToEnd:
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        ReadRequest(kUploadBytes);
        break;
      case End::kReadAndReset:
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        ReadRequest(kUploadBytes / 2);
        break;
    }
  }

  void Reset() {
    asio::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }

  void ReadRequest(std::size_t left) {
    rest_.resize(64 * 1024);
    socket_.async_read_some(asio::buffer(rest_),
                            [this, left](const asio::error_code& error, std::size_t size) {
                              if (error) {
                                return;
                              }
                              if (left < size) {
                                Reset();
                              } else {
                                ReadRequest(left - size);
                              }
                            });
  }

  asio::steady_timer timer_{context_};
  std::string rest_;
  bool has_ended_ = false;
};

// Guards against the part of an answer without a length that an upstream sends before it resets the
// connection, and that a caller gets as the whole: the error of the write hid the reset from the
// read, which saw the usual end of such an answer (MIXED).
TEST_F(EarlyAnswerTest, AnAnswerCutByAResetIsNotWhole) {
  for (const std::string head :
       {"200 OK\r\nSeal: s\r\n", "201 Created\r\nSeal: s\r\nConnection: close\r\n",
        "404 Not Found\r\n", "503 Busy\r\nBorageloft-Not-Run: 1\r\n"}) {
    for (const End end : {End::kReset, End::kResetAfterEnd, End::kClose, End::kReadAndReset}) {
      for (const std::size_t size : {std::size_t{0}, std::size_t{5}, std::size_t{100'000}}) {
        for (const std::chrono::milliseconds pause : {0ms, 5ms}) {
          SCOPED_TRACE(head + std::to_string(static_cast<int>(end)) + ' ' + std::to_string(size) +
                       ' ' + std::to_string(pause.count()));
          const wire::Response response =
              Upload({"HTTP/1.1 " + head + "\r\n" + std::string(size, 'x'), end, pause});
          EXPECT_EQ(response.outcome, wire::Outcome::kUnknown);
          EXPECT_EQ(response.reason, TextOf(Refusal::kUpstreamLost));
          EXPECT_EQ(pool_->idle_count(), 0U);
        }
      }
    }
  }
}

// Guards against the loss of an answer that is whole by its framing, or that ends with the stream
// while the upstream goes on reading the request, as RFC 9112, section 9.6, asks it to.
TEST_F(EarlyAnswerTest, AWholeEarlyAnswerIsPassedOn) {
  const std::string head = "HTTP/1.1 413 Too Large\r\nSeal: s\r\n";
  const std::string sized = head + "Content-Length: 5\r\n\r\nwhole";
  const std::string chunked =
      head + "Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n";
  for (const Case& played :
       {Case{sized, End::kReset}, Case{sized, End::kClose}, Case{sized, End::kReadToEnd},
        Case{chunked, End::kReset}, Case{chunked, End::kResetAfterEnd},
        Case{chunked, End::kReadToEnd}, Case{head + "\r\nwhole", End::kReadToEnd}}) {
    SCOPED_TRACE(played.answer + std::to_string(static_cast<int>(played.end)));
    const wire::Response response = Upload(played);
    EXPECT_EQ(response.outcome, wire::Outcome::kRan);
    EXPECT_EQ(response.status, 413U);
    EXPECT_EQ(response.body, "whole");
    EXPECT_EQ(pool_->idle_count(), 0U);
  }
}

// Guards against a malformed answer that one reader or one phase of the request lets through:
// during a long upload, after a short one, as a health answer, with an orderly end and with a
// reset.
TEST_F(EarlyAnswerTest, NoReaderPassesOnAMalformedAnswer) {
  const std::string ok = "HTTP/1.1 200 OK\r\nSeal: s\r\n";
  const std::string sized = "Content-Length: 2\r\n\r\nok";
  const std::string coding = "Transfer-Encoding: chunked\r\n";
  const std::string chunked = ok + coding + "\r\n";
  const std::string last = "0\r\n\r\n";
  const std::vector<std::string> answers = {
      "HTTP/1.1 000 Oops\r\nSeal: s\r\n" + sized,
      "HTTP/2.0 200 OK\r\nSeal: s\r\n" + sized,
      "HTTP/1.1 200 O\x01K\r\nSeal: s\r\n" + sized,
      ok + "X Y: 1\r\n" + sized,
      ok + "X\x01: 1\r\n" + sized,
      ok + "X: \x01\r\n" + sized,
      ok + "X: a\r\n b\r\n" + sized,
      ok + "X: 1\n" + sized,
      ok + "X: 1",
      ok + "Content-Length: 2x\r\n\r\nok",
      ok + "Content-Length: 3\r\n\r\nok",
      ok + "Content-Length: 3\r\n" + sized,
      ok + coding + "Content-Length: 12\r\n\r\n2\r\nok\r\n" + last,
      ok + "Transfer-Encoding: gzip\r\n\r\nok",
      "HTTP/1.0 200 OK\r\nSeal: s\r\n" + coding + "\r\n2\r\nok\r\n" + last,
      chunked + "2\r\nokXX" + last,
      chunked + "2;\x01\r\nok\r\n" + last,
      chunked + "2\r\nok\r\n",
      chunked + "2\r\nok\r\n0\r\nX Y: 1\r\n\r\n",
      "HTTP/1.1 103 Hints\r\n\r\n",
  };
  for (const std::string& answer : answers) {
    for (const End end : {End::kReset, End::kReadToEnd}) {
      SCOPED_TRACE(::testing::PrintToString(answer) + std::to_string(static_cast<int>(end)));
      const Case played{answer, end, 1ms};
      for (const std::size_t body_bytes : {std::size_t{0}, std::size_t{100}, kUploadBytes}) {
        EXPECT_EQ(Ask(played, body_bytes).outcome, wire::Outcome::kUnknown) << body_bytes;
        EXPECT_EQ(pool_->idle_count(), 0U);
      }
      EXPECT_EQ(AskHealth(played), 0U);
    }
  }
  EXPECT_EQ(Ask({ok + sized, End::kReadToEnd}, 0).status, 200U);
  EXPECT_EQ(AskHealth({ok + sized, End::kReadToEnd}), 200U);
}

}  // namespace
}  // namespace borageloft::request_path
