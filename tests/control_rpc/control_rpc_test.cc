#include "libraries/control_rpc/control_rpc.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <filesystem>
#include <fstream>

#include "tests/support/raw_upstream.h"

namespace borageloft::control_rpc {
namespace {

using std::chrono::seconds;
using ::testing::HasSubstr;

std::map<std::string, RpcMethod> Methods() {
  return {{"echo", [](const Json::Value& parameters) { return parameters; }},
          {"fail", [](const Json::Value&) -> Json::Value {
             throw base::Error("note 3 is already taken");
           }}};
}

RpcError CatchError(const RpcClient& client, const std::string& method) {
  try {
    client.Call(method, Json::Value(Json::objectValue));
  } catch (const RpcError& error) {
    return error;
  }
  ADD_FAILURE() << method << " did not fail";
  return {RpcFailure::kRefused, "no error"};
}

TEST(ControlRpcTest, PassesParametersAndResults) {
  RpcServer server("", Methods());
  const RpcClient client(server.Start({"127.0.0.1", 0}), "", seconds(5));
  Json::Value parameters(Json::objectValue);
  parameters["text"] = "line 1\nline 2";
  EXPECT_EQ(client.Call("echo", parameters), parameters);
}

// Guards against an operator who sees a bare failure in place of the reason.
TEST(ControlRpcTest, RefusalCarriesItsMessage) {
  RpcServer server("", Methods());
  const RpcClient client(server.Start({"127.0.0.1", 0}), "", seconds(5));
  const RpcError error = CatchError(client, "fail");
  EXPECT_EQ(error.failure(), RpcFailure::kRefused);
  EXPECT_THAT(error.what(), HasSubstr("note 3 is already taken"));
  EXPECT_EQ(CatchError(client, "no_such_method").failure(), RpcFailure::kRefused);
}

// Guards against calls by anyone who can reach the port.
TEST(ControlRpcTest, RefusesWrongToken) {
  RpcServer server("0123456789abcdef", Methods());
  const auto endpoint = server.Start({"127.0.0.1", 0});
  EXPECT_THAT(CatchError(RpcClient(endpoint, "", seconds(5)), "echo").what(), HasSubstr("401"));
  EXPECT_THAT(CatchError(RpcClient(endpoint, "0123456789abcdeX", seconds(5)), "echo").what(),
              HasSubstr("401"));
  EXPECT_NO_THROW(RpcClient(endpoint, "0123456789abcdef", seconds(5))
                      .Call("echo", Json::Value(Json::objectValue)));
}

TEST(ControlRpcTest, ReportsUnreachableNode) {
  EXPECT_EQ(CatchError(RpcClient({"127.0.0.1", 1}, "", seconds(5)), "echo").failure(),
            RpcFailure::kUnreachable);
}

// Guards against an operator who is told that nothing was done when only the answer is broken. The
// call may have been carried out.
TEST(ControlRpcTest, ABrokenAnswerLeavesTheOutcomeUnknown) {
  const std::string json = R"({"id":1,"jsonrpc":"2.0","result":{"text":"done"}})";
  const std::string length = "Content-Length: " + std::to_string(json.size()) + "\r\n\r\n";
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  for (const std::string& answer :
       {ok + "\r\n" + json.substr(0, 30), ok + "Content-Length: 30\r\n\r\n" + json.substr(0, 30),
        ok + length + json.substr(0, 30), ok + "Content-Length: 0\r\n\r\n",
        ok + "Content-Length: 2\r\n\r\n{}", ok + "Content-Length: 4\r\n\r\nnull",
        ok + "Transfer-Encoding: chunked\r\n\r\n5\r\n" + json.substr(0, 5) + "XX0\r\n\r\n",
        "HTTP/1.1 000 Oops\r\n" + length + json, "HTTP/1.1 500 Oops\r\n" + length + json,
        std::string("HTTP/1.1 502 Oops\r\nContent-Length: 0\r\n\r\n")}) {
    const test_support::RawUpstream server(answer);
    const RpcClient client({"127.0.0.1", server.port()}, "", seconds(5));
    EXPECT_EQ(CatchError(client, "echo").failure(), RpcFailure::kUnknown) << answer;
  }
  using test_support::RawUpstream;
  const RawUpstream refusing(
      "HTTP/1.1 503 Busy\r\nBorageloft-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
      RawUpstream::End::kKeepOpen);
  EXPECT_EQ(CatchError({{"127.0.0.1", refusing.port()}, "", seconds(5)}, "echo").failure(),
            RpcFailure::kRefused);
  const RawUpstream whole(ok + length + json, RawUpstream::End::kKeepOpen);
  EXPECT_EQ(RpcClient({"127.0.0.1", whole.port()}, "", seconds(5))
                .Call("echo", Json::Value(Json::objectValue))["text"],
            "done");
}

// Guards against operator calls that any host of the network can send.
TEST(ControlRpcTest, RefusesOpenAddressWithoutToken) {
  RpcServer server("", Methods());
  EXPECT_THROW(server.Start({"0.0.0.0", 0}), RpcError);
}

// Guards against a token that every user of the host can read.
TEST(TokenTest, RefusesFileOpenToOthers) {
  const auto path = std::filesystem::temp_directory_path() / "borageloft_token_test";
  std::ofstream(path) << "0123456789abcdef\n";
  ::chmod(path.c_str(), 0644);
  EXPECT_THROW(LoadToken(path), RpcError);
  ::chmod(path.c_str(), 0600);
  EXPECT_EQ(LoadToken(path), "0123456789abcdef");
  std::ofstream(path) << "short\n";
  EXPECT_THROW(LoadToken(path), RpcError);
  std::filesystem::remove(path);
}

}  // namespace
}  // namespace borageloft::control_rpc
