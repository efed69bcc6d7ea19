#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

#include "tests/decisions/call_tree.h"

namespace borageloft::decisions {
namespace {

using std::chrono::milliseconds;

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* value = std::getenv(name);
  return value == nullptr ? otherwise : std::strtoull(value, nullptr, 10);
}

// Draws trees and faults, two at a time at times, and checks the invariants at every step.
class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed)
      : random_(base::SeededRandom(seed)), options_(DrawOptions(seed)), tree_(options_) {}

  // Returns the number of the failing step, the length of the shortest failing prefix, or zero.
  std::uint64_t Run(std::uint64_t steps) {
    try {
      while (tree_.steps() < steps) {
        if (tree_.elapsed() >= next_fault_) {
          DrawFault();
          next_fault_ = tree_.elapsed() + milliseconds(base::DrawBelow(random_, 1500));
        }
        tree_.Step();
      }
      tree_.Drain();
    } catch (const std::exception& error) {
      failure_ = error.what();
      return tree_.steps();
    }
    return 0;
  }

  const std::string& failure() const { return failure_; }
  std::uint64_t steps() const { return tree_.steps(); }

 private:
  TreeOptions DrawOptions(std::uint64_t seed) {
    TreeOptions options;
    options.seed = seed;
    const std::size_t count = 2 + base::DrawBelow(random_, 5);
    for (std::size_t i = 0; i < count; ++i) {
      ServiceSpec& spec = options.services.emplace_back();
      spec.name = "service" + std::to_string(i);
      spec.upstreams = 1 + base::DrawBelow(random_, 4);
      spec.slots = 1 + base::DrawBelow(random_, 40);
      spec.cores = 1 + base::DrawBelow(random_, spec.slots);
      spec.own_time = milliseconds(1 + base::DrawBelow(random_, 30));
      if (i > 0) {
        options.services[base::DrawBelow(random_, i)].calls.push_back(i);
      }
    }
    options.classes = {
        {"claims", 1, 0.2, 0, 0.05, false}, {"browse", 2, 0.5, 3, 0, true}, {"crawl", 3, 0.3, 1}};
    options.demand = 200 + static_cast<double>(base::DrawBelow(random_, 3000));
    options.client_attempts = 1 + static_cast<std::uint32_t>(base::DrawBelow(random_, 6));
    options.attempt_timeout = milliseconds(100 + base::DrawBelow(random_, 400));
    return options;
  }

  void DrawFault() {
    const std::size_t service = base::DrawBelow(random_, options_.services.size());
    const std::size_t upstream = base::DrawBelow(random_, tree_.upstream_count());
    const bool is_on = base::DrawBelow(random_, 2) == 0;
    const std::function<void()> faults[] = {
        [&] { tree_.set_slowness(service, is_on ? 1 + base::DrawFraction(random_) * 20 : 1); },
        [&] {
          tree_.set_demand(options_.demand * (is_on ? 1 + base::DrawFraction(random_) * 9 : 1));
        },
        [&] { tree_.set_client_attempts(is_on ? 20 : options_.client_attempts); },
        [&] { tree_.set_silent(upstream, is_on); },
        [&] { tree_.set_lying(upstream, is_on); },
        [&] { tree_.RestartGate(upstream); },
    };
    faults[base::DrawBelow(random_, std::size(faults))]();
  }

  base::Random random_;
  TreeOptions options_;
  CallTree tree_;
  base::Duration next_fault_ = milliseconds(500);
  std::string failure_;
};

// Guards against every combination of faults that breaks an invariant of admission or retries:
// more runs than slots, a refused request that runs, the most important class shed before lower
// ones, retries over the allowance, and requests that end twice or never.
TEST(RandomRunTest, InvariantsHoldAtEveryStep) {
  base::ReplaceVerifyHandler([](const char* expression, const char* file, int line) {
    throw InvariantFailure(std::string(file) + ":" + std::to_string(line) + " " + expression);
  });
  const std::uint64_t first_seed = FromEnvironment("DECISIONS_SEED", 1);
  const std::uint64_t seeds = FromEnvironment("DECISIONS_SEEDS", 20);
  const std::uint64_t steps = FromEnvironment("DECISIONS_STEPS", 100'000);
  std::uint64_t total = 0;
  for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
    RandomRun run(seed);
    const std::uint64_t failing = run.Run(steps);
    total += run.steps();
    EXPECT_EQ(failing, 0U) << "DECISIONS_SEED=" << seed
                           << " DECISIONS_SEEDS=1 DECISIONS_STEPS=" << failing << ": "
                           << run.failure();
  }
  std::cout << "steps " << total << "\n";
  base::ReplaceVerifyHandler({});
}

}  // namespace
}  // namespace borageloft::decisions
