#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <thread>

#include "libraries/workbench/workbench.h"

namespace borageloft::workbench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

StandInOptions MakeOptions() {
  StandInOptions options;
  options.service = "parts";
  options.service_time.mean = base::Duration::zero();
  return options;
}

HttpCall MakeCall(const std::string& id, const std::string& key = "") {
  HttpCall call{"GET", "/parts/7", {{kRequestIdHeader, id}}, {}, seconds(30)};
  if (!key.empty()) {
    call.headers.emplace_back("Idempotency-Key", key);
  }
  return call;
}

Json::Value ParseJson(const std::string& text) {
  Json::Value json;
  std::istringstream(text) >> json;
  return json;
}

// Guards against full speed above the slots, which would hide overload.
TEST(SharedProcessorTest, SlowsDownAboveSlots) {
  base::TimePoint now;
  SharedProcessor processor(2, 0.0, now);
  for (int i = 0; i < 4; ++i) {
    processor.Enter(now);
    processor.Add(milliseconds(10), now);
  }
  EXPECT_EQ(processor.NextFinish(), now + milliseconds(20));
  now += milliseconds(20);
  EXPECT_EQ(processor.TakeFinished(now).size(), 4U);
  SharedProcessor contended(2, 0.5, now);
  for (int i = 0; i < 4; ++i) {
    contended.Enter(now);
  }
  EXPECT_DOUBLE_EQ(contended.Speed(), 1.0 / 3.0);
}

// Guards against a change of speed that misses requests already running.
TEST(SharedProcessorTest, SpeedChangeAppliesToRunningTasks) {
  base::TimePoint now;
  SharedProcessor processor(1, 0.0, now);
  processor.Enter(now);
  const auto first = processor.Add(milliseconds(10), now);
  now += milliseconds(5);
  processor.SetSlowDown(10, now);
  EXPECT_EQ(processor.NextFinish(), now + milliseconds(50));
  now += milliseconds(10);
  processor.SetSlowDown(1, now);
  EXPECT_EQ(processor.NextFinish(), now + milliseconds(4));
  processor.Remove(first);
  EXPECT_FALSE(processor.NextFinish().has_value());
}

// Guards against distributions whose mean is off, which would shift every capacity figure.
TEST(ServiceTimeTest, KeepsMean) {
  for (const auto shape :
       {ServiceTimeShape::kFixed, ServiceTimeShape::kExponential, ServiceTimeShape::kLognormal}) {
    ServiceTime time({milliseconds(10), shape, 0.5, 7});
    base::Duration sum{0};
    for (int i = 0; i < 100'000; ++i) {
      sum += time.Draw();
    }
    EXPECT_NEAR(std::chrono::duration<double>(sum).count() / 100'000, 0.010, 0.0002);
  }
}

// Guards against commands that are misread and then ignored.
TEST(StandInCommandTest, ParsesAndRefuses) {
  EXPECT_EQ(StandInCommand::Parse(R"({"command":"slow_down","factor":10})").number, 10);
  EXPECT_EQ(StandInCommand::Parse(R"({"command":"silent","scope":"open"})").scope,
            SilenceScope::kOpenConnections);
  const auto load = StandInCommand::Parse(R"({"command":"report_load","in_flight":1,"limit":9})");
  EXPECT_EQ(load.limit, 9U);
  for (const char* text :
       {"", "[]", "{}", R"({"command":"explode"})", R"({"command":7})",
        R"({"command":"slow_down"})", R"({"command":"slow_down","factor":0})",
        R"({"command":"fail_fast","share":1.5})", R"({"command":"silent","scope":1})",
        R"({"command":"report_load","in_flight":-1})"}) {
    EXPECT_THROW(StandInCommand::Parse(text), Error) << text;
  }
}

// Guards against options that would make a run meaningless.
TEST(StandInOptionsTest, RefusesBadOptions) {
  StandInOptions options = MakeOptions();
  options.slots = 0;
  EXPECT_THROW(options.Check(), Error);
  options = MakeOptions();
  options.downstream = {{"other", "GET", "/"}};
  EXPECT_THROW(options.Check(), Error);
}

// Guards against a second execution of a key that the record does not show, on which the proof of
// at-most-once rests.
TEST(StandInTest, RecordShowsRepeatedKeys) {
  const std::string path = ::testing::TempDir() + "stand_in_keys";
  std::remove(path.c_str());
  StandInOptions options = MakeOptions();
  options.record_path = path;
  StandIn stand_in(options);
  HttpCaller caller(stand_in.address());
  for (const char* key : {"a", "b", "c", "a", "a", "b"}) {
    const auto answer = caller.Call(MakeCall("r1", key));
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(CheckAnswer(answer->body, "parts", "r1"), AnswerCheck::kWhole);
  }
  const auto record = caller.Call({"GET", "/stand-in/record"});
  const Json::Value json = ParseJson(record->body);
  EXPECT_EQ(json["executed"], 6);
  EXPECT_EQ(json["distinct_keys"], 3);
  EXPECT_EQ(json["repeated_keys"], 2);
  EXPECT_EQ(json["executing"], 0);
  std::ifstream file(path);
  EXPECT_EQ(std::string(std::istreambuf_iterator<char>(file), {}),
            "a parts\nb parts\nc parts\na parts\na parts\nb parts\n");
}

// Guards against faults that are not produced on command or do not end.
TEST(StandInTest, FaultsFollowCommands) {
  StandIn stand_in(MakeOptions());
  HttpCaller caller(stand_in.address());
  const auto command = [&](const std::string& body) {
    return caller.Call({"POST", "/stand-in/command", {}, body})->status;
  };
  EXPECT_EQ(command("{}"), 400);
  EXPECT_EQ(command(R"({"command":"fail_fast","share":1})"), 200);
  EXPECT_EQ(caller.Call(MakeCall("r1"))->status, 500);
  EXPECT_EQ(command(R"({"command":"fail_fast","share":0})"), 200);
  EXPECT_EQ(command(R"({"command":"truncate","share":1})"), 200);
  EXPECT_FALSE(caller.Call(MakeCall("r2")).has_value());
  EXPECT_EQ(command(R"({"command":"truncate","share":0})"), 200);
  EXPECT_EQ(command(R"({"command":"report_load","in_flight":5,"limit":900})"), 200);
  EXPECT_EQ(ParseJson(caller.Call({"GET", "/stand-in/load"})->body)["limit"], 900);
  EXPECT_EQ(caller.Call(MakeCall("r3"))->status, 200);
  EXPECT_EQ(stand_in.record().counts().failed_fast, 1U);
  EXPECT_EQ(stand_in.record().counts().executed, 2U);
}

// Guards against a silent stand-in that answers, executes or cannot be reached by commands.
TEST(StandInTest, SilenceHoldsRequestsUntilItEnds) {
  StandInOptions options = MakeOptions();
  options.threads = 2;
  StandIn stand_in(options);
  stand_in.Apply(StandInCommand::Parse(R"({"command":"silent","scope":"all"})"));
  std::vector<std::jthread> callers;
  std::atomic<int> answered = 0;
  for (int i = 0; i < 2; ++i) {
    callers.emplace_back([&] {
      answered += HttpCaller(stand_in.address()).Call(MakeCall("r")).has_value() ? 1 : 0;
    });
  }
  while (stand_in.record().counts().silenced < 2) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  HttpCaller operator_caller(stand_in.command_address());
  EXPECT_EQ(operator_caller
                .Call({"POST", "/stand-in/command", {}, R"({"command":"silent","scope":"none"})"})
                ->status,
            200);
  callers.clear();
  EXPECT_EQ(answered, 0);
  EXPECT_EQ(stand_in.record().counts().executed, 0U);
  EXPECT_EQ(HttpCaller(stand_in.address()).Call(MakeCall("r"))->status, 200);
  EXPECT_EQ(operator_caller.Call(MakeCall("r"))->status, 404);
}

// Guards against silence of old connections that also reaches new ones.
TEST(StandInTest, SilenceOfOpenConnectionsSparesNewOnes) {
  StandIn stand_in(MakeOptions());
  HttpCaller old_caller(stand_in.address());
  EXPECT_EQ(old_caller.Call(MakeCall("r"))->status, 200);
  stand_in.Apply(StandInCommand::Parse(R"({"command":"silent","scope":"open"})"));
  HttpCall call = MakeCall("r");
  call.timeout = milliseconds(20);
  EXPECT_FALSE(old_caller.Call(call).has_value());
  HttpCaller new_caller(stand_in.address());
  EXPECT_EQ(new_caller.Call(MakeCall("r"))->status, 200);
}

/** Answers announcements and plays the downstream service; keeps every request. */
class FakeNode {
 public:
  std::vector<HttpRequest> Requests(const std::string& method, const std::string& path) {
    const std::scoped_lock lock(mutex_);
    std::vector<HttpRequest> found;
    std::copy_if(requests_.begin(), requests_.end(), std::back_inserter(found),
                 [&](const HttpRequest& r) { return r.method == method && r.path == path; });
    return found;
  }
  void WaitFor(const std::string& method, const std::string& path) {
    while (Requests(method, path).empty()) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
  const Address& address() const { return listener_.address(); }

 private:
  HttpResponse Handle(const HttpRequest& request) {
    const std::scoped_lock lock(mutex_);
    requests_.push_back(request);
    return {200,
            BuildAnswer(request.Header("Borageloft-Service"), request.Header(kRequestIdHeader), 8)};
  }

  std::mutex mutex_;
  std::vector<HttpRequest> requests_;
  HttpListener listener_{Address{}, 8, [this](const HttpRequest& r) { return Handle(r); }};
};

// Guards against an upstream that its node never learns of, or that never leaves.
TEST(StandInTest, AnnouncesAndWithdraws) {
  FakeNode node;
  StandInOptions options = MakeOptions();
  options.node = node.address();
  StandIn stand_in(options);
  node.WaitFor("PUT", "/v1/upstream");
  const Json::Value body = ParseJson(node.Requests("PUT", "/v1/upstream").front().body);
  EXPECT_EQ(body["service"], "parts");
  EXPECT_EQ(body["address"], stand_in.address().ToString());
  EXPECT_EQ(body["slots"], 16);
  EXPECT_EQ(body["connections"], 64);
  EXPECT_EQ(body["lease_ms"], 3000);
  stand_in.Apply(StandInCommand::Parse(R"({"command":"leave"})"));
  EXPECT_EQ(node.Requests("DELETE", "/v1/upstream").size(), 1U);
  stand_in.Apply(StandInCommand::Parse(R"({"command":"leave"})"));
  EXPECT_EQ(node.Requests("DELETE", "/v1/upstream").size(), 1U);
}

// Guards against a context that is lost between two services.
TEST(StandInTest, DownstreamCallsPassOnContext) {
  FakeNode node;
  StandInOptions options = MakeOptions();
  options.node = node.address();
  options.downstream = {{"ledger", "GET", "/one"}, {"trust", "POST", "/two"}};
  options.key_forwarding = KeyForwarding::kPassOn;
  StandIn stand_in(options);
  HttpCall call = MakeCall("r1", "key-1");
  call.headers.emplace_back("traceparent", "00-aa-bb-01");
  call.headers.emplace_back("Borageloft-Context", "root=1;class=claims");
  call.headers.emplace_back("Borageloft-Timeout-Ms", "30000");
  EXPECT_EQ(HttpCaller(stand_in.address()).Call(call)->status, 200);
  const auto first = node.Requests("GET", "/one");
  ASSERT_EQ(first.size(), 1U);
  EXPECT_EQ(first[0].Header("Borageloft-Service"), "ledger");
  EXPECT_EQ(first[0].Header("Traceparent"), "00-aa-bb-01");
  EXPECT_EQ(first[0].Header("Borageloft-Context"), "root=1;class=claims");
  EXPECT_EQ(first[0].Header("Idempotency-Key"), "key-1");
  EXPECT_LE(std::stoi(first[0].Header("Borageloft-Timeout-Ms")), 30000);
  EXPECT_EQ(node.Requests("POST", "/two").size(), 1U);
}

// Guards against work past the caller's deadline that is not counted as wasted.
TEST(StandInTest, CountsWastedWork) {
  StandInOptions options = MakeOptions();
  options.service_time = {milliseconds(20), ServiceTimeShape::kFixed, 0, 1};
  StandIn stand_in(options);
  HttpCaller caller(stand_in.address());
  HttpCall call = MakeCall("r");
  call.headers.emplace_back("Borageloft-Timeout-Ms", "1");
  EXPECT_EQ(caller.Call(call)->status, 200);
  EXPECT_EQ(stand_in.record().counts().wasted, 1U);
}

// Guards against a stop command that leaves the process running.
TEST(StandInTest, StopCommandEndsRun) {
  StandIn stand_in(MakeOptions());
  std::jthread run([&](const std::stop_token& stop) { stand_in.Run(stop); });
  EXPECT_EQ(HttpCaller(stand_in.address())
                .Call({"POST", "/stand-in/command", {}, R"({"command":"stop"})"})
                ->status,
            200);
  run.join();
  EXPECT_FALSE(HttpCaller(stand_in.address()).Call(MakeCall("r")).has_value());
}

}  // namespace
}  // namespace borageloft::workbench
