#ifndef BORAGELOFT_TESTS_ROUTING_QUEUE_MODEL_H_
#define BORAGELOFT_TESTS_ROUTING_QUEUE_MODEL_H_

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>

#include "libraries/routing/routing.h"

namespace borageloft::routing {

/** How the callers of the model choose upstreams. */
enum class Policy { kRouter, kUniformRandom, kRoundRobin };

/** Size and load of the model. Each zone has the same number of callers and upstreams. */
struct ModelOptions {
  Policy policy = Policy::kRouter;
  RoutingOptions routing;
  std::uint64_t seed = 1;
  std::size_t zones = 3;
  std::size_t callers_per_zone = 4;
  std::size_t upstreams_per_zone = 6;
  std::uint32_t slots = 8;
  std::size_t queue_limit = 32;
  base::Duration service_time = std::chrono::milliseconds(10);
  base::Duration own_zone_delay = std::chrono::microseconds(100);  // One way.
  base::Duration cross_zone_delay = std::chrono::milliseconds(3);  // One way.
  base::Duration attempt_timeout = std::chrono::milliseconds(150);
  base::Duration deadline = std::chrono::milliseconds(400);
  std::size_t attempts = 2;
  double rate = 8'000;  // Requests per second.
  base::Duration arrivals_end = std::chrono::seconds(10);
  double first_zone_share = 0.34;  // Fraction of the requests that arrive in the first zone.
};

/** Fault injected into an upstream. */
enum class Fault { kNone, kFailFast, kSilent, kSlow, kReportsIdle, kReportsBusy };

struct ModelUpstream {
  UpstreamView view;
  Fault fault = Fault::kNone;
  std::uint32_t running = 0;
  std::deque<std::uint64_t> waiting;
};

struct ModelResult {
  std::uint64_t offered = 0;
  std::uint64_t served = 0;
  std::uint64_t attempts = 0;
  std::uint64_t cross_zone = 0;
  std::uint64_t sent_to_failing = 0;  // Attempts sent to an upstream that was failing fast.
  std::vector<base::Duration> latencies;

  double Goodput() const { return static_cast<double>(served) / static_cast<double>(offered); }
  double ShareOf(std::uint64_t count) const {
    return static_cast<double>(count) / static_cast<double>(attempts);
  }
  double P99Milliseconds();
};

/**
 * Discrete-event simulation of callers, network delays, and upstreams with slots and a bounded
 * queue.
 */
class QueueModel {
 public:
  explicit QueueModel(const ModelOptions& options);

  /** Schedules @p action at @p time from the start of the simulation. */
  void Schedule(base::Duration time, std::function<void()> action);

  /** Runs all events up to @p time. @return Number of events. */
  std::uint64_t RunUntil(base::Duration time);

  ModelUpstream& upstream(std::size_t index) { return *upstreams_.at(index); }
  std::size_t upstream_count() const { return upstreams_.size(); }
  ModelResult& result() { return result_; }
  base::Duration now() const { return now_.time_since_epoch(); }

  void Join(std::size_t zone);
  void BeginLeaving(std::size_t index);
  void Restart(std::size_t index);

  /** Delivers the list of members to each caller after a random delay of up to 2 s. */
  void PublishMembers();

  /** Checks the invariants at each choice; throws std::logic_error if one is violated. */
  std::function<void(const Router& router, const std::vector<UpstreamView>& known,
                     const RouteRequest& request, const RouteResult& result)>
      check;

 private:
  struct Event {
    base::TimePoint time;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : number > other.number;
    }
  };
  struct Caller {
    std::unique_ptr<Router> router;
    std::string zone;
    std::vector<UpstreamView> known;
    std::size_t next = 0;
  };
  struct Request {
    std::size_t caller;
    base::TimePoint started_at;
    RouteRequest route;
  };
  struct ModelAttempt {
    std::shared_ptr<Request> request;
    Choice choice;
    AttemptId id;
    base::TimePoint started_at;
    base::Duration one_way_delay;
  };

  void HandleArrival();
  void Send(const std::shared_ptr<Request>& request);
  RouteResult ChooseFor(Caller& caller, const RouteRequest& route);
  void HandleRequestAtUpstream(std::uint64_t number, std::uint64_t incarnation);
  void StartService(ModelUpstream& upstream, std::uint64_t number);
  void SendResponse(std::uint64_t number, AttemptOutcome outcome);
  void HandleTimeout(std::uint64_t number);
  void EndAttempt(const ModelAttempt& attempt, AttemptOutcome outcome);
  LoadReport MakeLoadReport(const ModelUpstream& upstream) const;
  ModelUpstream* FindUpstream(const Choice& choice);
  base::Duration DrawExponential(double mean_ns);

  ModelOptions options_;
  base::Random random_;
  base::TimePoint now_;
  std::uint64_t next_number_ = 1;
  std::priority_queue<Event> events_;
  std::vector<Caller> callers_;
  std::vector<std::unique_ptr<ModelUpstream>> upstreams_;
  std::unordered_map<std::string, ModelUpstream*> by_id_;
  std::unordered_map<std::uint64_t, ModelAttempt> in_flight_;
  ModelResult result_;
};

}  // namespace borageloft::routing

#endif  // BORAGELOFT_TESTS_ROUTING_QUEUE_MODEL_H_
