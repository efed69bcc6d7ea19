#ifndef BORAGELOFT_TESTS_ROUTING_QUEUE_MODEL_H_
#define BORAGELOFT_TESTS_ROUTING_QUEUE_MODEL_H_

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>

#include "libraries/routing/routing.h"

namespace borageloft::routing {

/** How the callers of a model choose upstreams. */
enum class Policy { kRouter, kUniformRandom, kRoundRobin };

/** Size and load of a model: the same number of callers and upstreams in each zone. */
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
  base::Duration own_link = std::chrono::microseconds(100);  // One way.
  base::Duration cross_link = std::chrono::milliseconds(3);  // One way.
  base::Duration attempt_timeout = std::chrono::milliseconds(150);
  base::Duration deadline = std::chrono::milliseconds(400);
  std::size_t attempts = 2;
  double rate = 8'000;  // Requests per second.
  base::Duration arrivals_end = std::chrono::seconds(10);
  double first_zone_share = 0.34;  // Part of the requests that arrives in the first zone.
};

/** Fault of an upstream. */
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
  std::uint64_t to_failing = 0;  // Attempts sent while the upstream was failing fast.
  std::vector<base::Duration> latencies;

  double Goodput() const { return static_cast<double>(served) / static_cast<double>(offered); }
  double ShareOf(std::uint64_t count) const {
    return static_cast<double>(count) / static_cast<double>(attempts);
  }
  double P99Milliseconds();
};

/** Queue model in virtual time: callers, links, upstreams with slots and a bounded queue. */
class QueueModel {
 public:
  explicit QueueModel(const ModelOptions& options);

  /** Runs @p action at a time from the start. */
  void At(base::Duration time, std::function<void()> action);

  /** Runs events up to a time. @return Number of events. */
  std::uint64_t RunUntil(base::Duration time);

  ModelUpstream& upstream(std::size_t index) { return *upstreams_.at(index); }
  std::size_t upstream_count() const { return upstreams_.size(); }
  ModelResult& result() { return result_; }
  base::Duration now() const { return now_.time_since_epoch(); }

  void Join(std::size_t zone);
  void BeginLeaving(std::size_t index);
  void Restart(std::size_t index);

  /** Sends the list of members to each caller after a random delay of up to 2 s. */
  void PublishMembers();

  /** Checks what must hold at each step; throws std::logic_error. */
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
    base::TimePoint begun;
    RouteRequest route;
  };
  struct ModelAttempt {
    std::shared_ptr<Request> request;
    Choice choice;
    AttemptId id;
    base::TimePoint begun;
    base::Duration link;
  };

  void Arrive();
  void Send(const std::shared_ptr<Request>& request);
  RouteResult ChooseFor(Caller& caller, const RouteRequest& route);
  void Reach(std::uint64_t number, std::uint64_t incarnation);
  void Begin(ModelUpstream& upstream, std::uint64_t number);
  void Answer(std::uint64_t number, AttemptOutcome outcome);
  void GiveUp(std::uint64_t number);
  void EndAttempt(const ModelAttempt& attempt, AttemptOutcome outcome);
  LoadReport ReportOf(const ModelUpstream& upstream) const;
  ModelUpstream* Find(const Choice& choice);
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
