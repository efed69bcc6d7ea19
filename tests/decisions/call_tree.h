#ifndef BORAGELOFT_TESTS_DECISIONS_CALL_TREE_H_
#define BORAGELOFT_TESTS_DECISIONS_CALL_TREE_H_

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/admission/admission.h"
#include "libraries/retry/retry.h"

namespace borageloft::decisions {

/** Thrown when an invariant does not hold after a step. */
class InvariantFailure : public std::logic_error {
 public:
  explicit InvariantFailure(const std::string& message) : std::logic_error(message) {}
};

/** A service of the tree. Work beyond the cores of an upstream takes longer in proportion. */
struct ServiceSpec {
  std::string name;
  std::size_t upstreams = 1;
  std::size_t slots = 1;
  std::size_t cores = 1;
  base::Duration own_time{};       // Mean; drawn from an exponential distribution.
  std::vector<std::size_t> calls;  // Services called one after the other, by index.
};

/** A class of requests and its part of the demand. */
struct ClassSpec {
  std::string name;
  admission::ClassRank rank = 1;
  double part = 1;
  std::uint32_t allowance = 0;
  double reserved = 0;
  bool is_idempotent = true;
};

enum class Controls { kOff, kOn };

/** What a run consists of. Clients call service 0. */
struct TreeOptions {
  std::vector<ServiceSpec> services;
  std::vector<ClassSpec> classes;
  Controls controls = Controls::kOn;
  std::uint64_t seed = 1;
  double demand = 0;  // Client requests per second.
  std::size_t entries = 4;
  std::size_t clients = 1000;
  std::uint32_t client_attempts = 1;
  base::Duration client_pause = std::chrono::milliseconds(20);
  base::Duration client_timeout = std::chrono::milliseconds(500);
  base::Duration attempt_timeout = std::chrono::milliseconds(500);
};

/** Counts of client requests that arrived or ended within 100 ms. */
struct Window {
  std::uint64_t arrived = 0;
  std::uint64_t arrived_and_succeeded = 0;
  std::vector<std::uint64_t> class_arrived;
  std::vector<std::uint64_t> class_succeeded;  // Of those that arrived in this window.
  std::uint64_t completed = 0;                 // Ended whole within this window.
  std::uint64_t first_calls = 0;
  std::uint64_t extra_calls = 0;
  double work = 0;
  double wasted_work = 0;
};

/**
 * In-memory tree of services on a manual clock that joins the real admission and retry classes, or
 * a baseline without them: first in first out, work that goes on after its caller gave up, and up
 * to three attempts at each hop. Invariants are checked at every step.
 */
class CallTree {
 public:
  static constexpr base::Duration kWindow = std::chrono::milliseconds(100);

  explicit CallTree(TreeOptions options);

  /** Runs one event. @return False when none is left. */
  bool Step();

  /** Runs the events up to @p elapsed after the start. */
  void RunUntil(base::Duration elapsed);

  /** Ends the arrivals, runs all that is left and checks that every request ended once. */
  void Drain();

  void set_demand(double demand) { options_.demand = demand; }
  void set_client_attempts(std::uint32_t attempts) { options_.client_attempts = attempts; }
  void set_slowness(std::size_t service, double factor);
  void set_silent(std::size_t upstream, bool is_silent) {
    upstreams_[upstream].is_silent = is_silent;
  }
  void set_lying(std::size_t upstream, bool is_lying) { upstreams_[upstream].is_lying = is_lying; }
  void RestartGate(std::size_t upstream);

  /** @return Whole requests per second that the narrowest service can finish. */
  double Capacity() const;

  std::size_t upstream_count() const { return upstreams_.size(); }
  std::uint64_t steps() const { return steps_; }
  base::Duration elapsed() const { return now_ - kStart; }
  const std::vector<Window>& windows() const { return windows_; }
  std::uint64_t important_shed() const { return important_shed_; }
  admission::AdmissionGate& gate(std::size_t upstream) { return *upstreams_[upstream].gate; }

 private:
  static constexpr base::TimePoint kStart{std::chrono::seconds(1000)};

  struct Request;
  struct Root;
  struct Attempt;
  struct Call;
  using AttemptPtr = std::shared_ptr<Attempt>;
  using CallPtr = std::shared_ptr<Call>;

  enum class State { kSent, kQueued, kRunning, kEnded };

  struct Node {
    std::unique_ptr<admission::LoadLevelMap> levels;
    std::vector<retry::RetryBudget> budgets;  // By service.
    std::vector<std::size_t> outstanding;     // By upstream.
  };

  struct Upstream {
    std::size_t service = 0;
    std::size_t node = 0;
    std::unique_ptr<admission::AdmissionGate> gate;
    std::deque<AttemptPtr> fifo;  // Only without controls.
    std::unordered_map<std::uint64_t, AttemptPtr> attempts;
    std::size_t running = 0;
    std::size_t working = 0;
    std::multiset<admission::ClassRank> held_ranks;  // Running and queued.
    double slowness = 1;
    bool is_silent = false;
    bool is_lying = false;
  };

  struct Event {
    base::TimePoint at;
    std::uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  void After(base::Duration delay, std::function<void()> action);
  Window& WindowAt(base::TimePoint time);
  double DrawExponential();
  void MakeGate(std::size_t upstream);

  void Arrive();
  void StartClientAttempt(const std::shared_ptr<Request>& request);
  void FailClientAttempt(const std::shared_ptr<Request>& request);
  void EndRoot(const std::shared_ptr<Root>& root, bool is_success);

  void SendAttempt(const CallPtr& call);
  std::size_t ChooseUpstream(const Call& call);
  void ArriveAtGate(const AttemptPtr& attempt);
  void Apply(std::size_t upstream, const admission::GateChanges& changes);
  void Begin(const AttemptPtr& attempt);
  void EndOwnWork(const AttemptPtr& attempt, base::Duration work);
  void CallNextChild(const AttemptPtr& attempt);
  void EndRun(const AttemptPtr& attempt, admission::Outcome outcome, bool is_own_failure);
  void Refuse(const AttemptPtr& attempt, admission::Reason reason, base::Duration retry_after);
  void Answer(const AttemptPtr& attempt, bool is_success, retry::FailedAttempt failed);
  void Settle(const AttemptPtr& attempt, bool is_success, const retry::FailedAttempt& failed,
              bool is_answered);
  void RetryOrFail(const CallPtr& call, retry::FailedAttempt failed);
  void Tick(std::size_t upstream);
  void Require(bool condition, const char* what) const;

  TreeOptions options_;
  base::Random random_;
  base::TimePoint now_ = kStart;
  std::priority_queue<Event> events_;
  std::uint64_t next_event_ = 1;
  std::uint64_t next_ticket_ = 1;
  std::uint64_t next_request_ = 1;
  std::uint64_t steps_ = 0;
  std::uint64_t open_attempts_ = 0;
  std::uint64_t open_requests_ = 0;
  std::uint64_t important_shed_ = 0;
  bool has_arrivals_ = true;
  std::vector<Window> windows_;
  std::vector<Node> nodes_;
  std::vector<Upstream> upstreams_;
  std::vector<std::vector<std::size_t>> members_;  // Upstreams by service.
  std::unique_ptr<retry::RetryPolicy> policy_;
  std::unique_ptr<retry::AttemptLimiter> limiter_;
};

}  // namespace borageloft::decisions

#endif  // BORAGELOFT_TESTS_DECISIONS_CALL_TREE_H_
