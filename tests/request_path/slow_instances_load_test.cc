#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libraries/request_path/request_path.h"

namespace borageloft::request_path {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kInstances = 20;
constexpr std::size_t kEntries = 50;
constexpr double kRequestsPerSecond = 220;
constexpr double kWorkMs = 360;
constexpr milliseconds kTimeout{2500};
constexpr milliseconds kObjective{2000};
constexpr milliseconds kRecordInterval{300};
constexpr milliseconds kTick{10};

/**
 * Entries that each send a few requests a second to the instances of one service, without a
 * network: placement by InstanceChooser, admission by LocalGate, on a manual clock.
 */
class SlowInstancesLoad {
 public:
  explicit SlowInstancesLoad(std::uint64_t seed) : random_(base::SeededRandom(seed)) {
    base::ReplaceLogSink([](std::string_view) {});
    for (std::size_t i = 0; i < kInstances; ++i) {
      instances_.push_back(std::make_unique<Instance>(*this, "n" + std::to_string(i)));
    }
    for (std::size_t i = 0; i < kEntries; ++i) {
      choosers_.push_back(std::make_unique<InstanceChooser>("z"));
    }
    PublishRecords();
  }
  ~SlowInstancesLoad() { base::ReplaceLogSink({}); }

  SlowInstancesLoad(const SlowInstancesLoad&) = delete;
  SlowInstancesLoad& operator=(const SlowInstancesLoad&) = delete;

  /** Makes the first @p count instances @p factor times as slow as usual. */
  void SlowDown(std::size_t count, double factor) {
    for (std::size_t i = 0; i < count; ++i) {
      instances_[i]->factor = factor;
    }
  }

  /** @return Share of the requests sent within @p duration that are served within the objective. */
  double Play(base::Duration duration) {
    const base::TimePoint end = now_ + duration;
    sent_ = 0;
    served_ = 0;
    counts_from_ = now_;
    counts_until_ = end;
    while (now_ < end + kTimeout) {
      Step();
    }
    return served_ / sent_;
  }

 private:
  struct Instance {
    Instance(SlowInstancesLoad& load, const std::string& node)
        : local("parts", seconds(1000)),
          gate(
              {}, local, [&load] { return load.now_; }, load.timers_,
              [this, &load](const wire::Request&, base::TimePoint, ResponseHandler handler) {
                return load.Run(*this, std::move(handler));
              },
              load.log_) {
      local.HandleHeartbeat(
          {"i-" + node, "parts", 1, 1, directory::InstanceState::kServing, 48, {}}, load.now_);
      record.node = node;
      record.zone = "z";
      record.service = "parts";
      record.instance = "i-" + node;
      record.slots = 48;
    }
    directory::LocalInstance local;
    LocalGate gate;
    directory::InstanceRecord record;
    double factor = 1;
  };

  CancelHook Run(Instance& instance, ResponseHandler handler) {
    const double work_ms = kWorkMs * instance.factor * (0.7 + 0.6 * base::DrawFraction(random_));
    auto is_cancelled = std::make_shared<bool>(false);
    events_.emplace(now_ + milliseconds(static_cast<int>(work_ms)),
                    [is_cancelled, handler = std::move(handler)] {
                      if (!*is_cancelled) {
                        wire::Response response;
                        response.outcome = wire::Outcome::kRan;
                        response.status = 200;
                        handler(std::move(response));
                      }
                    });
    return [is_cancelled] { *is_cancelled = true; };
  }

  void Send() {
    InstanceChooser& chooser = *choosers_[base::DrawBelow(random_, kEntries)];
    const directory::InstanceRecord* chosen = chooser.Choose(
        "parts", wire::RequestOrigin::kCaller, {}, CandidateFilter::kExcludeTried, now_, random_);
    Instance& instance = *instances_[std::stoul(chosen->node.substr(1))];
    chooser.RecordStart("parts", chosen->node);
    const base::TimePoint started = now_;
    const bool counts = now_ >= counts_from_ && now_ < counts_until_;
    sent_ += counts ? 1 : 0;
    wire::Request request;
    request.service = "parts";
    request.context.root = std::to_string(++requests_);
    request.remaining = kTimeout;
    request.placement.instance = chosen->instance;
    request.placement.wait_limit = kObjective / 4;
    const auto has_ended = std::make_shared<bool>(false);
    const GateTicket ticket = instance.gate.Submit(
        std::move(request), [=, this, &chooser, &instance](const wire::Response& response) {
          const bool is_overdue = *has_ended;
          *has_ended = true;
          const bool is_served = response.outcome == wire::Outcome::kRan;
          chooser.RecordEnd("parts", instance.record.node, instance.record.instance,
                            is_served    ? AttemptOutcome::kServed
                            : is_overdue ? AttemptOutcome::kCancelled
                                         : AttemptOutcome::kRefused,
                            now_ - started, &response.load, now_);
          served_ += counts && is_served && now_ - started <= kObjective ? 1 : 0;
        });
    events_.emplace(now_ + kTimeout, [has_ended, ticket, &instance] {
      if (!*has_ended) {
        *has_ended = true;
        instance.gate.Cancel(ticket);
      }
    });
  }

  void PublishRecords() {
    for (const auto& instance : instances_) {
      instance->record.slowdown_steps = instance->gate.slowdown_steps();
      for (const auto& chooser : choosers_) {
        chooser->Set(instance->record);
      }
    }
    next_publish_ = now_ + kRecordInterval;
  }

  void Step() {
    now_ += kTick;
    while (!events_.empty() && events_.begin()->first <= now_) {
      const std::function<void()> event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    timers_.RunDue();
    if (now_ >= next_publish_) {
      PublishRecords();
    }
    pending_ += kRequestsPerSecond * std::chrono::duration<double>(kTick).count();
    for (; pending_ >= 1; pending_ -= 1) {
      Send();
    }
  }

  base::TimePoint now_{seconds(100)};
  base::Random random_;
  timer::TimerService timers_{[this] { return now_; }};
  DecisionLog log_{[this] { return now_; }};
  std::multimap<base::TimePoint, std::function<void()>> events_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<std::unique_ptr<InstanceChooser>> choosers_;
  base::TimePoint next_publish_{};
  base::TimePoint counts_from_{};
  base::TimePoint counts_until_{};
  double pending_ = 0;
  double sent_ = 0;
  double served_ = 0;
  std::uint64_t requests_ = 0;
};

// Guards against a slowdown of many instances that is learned only from requests that end at their
// time limit. Six in ten instances remain fast and have room for all requests. What may be lost is
// what the slow ones would get at their usual share in two of the nine seconds.
TEST(SlowInstancesLoadTest, CallersAreServedByTheFastInstances) {
  constexpr double kLostAtMost = 0.4 * 2.0 / 9.0;
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    SlowInstancesLoad load(seed);
    EXPECT_GT(load.Play(seconds(10)), 0.995) << "seed " << seed;
    load.SlowDown(kInstances * 4 / 10, 12);
    EXPECT_GT(load.Play(seconds(9)), 1 - kLostAtMost) << "seed " << seed;
    load.SlowDown(kInstances, 1);
    load.Play(seconds(5));
    EXPECT_GT(load.Play(seconds(5)), 0.995) << "seed " << seed;
  }
}

}  // namespace
}  // namespace borageloft::request_path
