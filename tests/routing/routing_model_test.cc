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

void RequireThat(bool holds, const char* what) {
  if (!holds) {
    throw std::logic_error(what);
  }
}

/** What must hold at each choice, whatever the faults. */
void CheckInvariants(const Router& router, base::TimePoint now) {
  std::size_t in_flight = 0;
  const auto status = router.Status(now);
  for (const UpstreamStatus& upstream : status) {
    RequireThat(upstream.view.state == UpstreamState::kServing, "a leaving upstream in the subset");
    in_flight += upstream.in_flight;
  }
  RequireThat(in_flight <= router.attempts_in_flight(), "more in flight than attempts");
  RequireThat(router.set_aside() * 10 <= status.size() * 3, "more than 30% set aside");
  RequireThat(status.size() <= 24, "more members than the subset's size");
}

/** What must hold for each choice. */
void CheckChoice(const Choice& choice, const std::vector<UpstreamView>& known,
                 const RouteRequest& request) {
  const auto is_tried = std::find(request.tried.begin(), request.tried.end(), choice.upstream);
  RequireThat(is_tried == request.tried.end(), "an upstream that was tried already");
  const auto view = std::find_if(known.begin(), known.end(), [&](const UpstreamView& member) {
    return member.id == choice.upstream;
  });
  RequireThat(view != known.end(), "an upstream that is no member");
  RequireThat(view->state == UpstreamState::kServing, "a leaving upstream chosen");
}

/** Applies one random fault or repair. */
void Disturb(QueueModel& model, const base::Random& random) {
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
    Disturb(model, random);
    steps += model.RunUntil(milliseconds(100) * round);
  }
  return steps;
}

// Guards against a sequence of joins, leaves, restarts and faults that breaks a routing invariant:
// negative counts, more than 30% set aside, a leaving upstream chosen.
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
    model.At(seconds(1), [&] {
      model.upstream(0).fault = Fault::kFailFast;
      model.upstream(7).fault = Fault::kSilent;
      model.upstream(13).fault = Fault::kSlow;
      model.upstream(14).fault = Fault::kReportsIdle;
    });
    model.At(seconds(7), [&] {
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
      name, result.Goodput(), result.P99Milliseconds(), result.ShareOf(result.to_failing),
      result.ShareOf(result.cross_zone),
      static_cast<double>(result.attempts) / static_cast<double>(result.offered));
}

// Guards against routing that serves less than choosing at random would, or that a fast failing
// upstream attracts. All variants see the same load, seed and faults.
TEST(RoutingModelTest, ServesMoreThanBlindChoicesUnderFaults) {
  ModelResult routed = RunScenario(Scenario::kFaults, Policy::kRouter, {});
  ModelResult random = RunScenario(Scenario::kFaults, Policy::kUniformRandom, {});
  ModelResult robin = RunScenario(Scenario::kFaults, Policy::kRoundRobin, {});
  Print("faults: router", routed);
  Print("faults: uniform random", random);
  Print("faults: round robin", robin);
  EXPECT_GT(routed.Goodput(), random.Goodput());
  EXPECT_GT(routed.Goodput(), robin.Goodput());
  EXPECT_LT(routed.P99Milliseconds(), random.P99Milliseconds());
  EXPECT_LT(routed.P99Milliseconds(), robin.P99Milliseconds());
  EXPECT_LT(routed.ShareOf(routed.to_failing), 0.2 * random.ShareOf(random.to_failing));
  EXPECT_LT(routed.ShareOf(routed.cross_zone), 0.5 * random.ShareOf(random.cross_zone));
}

// Guards against a zone that stays overloaded while others have room.
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
