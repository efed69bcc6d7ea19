#include <gtest/gtest.h>

#include "libraries/http_stream/http_stream.h"

namespace borageloft::http_stream {
namespace {

constexpr MessageLimits kLimits{1024, 4096};

ParseState FeedAll(MessageParser& parser, std::string_view bytes) {
  parser.Feed(bytes);
  return parser.state();
}

// Guards against consuming the bytes of a second pipelined request with those of the first.
TEST(MessageParserTest, StopsAfterOneRequest) {
  MessageParser parser(MessageKind::kRequest, kLimits);
  const std::string first = "GET /a/1 HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::string both = first + "GET /a/2 HTTP/1.1\r\nHost: h\r\n\r\n";
  EXPECT_EQ(parser.Feed(both), first.size());
  ASSERT_EQ(parser.state(), ParseState::kComplete);
  EXPECT_EQ(parser.TakeRequest().target, "/a/1");
  parser.Feed(std::string_view(both).substr(first.size()));
  ASSERT_EQ(parser.state(), ParseState::kComplete);
  EXPECT_EQ(parser.TakeRequest().target, "/a/2");
}

// Guards against a result that depends on how the bytes are divided among reads.
TEST(MessageParserTest, ParsesAChunkedRequestSplitAtAnyByte) {
  const std::string bytes =
      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
      "0\r\nTrailer: t\r\n\r\n";
  for (std::size_t split = 1; split < bytes.size(); ++split) {
    MessageParser parser(MessageKind::kRequest, kLimits);
    ASSERT_EQ(parser.Feed(std::string_view(bytes).substr(0, split)), split);
    parser.Feed(std::string_view(bytes).substr(split));
    ASSERT_EQ(parser.state(), ParseState::kComplete) << split;
    const RequestMessage request = parser.TakeRequest();
    EXPECT_EQ(request.body, "abcde");
    EXPECT_EQ(FindField(request.fields, "trailer"), nullptr);
  }
}

// Guards against request smuggling through ambiguous framing.
TEST(MessageParserTest, RejectsAmbiguousFraming) {
  for (const char* fields :
       {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n", "Transfer-Encoding: gzip\r\n",
        "Content-Length: -1\r\n", "Content-Length: 3x\r\n", "Bad Name: 1\r\n"}) {
    MessageParser parser(MessageKind::kRequest, kLimits);
    FeedAll(parser, std::string("POST / HTTP/1.1\r\nHost: h\r\n") + fields + "\r\nabc");
    EXPECT_EQ(parser.state(), ParseState::kMalformed) << fields;
  }
}

// Guards against callers that make a node buffer more than its limits allow.
TEST(MessageParserTest, ReportsWhichLimitIsExceeded) {
  MessageParser header(MessageKind::kRequest, kLimits);
  FeedAll(header, "GET / HTTP/1.1\r\nHost: h\r\nA: " + std::string(2000, 'a'));
  EXPECT_EQ(header.state(), ParseState::kHeaderTooLarge);
  MessageParser stated(MessageKind::kRequest, kLimits);
  FeedAll(stated, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n");
  EXPECT_EQ(stated.state(), ParseState::kBodyTooLarge);
  MessageParser chunked(MessageKind::kRequest, kLimits);
  FeedAll(chunked, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n" +
                       std::string(5000, 'b'));
  EXPECT_EQ(chunked.state(), ParseState::kBodyTooLarge);
}

// Guards against forwarding a truncated response as if it were complete.
TEST(MessageParserTest, DistinguishesTruncatedFromCompleteResponses) {
  MessageParser truncated(MessageKind::kResponse, kLimits);
  FeedAll(truncated, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
  truncated.FinishAtEnd();
  EXPECT_EQ(truncated.state(), ParseState::kMalformed);
  MessageParser unframed(MessageKind::kResponse, kLimits);
  FeedAll(unframed, "HTTP/1.1 200 OK\r\n\r\nabc");
  EXPECT_EQ(unframed.state(), ParseState::kBody);
  unframed.FinishAtEnd();
  ASSERT_EQ(unframed.state(), ParseState::kComplete);
  EXPECT_EQ(unframed.TakeResponse().body, "abc");
}

// Guards against a back end that stops in the middle of an answer and whose answer is passed on as
// complete: every position at which it can stop, for each framing.
TEST(MessageParserTest, AnAnswerCutAnywhereIsNotComplete) {
  const std::string head = "HTTP/1.1 200 OK\r\nSeal: s\r\nId: 7\r\n";
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
  for (const std::string& prefix : {std::string(), interim}) {
    for (const std::string& rest :
         {std::string("Content-Length: 5\r\n\r\nhello"), std::string("Content-Length: 0\r\n\r\n"),
          std::string("Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"),
          std::string("Connection: close\r\n\r\nhello")}) {
      const std::string whole = prefix + head + rest;
      // Where the end of the connection ends the body, only a cut in the head can be told.
      const bool is_framed = rest.find("close") == std::string::npos;
      const std::size_t end = is_framed ? whole.size() : whole.find("\r\n\r\n", prefix.size()) + 4;
      for (std::size_t size = 0; size < end; ++size) {
        MessageParser parser(MessageKind::kResponse, kLimits);
        FeedAll(parser, whole.substr(0, size));
        parser.FinishAtEnd();
        EXPECT_NE(parser.state(), ParseState::kComplete) << whole.substr(0, size);
      }
      MessageParser parser(MessageKind::kResponse, kLimits);
      FeedAll(parser, whole);
      parser.FinishAtEnd();
      EXPECT_EQ(parser.state(), ParseState::kComplete) << whole;
    }
  }
}

// Guards against treating an interim (1xx) response as the final one.
TEST(MessageParserTest, SkipsInterimResponses) {
  MessageParser parser(MessageKind::kResponse, kLimits);
  FeedAll(parser, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nA: b\r\n\r\n");
  ASSERT_EQ(parser.state(), ParseState::kComplete);
  const ResponseMessage response = parser.TakeResponse();
  EXPECT_EQ(response.status, 204U);
  EXPECT_NE(FindField(response.fields, "a"), nullptr);
}

// Guards against answers with a status that HTTP does not have: a caller once received one of 000
// as the answer to its request.
TEST(MessageParserTest, AcceptsNoStatusThatIsNone) {
  const std::string rest = "\r\nContent-Length: 2\r\n\r\nok";
  for (const char* line : {"HTTP/1.1 000 Oops", "HTTP/1.1 099 Oops", "HTTP/1.1 99 Oops",
                           "HTTP/1.1 1000 Oops", "HTTP/1.1 600 Oops", "HTTP/1.1 999 Oops",
                           "HTTP/1.1 2x0 Oops", "HTTP/1.1 abc Oops", "HTTP/1.1 -200 Oops",
                           "HTTP/1.1  Oops", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 000"}) {
    MessageParser parser(MessageKind::kResponse, {});
    parser.Feed(line + rest);
    EXPECT_EQ(parser.state(), ParseState::kMalformed) << line;
  }
  for (const char* line : {"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 599 x"}) {
    MessageParser parser(MessageKind::kResponse, {});
    parser.Feed(line + rest);
    EXPECT_EQ(parser.state(), ParseState::kComplete) << line;
  }
  MessageParser interim(MessageKind::kResponse, {});
  interim.Feed("HTTP/1.1 102 Processing\r\n\r\n");
  interim.FinishAtEnd();
  EXPECT_EQ(interim.state(), ParseState::kMalformed) << "an interim response is no answer";
}

// Guards against waiting for a body after a response to HEAD, which may state a length but has
// none.
TEST(MessageParserTest, ResponseToHeadHasNoBody) {
  MessageParser parser(MessageKind::kResponse, kLimits);
  parser.set_expects_no_body(true);
  FeedAll(parser, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
  ASSERT_EQ(parser.state(), ParseState::kComplete);
}

// Guards against forwarding connection fields, or a Content-Length in addition to the serialized
// one.
TEST(MessageTest, RemovesConnectionFields) {
  Fields fields = {{"Connection", "close, X-Own"},
                   {"X-Own", "1"},
                   {"Keep-Alive", "timeout=5"},
                   {"Content-Length", "3"},
                   {"Accept", "*/*"}};
  RemoveConnectionFields(fields);
  ASSERT_EQ(fields.size(), 1U);
  EXPECT_EQ(fields.front().name, "Accept");
}

}  // namespace
}  // namespace borageloft::http_stream
