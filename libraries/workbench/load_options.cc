#include "libraries/workbench/load_options.h"

#include "libraries/workbench/error.h"

namespace borageloft::workbench {

namespace {

void Require(bool is_valid, const char* message) {
  if (!is_valid) {
    throw Error(message);
  }
}

}  // namespace

void LoadOptions::Check() const {
  constexpr std::size_t kMostSenders = 2048;
  constexpr double kHighestRate = 1'000'000;
  constexpr unsigned kMostRetries = 100;
  Require(!targets.empty(), "at least one target is needed");
  Require(!kinds.empty(), "at least one request kind is needed");
  for (const RequestKind& kind : kinds) {
    Require(!kind.label.empty(), "a request kind needs a label");
    Require(kind.weight > 0, "the weight of a request kind must be above 0");
    Require(kind.path.starts_with('/'), "the path of a request kind must start with /");
    Require(kind.timeout >= std::chrono::milliseconds(1), "a timeout must be at least 1 ms");
  }
  Require(rate_per_second > 0 && rate_per_second <= kHighestRate,
          "the rate must be above 0 and at most 1,000,000 per second");
  Require(duration > base::Duration::zero() && duration <= std::chrono::hours(24),
          "the duration must be above 0 and at most 24 hours");
  Require(senders > 0 && senders <= kMostSenders, "senders must be 1 to 2048");
  Require(retries <= kMostRetries, "retries must be at most 100");
  Require(surge_multiplier > 0 && surge_multiplier <= 1000,
          "the surge multiplier must be above 0 and at most 1000");
  Require(!trigger || (trigger->begin >= base::Duration::zero() && trigger->begin < trigger->end),
          "the trigger must end after it begins");
  Require(recovery_window >= std::chrono::milliseconds(10),
          "the recovery window must be at least 10 ms");
  Require(recovery_level > 0 && recovery_level <= 1, "the recovery level must be above 0, up to 1");
}

}  // namespace borageloft::workbench
