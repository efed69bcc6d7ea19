#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <stdexcept>

#include "tests/routing/queue_model.h"

namespace borageloft::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void Require(bool holds, const char* what) {
  if (!holds) {
    throw std::logic_error(what);
  }
}

/** Checks the invariants of the router that hold under any faults. */
void CheckInvariants(const Router& router, base::TimePoint now) {
  std::size_t in_flight = 0;
  const auto status = router.Status(now);
  for (const UpstreamStatus& upstream : status) {
    Require(upstream.view.state == UpstreamState::kServing,
            "the subset contains a leaving upstream");
    in_flight += upstream.in_flight;
  }
  Require(in_flight <= router.attempts_in_flight(), "more requests than attempts in flight");
  Require(router.ejected_count() * 10 <= status.size() * 3, "more than 30% of the subset ejected");
  Require(status.size() <= 24, "the subset exceeds its size");
}

/** Checks the invariants of a choice. */
void CheckChoice(const Choice& choice, const std::vector<UpstreamView>& known,
                 const RouteRequest& request) {
  const auto is_tried = std::find(request.tried.begin(), request.tried.end(), choice.upstream);
  Require(is_tried == request.tried.end(), "the chosen upstream was already tried");
  const auto view = std::find_if(known.begin(), known.end(), [&](const UpstreamView& member) {
    return member.id == choice.upstream;
  });
  Require(view != known.end(), "the chosen upstream is not a member");
  Require(view->state == UpstreamState::kServing, "the chosen upstream is leaving");
}

/** Applies a random membership change, restart or fault. */
void InjectRandomChange(QueueModel& model, const base::Random& random) {
  const std::size_t index = base::DrawBelow(random, model.upstream_count());
  switch (base::DrawBelow(random, 6)) {
    case 0:
      model.Join(base::DrawBelow(random, 3));
      model.PublishMembers();
      break;
    case 1:
      model.BeginLeaving(index);
      model.PublishMembers();
      break;
    case 2:
    case 3:
      model.Restart(index);
      model.PublishMembers();
      break;
    default:
      model.upstream(index).fault = static_cast<Fault>(base::DrawBelow(random, 6));
      break;
  }
}

std::uint64_t RunRandomly(std::uint64_t seed) {
  ModelOptions options;
  options.seed = seed;
  QueueModel model(options);
  model.check = [&](const Router& router, const std::vector<UpstreamView>& known,
                    const RouteRequest& request, const RouteResult& result) {
    CheckInvariants(router, base::TimePoint(model.now()));
    if (const auto* choice = std::get_if<Choice>(&result)) {
      CheckChoice(*choice, known, request);
    }
  };
  const base::Random random = base::SeededRandom(base::Hash("faults", seed));
  std::uint64_t steps = 0;
  for (int round = 1; round <= 100; ++round) {
    InjectRandomChange(model, random);
    steps += model.RunUntil(milliseconds(100) * round);
  }
  return steps;
}

// Guards against a sequence of joins, leaves, restarts and faults that violates an invariant:
// negative counts, more than 30% of the subset ejected, a leaving upstream chosen.
TEST(RoutingModelTest, InvariantsHoldUnderRandomFaults) {
  base::ReplaceVerifyHandler(
      [](const char* expression, const char*, int) { throw std::logic_error(expression); });
  const char* text = std::getenv("BORAGELOFT_SEEDS");
  const std::uint64_t seeds = text != nullptr ? std::strtoull(text, nullptr, 10) : 4;
  std::uint64_t steps = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    SCOPED_TRACE(fmt::format("seed {}", seed));
    ASSERT_NO_THROW(steps += RunRandomly(seed));
  }
  base::ReplaceVerifyHandler({});
  fmt::print("routing model: {} seeds, {} steps\n", seeds, steps);
}

enum class Scenario { kFaults, kSkew };

ModelResult RunScenario(Scenario scenario, Policy policy, const RoutingOptions& routing) {
  ModelOptions options;
  options.policy = policy;
  options.routing = routing;
  options.seed = 7;
  options.first_zone_share = scenario == Scenario::kSkew ? 0.6 : 0.34;
  QueueModel model(options);
  if (scenario == Scenario::kFaults) {
    model.Schedule(seconds(1), [&] {
      model.upstream(0).fault = Fault::kFailFast;
      model.upstream(7).fault = Fault::kSilent;
      model.upstream(13).fault = Fault::kSlow;
      model.upstream(14).fault = Fault::kReportsIdle;
    });
    model.Schedule(seconds(7), [&] {
      for (std::size_t i = 0; i < model.upstream_count(); ++i) {
        model.upstream(i).fault = Fault::kNone;
      }
    });
  }
  model.RunUntil(seconds(11));
  return model.result();
}

void Print(const std::string& name, ModelResult& result) {
  fmt::print(
      "{:<28} goodput {:.4f}  p99 {:6.1f} ms  to failing {:.5f}  cross-zone {:.3f}  "
      "attempts/request "
      "{:.3f}\n",
      name, result.Goodput(), result.P99Milliseconds(), result.ShareOf(result.sent_to_failing),
      result.ShareOf(result.cross_zone),
      static_cast<double>(result.attempts) / static_cast<double>(result.offered));
}

// Guards against routing that serves fewer requests than random or round-robin choice, or prefers
// upstreams that fail fast. All policies run with the same load, seed and faults.
TEST(RoutingModelTest, ServesMoreThanBlindChoicesUnderFaults) {
  ModelResult routed = RunScenario(Scenario::kFaults, Policy::kRouter, {});
  ModelResult random = RunScenario(Scenario::kFaults, Policy::kUniformRandom, {});
  ModelResult round_robin = RunScenario(Scenario::kFaults, Policy::kRoundRobin, {});
  Print("faults: router", routed);
  Print("faults: uniform random", random);
  Print("faults: round robin", round_robin);
  EXPECT_GT(routed.Goodput(), random.Goodput());
  EXPECT_GT(routed.Goodput(), round_robin.Goodput());
  EXPECT_LT(routed.P99Milliseconds(), random.P99Milliseconds());
  EXPECT_LT(routed.P99Milliseconds(), round_robin.P99Milliseconds());
  EXPECT_LT(routed.ShareOf(routed.sent_to_failing), 0.2 * random.ShareOf(random.sent_to_failing));
  EXPECT_LT(routed.ShareOf(routed.cross_zone), 0.5 * random.ShareOf(random.cross_zone));
}

// Guards against a zone that stays overloaded while others have spare capacity.
TEST(RoutingModelTest, SpillsOnlyWhatItsZoneCannotServe) {
  ModelResult routed = RunScenario(Scenario::kSkew, Policy::kRouter, {});
  ModelResult random = RunScenario(Scenario::kSkew, Policy::kUniformRandom, {});
  Print("skew: router", routed);
  Print("skew: uniform random", random);
  EXPECT_GE(routed.Goodput(), random.Goodput());
  EXPECT_LE(routed.P99Milliseconds(), random.P99Milliseconds());
  EXPECT_GT(routed.cross_zone, 0U);
  EXPECT_LT(routed.ShareOf(routed.cross_zone), 0.5 * random.ShareOf(random.cross_zone));
}

}  // namespace
}  // namespace borageloft::routing
