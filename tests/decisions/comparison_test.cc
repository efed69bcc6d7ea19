#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

#include "tests/decisions/call_tree.h"

namespace borageloft::decisions {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Names of the figures are those of docs/design.md, section 15.
void Print(const std::string& name, Controls controls, double value) {
  std::cout << "figure " << name << (controls == Controls::kOn ? " on " : " off ") << value << "\n";
}

class ComparisonTest : public ::testing::Test {
 protected:
  static constexpr std::uint32_t kAllowance = 2;

  static TreeOptions Options(Controls controls) {
    const char* seed = std::getenv("DECISIONS_SEED");
    TreeOptions options;
    options.seed = seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10);
    options.controls = controls;
    // The baseline has no deadline that is passed on, only the usual fixed timeout of each hop.
    if (controls == Controls::kOff) {
      options.attempt_timeout = milliseconds(200);
    }
    options.services = {{"front", 6, 70, 10, milliseconds(10), {1}},
                        {"middle", 4, 100, 10, milliseconds(10), {2}},
                        {"deep", 4, 25, 5, milliseconds(20), {}}};
    options.classes = {{"claims", 1, 0.1, 0, 0.05, false},
                       {"browse", 2, 0.5, kAllowance, 0, true},
                       {"crawl", 3, 0.4, kAllowance, 0, true}};
    return options;
  }

  struct Figures {
    double goodput = 0;            // Share of capacity.
    double important_goodput = 0;  // Share of that class's demand.
    double wasted_work_share = 0;
    double retry_amplification = 0;  // In the worst second.
  };

  static Figures Measure(const CallTree& tree, base::Duration from, base::Duration to) {
    Figures figures;
    std::uint64_t arrived = 0;
    std::uint64_t succeeded = 0;
    double completed = 0;
    double work = 0;
    double wasted = 0;
    const auto first = static_cast<std::size_t>(from / CallTree::kWindow);
    const auto last = static_cast<std::size_t>(to / CallTree::kWindow);
    for (std::size_t i = first; i < last; ++i) {
      const Window& window = tree.windows()[i];
      arrived += window.class_arrived[0];
      succeeded += window.class_succeeded[0];
      completed += static_cast<double>(window.completed);
      work += window.work;
      wasted += window.wasted_work;
    }
    for (std::size_t i = first; i + 10 <= last; i += 10) {
      double first_calls = 0;
      double extra_calls = 0;
      for (std::size_t j = i; j < i + 10; ++j) {
        first_calls += static_cast<double>(tree.windows()[j].first_calls);
        extra_calls += static_cast<double>(tree.windows()[j].extra_calls);
      }
      if (first_calls > 0) {
        figures.retry_amplification =
            std::max(figures.retry_amplification, 1 + extra_calls / first_calls);
      }
    }
    figures.goodput =
        completed / std::chrono::duration<double>(to - from).count() / tree.Capacity();
    figures.important_goodput = static_cast<double>(succeeded) / static_cast<double>(arrived);
    figures.wasted_work_share = work > 0 ? wasted / work : 0;
    return figures;
  }

  static Figures MeasureDemand(Controls controls, double multiple) {
    CallTree tree(Options(controls));
    tree.set_demand(tree.Capacity() * multiple);
    tree.RunUntil(seconds(13));  // So that what arrived until second 12 has ended.
    const Figures figures = Measure(tree, seconds(2), seconds(12));
    const std::string at = "_at_" + std::to_string(static_cast<int>(multiple)) + "x";
    Print("goodput" + at, controls, figures.goodput);
    Print("important_goodput" + at, controls, figures.important_goodput);
    Print("wasted_work_share" + at, controls, figures.wasted_work_share);
    Print("retry_amplification" + at, controls, figures.retry_amplification);
    return figures;
  }

  // Time after the trigger until at least 95% of the requests that arrive succeed in every window.
  static base::Duration Recovery(const CallTree& tree, base::Duration trigger_end,
                                 base::Duration until) {
    const auto first = static_cast<std::size_t>(trigger_end / CallTree::kWindow);
    const auto last = static_cast<std::size_t>(until / CallTree::kWindow);
    std::size_t recovered = first;
    for (std::size_t i = first; i < last; ++i) {
      const Window& window = tree.windows()[i];
      if (static_cast<double>(window.arrived_and_succeeded) <
          0.95 * static_cast<double>(window.arrived)) {
        recovered = i + 1;
      }
    }
    return (recovered - first) * CallTree::kWindow;
  }

  static double MeasureSlowdown(Controls controls) {
    TreeOptions options = Options(controls);
    options.client_attempts = 5;
    CallTree tree(options);
    tree.set_demand(tree.Capacity() * 0.8);
    tree.RunUntil(seconds(5));
    tree.set_slowness(2, 10);
    tree.RunUntil(seconds(35));
    tree.set_slowness(2, 1);
    tree.RunUntil(seconds(46));
    const double recovery =
        std::chrono::duration<double>(Recovery(tree, seconds(35), seconds(45))).count();
    Print("recovery_s_after_slowdown", controls, recovery);
    Print("wasted_work_share_in_slowdown", controls,
          Measure(tree, seconds(6), seconds(35)).wasted_work_share);
    Print("important_goodput_in_slowdown", controls,
          Measure(tree, seconds(6), seconds(35)).important_goodput);
    return recovery;
  }

  static double MeasureSurge(Controls controls) {
    TreeOptions options = Options(controls);
    options.client_attempts = 10;
    CallTree tree(options);
    tree.set_demand(tree.Capacity() * 0.8);
    tree.RunUntil(seconds(5));
    tree.set_demand(tree.Capacity() * 5);
    tree.RunUntil(seconds(10));
    tree.set_demand(tree.Capacity() * 0.8);
    tree.RunUntil(seconds(21));
    const double recovery =
        std::chrono::duration<double>(Recovery(tree, seconds(10), seconds(20))).count();
    Print("recovery_s_after_surge", controls, recovery);
    return recovery;
  }
};

// Guards against retries that multiply along the hops while upstreams break.
TEST_F(ComparisonTest, BreakingUpstreams) {
  for (const Controls controls : {Controls::kOff, Controls::kOn}) {
    CallTree tree(Options(controls));
    tree.set_demand(tree.Capacity() * 0.6);
    for (std::size_t i = 0; i < 120; ++i) {
      tree.RunUntil(milliseconds(100 * i));
      tree.RestartGate(i % tree.upstream_count());
    }
    tree.RunUntil(seconds(13));
    const Figures figures = Measure(tree, seconds(2), seconds(12));
    Print("retry_amplification_while_upstreams_break", controls, figures.retry_amplification);
    Print("goodput_of_demand_while_upstreams_break", controls, figures.goodput / 0.6);
    if (controls == Controls::kOn) {
      EXPECT_GT(figures.retry_amplification, 1);
      EXPECT_LE(figures.retry_amplification, 1 + kAllowance);
    }
  }
}

// Guards against goodput that falls when demand is twice the capacity.
TEST_F(ComparisonTest, TwiceTheCapacity) {
  MeasureDemand(Controls::kOff, 2);
  const Figures on = MeasureDemand(Controls::kOn, 2);
  EXPECT_GE(on.goodput, 0.95);
  EXPECT_GE(on.important_goodput, 0.999);
  EXPECT_LE(on.wasted_work_share, 0.02);
  EXPECT_LE(on.retry_amplification, 1 + kAllowance);
}

// Guards against goodput that falls when demand is ten times the capacity.
TEST_F(ComparisonTest, TenTimesTheCapacity) {
  MeasureDemand(Controls::kOff, 10);
  const Figures on = MeasureDemand(Controls::kOn, 10);
  EXPECT_GE(on.goodput, 0.90);
  EXPECT_LE(on.wasted_work_share, 0.02);
  EXPECT_LE(on.retry_amplification, 1 + kAllowance);
}

// Guards against an overload that stays after the slowdown that brought it about.
TEST_F(ComparisonTest, RecoversFromDeepSlowdown) {
  EXPECT_GT(MeasureSlowdown(Controls::kOff), 5);
  EXPECT_LE(MeasureSlowdown(Controls::kOn), 1);
}

// Guards against an overload that retrying clients keep going after a surge.
TEST_F(ComparisonTest, RecoversFromSurgeWithHardRetries) {
  EXPECT_GT(MeasureSurge(Controls::kOff), 5);
  EXPECT_LE(MeasureSurge(Controls::kOn), 1);
}

}  // namespace
}  // namespace borageloft::decisions
