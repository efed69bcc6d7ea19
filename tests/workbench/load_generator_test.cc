#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <set>

#include "libraries/workbench/workbench.h"

namespace borageloft::workbench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

LoadOptions MakeOptions(const Address& target) {
  LoadOptions options;
  options.targets = {target};
  options.kinds = {{.label = "browse", .service = "parts", .timeout = seconds(30)}};
  options.rate_per_second = 2000;
  options.most_requests = 200;
  options.senders = 8;
  return options;
}

LoadReport RunLoad(const LoadOptions& options) {
  return LoadGenerator(options).Run(std::stop_token());
}

// Guards against requests that are lost or counted twice between schedule and report.
TEST(LoadGeneratorTest, CountsEveryRequestOnce) {
  StandInOptions stand_in_options;
  stand_in_options.service = "parts";
  stand_in_options.service_time.mean = base::Duration::zero();
  StandIn first(stand_in_options);
  StandIn second(stand_in_options);
  LoadOptions options = MakeOptions(first.address());
  options.targets.push_back(second.address());
  options.kinds.push_back(
      {.label = "claim", .service = "parts", .key = KeyUse::kFreshUuid, .timeout = seconds(30)});
  const PhaseCounts total = RunLoad(options).Total();
  EXPECT_EQ(total.offered, 200U);
  EXPECT_EQ(total.good, 200U);
  EXPECT_EQ(total.ran, 200U);
  EXPECT_EQ(total.attempts, 200U);
  EXPECT_EQ(total.statuses.at(200), 200U);
  EXPECT_EQ(first.record().counts().executed, 100U);
  EXPECT_EQ(second.record().counts().executed, 100U);
  EXPECT_EQ(first.record().counts().repeated_keys, 0U);
}

/** Runs the load against one handler. */
LoadReport RunAgainst(const HttpHandler& handler, const std::function<void(LoadOptions&)>& change) {
  const HttpListener listener(Address{}, 16, handler);
  LoadOptions options = MakeOptions(listener.address());
  options.most_requests = 20;
  change(options);
  return RunLoad(options);
}

// Guards against a damaged or foreign answer that counts as goodput.
TEST(LoadGeneratorTest, CountsOnlyWholeOwnAnswers) {
  const auto foreign = RunAgainst(
      [](const HttpRequest&) {
        return HttpResponse{200, BuildAnswer("parts", "other", 8)};
      },
      [](LoadOptions&) {});
  EXPECT_EQ(foreign.Total().foreign, 20U);
  EXPECT_EQ(foreign.Total().good, 0U);
  const auto damaged = RunAgainst(
      [](const HttpRequest&) {
        return HttpResponse{200, "{"};
      },
      [](LoadOptions&) {});
  EXPECT_EQ(damaged.Total().damaged, 20U);
  EXPECT_EQ(damaged.Total().good, 0U);
}

// Guards against retries that change the key or hide an attempt that may have run.
TEST(LoadGeneratorTest, RetriesKeepKeyAndWorstOutcome) {
  std::mutex mutex;
  std::map<std::string, int> attempts;
  const std::string path = ::testing::TempDir() + "load_keys";
  std::remove(path.c_str());
  const auto handler = [&](const HttpRequest& request) {
    const std::scoped_lock lock(mutex);
    const int attempt = ++attempts[request.Header("Idempotency-Key")];
    const char* outcome = attempt == 2 ? "unknown" : "not-run";
    return HttpResponse{503, "{}", "application/problem+json", {{"Borageloft-Outcome", outcome}}};
  };
  const auto report = RunAgainst(handler, [&](LoadOptions& options) {
    options.retries = 2;
    options.kinds[0].key = KeyUse::kFreshUuid;
    options.record_path = path;
  });
  const PhaseCounts total = report.Total();
  EXPECT_EQ(total.attempts, 60U);
  EXPECT_EQ(total.unknown, 20U);
  EXPECT_EQ(total.statuses.at(503), 20U);
  EXPECT_EQ(attempts.size(), 20U);
  std::ifstream file(path);
  std::set<std::string> recorded;
  for (std::string line; std::getline(file, line);) {
    recorded.insert(line);
  }
  EXPECT_EQ(recorded.size(), 20U);
  EXPECT_TRUE(recorded.contains(attempts.begin()->first + " unknown"));
}

// Guards against a refusal that is not told apart from an unknown outcome.
TEST(LoadGeneratorTest, CountsNotRun) {
  const auto report = RunAgainst(
      [](const HttpRequest&) {
        return HttpResponse{503, "{}", "application/json", {{"Borageloft-Outcome", "not-run"}}};
      },
      [](LoadOptions&) {});
  EXPECT_EQ(report.Total().not_run, 20U);
}

// Guards against commands that are not sent at all.
TEST(LoadGeneratorTest, SendsCommands) {
  StandInOptions stand_in_options;
  stand_in_options.service = "parts";
  stand_in_options.service_time.mean = base::Duration::zero();
  StandIn stand_in(stand_in_options);
  LoadOptions options = MakeOptions(stand_in.address());
  options.arrivals = ArrivalProcess::kUniform;
  options.rate_per_second = 10;
  options.most_requests = 5;
  options.commands = {{base::Duration::zero(), stand_in.address(), "/stand-in/command",
                       R"({"command":"fail_fast","share":1})"}};
  RunLoad(options);
  EXPECT_EQ(HttpCaller(stand_in.address())
                .Call({"GET", "/x", {{kRequestIdHeader, "r"}}, {}, seconds(30)})
                ->status,
            500);
}

// Guards against a run that does not end when it is told to.
TEST(LoadGeneratorTest, StopsEarly) {
  LoadOptions options = MakeOptions(Address{"127.0.0.1", 1});
  options.duration = std::chrono::hours(1);
  options.rate_per_second = 0.001;
  std::stop_source stop;
  stop.request_stop();
  EXPECT_EQ(LoadGenerator(options).Run(stop.get_token()).Total().offered, 0U);
}

// Guards against options that would make a run meaningless or unbounded.
TEST(LoadOptionsTest, RefusesBadOptions) {
  const auto refuses = [](const std::function<void(LoadOptions&)>& change) {
    LoadOptions options = MakeOptions(Address{});
    change(options);
    EXPECT_THROW(options.Check(), Error);
  };
  refuses([](LoadOptions& options) { options.targets.clear(); });
  refuses([](LoadOptions& options) { options.kinds.clear(); });
  refuses([](LoadOptions& options) { options.rate_per_second = 0; });
  refuses([](LoadOptions& options) { options.senders = 0; });
  refuses([](LoadOptions& options) { options.duration = std::chrono::hours(25); });
  refuses([](LoadOptions& options) { options.trigger = TriggerWindow{seconds(2), seconds(1)}; });
}

}  // namespace
}  // namespace borageloft::workbench
