#include "tests/decisions/call_tree.h"

#include <algorithm>
#include <cmath>

namespace borageloft::decisions {

using admission::Outcome;
using admission::Reason;
using std::chrono::milliseconds;

namespace {

constexpr base::Duration kNetworkDelay = std::chrono::microseconds(500);
constexpr base::Duration kTick = milliseconds(5);
constexpr std::uint32_t kBaselineAttempts = 3;

double Seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

struct CallTree::Request {
  std::uint64_t id = 0;
  std::uint64_t client = 0;
  std::size_t request_class = 0;
  base::TimePoint arrived;
  std::uint32_t attempts = 0;
  bool is_done = false;
};

struct CallTree::Root {
  std::shared_ptr<Request> request;
  admission::ShedKey key;
  base::TimePoint begun;
  base::TimePoint deadline;
  retry::RetryAllowance allowance{0};
  std::uint32_t extra = 0;
  double work = 0;
  bool is_ended = false;
  bool is_success = false;
};

struct CallTree::Call {
  std::shared_ptr<Root> root;
  AttemptPtr parent;  // Null at the entry.
  std::size_t node = 0;
  std::size_t service = 0;
  std::uint32_t depth = 0;
  std::uint32_t attempts = 0;
  std::size_t last_upstream = SIZE_MAX;
  std::function<void(bool)> done;
};

struct CallTree::Attempt {
  CallPtr call;
  std::uint64_t id = 0;
  std::size_t upstream = 0;
  base::TimePoint deadline;
  State state = State::kSent;
  bool has_settled = false;  // At the caller's node.
  bool was_refused = false;
  bool is_working = false;
  retry::AllowanceLoan loan;
  retry::RetryAllowance allowance{0};
  std::size_t next_child = 0;
  base::TimePoint started;
  base::TimePoint child_started;
  base::Duration downstream{};
};

CallTree::CallTree(TreeOptions options)
    : options_(std::move(options)), random_(base::SeededRandom(options_.seed)) {
  members_.resize(options_.services.size());
  for (std::size_t service = 0; service < options_.services.size(); ++service) {
    for (std::size_t i = 0; i < options_.services[service].upstreams; ++i) {
      members_[service].push_back(upstreams_.size());
      Upstream& upstream = upstreams_.emplace_back();
      upstream.service = service;
      upstream.node = options_.entries + upstreams_.size() - 1;
    }
  }
  for (std::size_t i = 0; i < options_.entries + upstreams_.size(); ++i) {
    Node& node = nodes_.emplace_back();
    node.levels = std::make_unique<admission::LoadLevelMap>(milliseconds(300), milliseconds(500));
    node.budgets.assign(options_.services.size(), retry::RetryBudget(0.1));
    node.outstanding.assign(upstreams_.size(), 0);
  }
  policy_ = std::make_unique<retry::RetryPolicy>(
      retry::BackoffPolicy(milliseconds(10), milliseconds(200), base::SeededRandom(random_())));
  limiter_ = std::make_unique<retry::AttemptLimiter>(retry::AttemptLimits{});
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    MakeGate(i);
    if (options_.controls == Controls::kOn) {
      After(kTick, [this, i] { Tick(i); });
    }
  }
  After(base::Duration::zero(), [this] { Arrive(); });
}

bool CallTree::Step() {
  if (events_.empty()) {
    return false;
  }
  const Event event = events_.top();
  events_.pop();
  now_ = event.at;
  ++steps_;
  event.action();
  return true;
}

void CallTree::RunUntil(base::Duration elapsed) {
  while (!events_.empty() && events_.top().at <= kStart + elapsed && Step()) {
  }
  now_ = kStart + elapsed;
}

void CallTree::Drain() {
  has_arrivals_ = false;
  while (Step()) {
  }
  Require(open_attempts_ == 0, "every attempt ends");
  Require(open_requests_ == 0, "every client request ends");
  for (const Upstream& upstream : upstreams_) {
    Require(upstream.running == 0 && upstream.attempts.empty(), "no attempt is left at a gate");
    Require(upstream.gate->running() == 0 && upstream.gate->waiting() == 0, "the gate is empty");
  }
}

void CallTree::set_slowness(std::size_t service, double factor) {
  for (const std::size_t upstream : members_[service]) {
    upstreams_[upstream].slowness = factor;
  }
}

// A restarted node knows nothing of earlier requests; connections to it break.
void CallTree::RestartGate(std::size_t index) {
  Upstream& upstream = upstreams_[index];
  const auto attempts = std::exchange(upstream.attempts, {});
  upstream.fifo.clear();
  upstream.running = 0;
  upstream.working = 0;
  upstream.held_ranks.clear();
  MakeGate(index);
  nodes_[upstream.node].levels =
      std::make_unique<admission::LoadLevelMap>(milliseconds(300), milliseconds(500));
  std::vector<AttemptPtr> ordered;
  ordered.reserve(attempts.size());
  for (const auto& [id, attempt] : attempts) {
    ordered.push_back(attempt);
  }
  std::ranges::sort(ordered, {}, [](const AttemptPtr& attempt) { return attempt->id; });
  for (const AttemptPtr& attempt : ordered) {
    const bool has_run = attempt->state == State::kRunning;
    attempt->state = State::kEnded;
    --open_attempts_;
    retry::FailedAttempt failed;
    failed.failure = retry::Failure::kConnectionLost;
    failed.reach = has_run ? retry::Reach::kMayHaveReached : retry::Reach::kNotReached;
    After(kNetworkDelay, [=, this] { Settle(attempt, false, failed, false); });
  }
}

double CallTree::Capacity() const {
  std::vector<double> visits(options_.services.size(), 0);
  std::function<void(std::size_t)> visit = [&](std::size_t service) {
    ++visits[service];
    std::ranges::for_each(options_.services[service].calls, visit);
  };
  visit(0);
  double capacity = 1e9;
  for (std::size_t i = 0; i < visits.size(); ++i) {
    const ServiceSpec& spec = options_.services[i];
    if (visits[i] > 0) {
      capacity = std::min(capacity, static_cast<double>(spec.upstreams * spec.cores) /
                                        Seconds(spec.own_time) / visits[i]);
    }
  }
  return capacity;
}

void CallTree::After(base::Duration delay, std::function<void()> action) {
  events_.push({now_ + delay, next_event_++, std::move(action)});
}

Window& CallTree::WindowAt(base::TimePoint time) {
  const auto index = static_cast<std::size_t>((time - kStart) / kWindow);
  while (windows_.size() <= index) {
    Window& window = windows_.emplace_back();
    window.class_arrived.resize(options_.classes.size());
    window.class_succeeded.resize(options_.classes.size());
  }
  return windows_[index];
}

double CallTree::DrawExponential() { return -std::log(1 - base::DrawFraction(random_)); }

void CallTree::MakeGate(std::size_t index) {
  std::vector<admission::ClassLimits> classes;
  for (const ClassSpec& spec : options_.classes) {
    classes.push_back({spec.name, spec.rank, spec.reserved, 128});
  }
  admission::GateLimits limits;
  limits.slots = options_.services[upstreams_[index].service].slots;
  upstreams_[index].gate = std::make_unique<admission::AdmissionGate>(limits, classes);
}

void CallTree::Arrive() {
  if (!has_arrivals_) {
    return;
  }
  if (options_.demand <= 0) {
    After(milliseconds(1), [this] { Arrive(); });
    return;
  }
  After(base::Duration(static_cast<std::int64_t>(DrawExponential() / options_.demand * 1e9)),
        [this] { Arrive(); });
  auto request = std::make_shared<Request>();
  request->id = next_request_++;
  request->client = base::DrawBelow(random_, options_.clients);
  request->arrived = now_;
  double draw = base::DrawFraction(random_);
  while (request->request_class + 1 < options_.classes.size() &&
         draw >= options_.classes[request->request_class].part) {
    draw -= options_.classes[request->request_class].part;
    ++request->request_class;
  }
  Window& window = WindowAt(now_);
  ++window.arrived;
  ++window.class_arrived[request->request_class];
  ++open_requests_;
  StartClientAttempt(request);
}

void CallTree::StartClientAttempt(const std::shared_ptr<Request>& request) {
  ++request->attempts;
  const ClassSpec& spec = options_.classes[request->request_class];
  const std::size_t entry = base::DrawBelow(random_, options_.entries);
  auto root = std::make_shared<Root>();
  root->request = request;
  root->key = admission::ShedKey(random_());
  root->begun = now_;
  root->deadline = now_ + options_.client_timeout;
  if (options_.controls == Controls::kOn) {
    if (limiter_->Offer(request->client, request->id, now_).verdict ==
        retry::AttemptVerdict::kRepeatRefused) {
      FailClientAttempt(request);
      return;
    }
    const std::string path[] = {options_.services[0].name};
    if (!nodes_[entry].levels->Admit(path, spec.rank, root->key, now_).is_admitted) {
      FailClientAttempt(request);
      return;
    }
    root->allowance = retry::RetryAllowance(spec.allowance);
  }
  auto call = std::make_shared<Call>();
  call->root = root;
  call->node = entry;
  call->done = [this, root](bool is_success) { EndRoot(root, is_success); };
  ++WindowAt(now_).first_calls;
  After(options_.client_timeout, [this, root] { EndRoot(root, false); });
  SendAttempt(call);
}

void CallTree::FailClientAttempt(const std::shared_ptr<Request>& request) {
  if (request->attempts < options_.client_attempts) {
    After(options_.client_pause, [this, request] { StartClientAttempt(request); });
    return;
  }
  Require(!std::exchange(request->is_done, true), "a client request ends once");
  --open_requests_;
}

void CallTree::EndRoot(const std::shared_ptr<Root>& root, bool is_success) {
  if (std::exchange(root->is_ended, true)) {
    return;
  }
  root->is_success = is_success;
  WindowAt(now_).wasted_work += is_success ? 0 : root->work;
  if (!is_success) {
    FailClientAttempt(root->request);
    return;
  }
  Request& request = *root->request;
  Require(!std::exchange(request.is_done, true), "a client request ends once");
  --open_requests_;
  limiter_->RecordSuccess(request.client, request.id);
  ++WindowAt(now_).completed;
  // A success that took longer than one timeout is no sign of recovered service.
  if (now_ - request.arrived <= options_.client_timeout) {
    Window& window = WindowAt(request.arrived);
    ++window.arrived_and_succeeded;
    ++window.class_succeeded[request.request_class];
  }
}

std::size_t CallTree::ChooseUpstream(const Call& call) {
  const std::vector<std::size_t>& members = members_[call.service];
  const std::vector<std::size_t>& outstanding = nodes_[call.node].outstanding;
  std::size_t first = members[base::DrawBelow(random_, members.size())];
  const std::size_t second = members[base::DrawBelow(random_, members.size())];
  if (first == call.last_upstream ||
      (second != call.last_upstream && outstanding[second] < outstanding[first])) {
    first = second;
  }
  return first;
}

void CallTree::SendAttempt(const CallPtr& call) {
  const Root& root = *call->root;
  if (root.deadline <= now_ || (root.is_ended && options_.controls == Controls::kOn)) {
    call->done(false);
    return;
  }
  ++call->attempts;
  auto attempt = std::make_shared<Attempt>();
  attempt->call = call;
  attempt->id = next_ticket_++;
  attempt->upstream = ChooseUpstream(*call);
  attempt->deadline = std::min(root.deadline, now_ + options_.attempt_timeout);
  call->last_upstream = attempt->upstream;
  retry::RetryAllowance& allowance = call->parent ? call->parent->allowance : call->root->allowance;
  const auto expected =
      call->parent
          ? static_cast<std::uint32_t>(
                options_.services[upstreams_[call->parent->upstream].service].calls.size() -
                call->parent->next_child + 1)
          : 1;
  const bool is_leaf = options_.services[call->service].calls.empty();
  attempt->loan = allowance.Lend(is_leaf ? 0 : allowance.PartForNextOf(expected));
  attempt->allowance = retry::RetryAllowance(attempt->loan.amount);
  ++nodes_[call->node].outstanding[attempt->upstream];
  ++open_attempts_;
  After(kNetworkDelay, [this, attempt] { ArriveAtGate(attempt); });
  After(attempt->deadline - now_, [this, attempt] {
    retry::FailedAttempt failed;
    failed.failure = retry::Failure::kTimedOut;
    Settle(attempt, false, failed, false);
  });
}

void CallTree::ArriveAtGate(const AttemptPtr& attempt) {
  Upstream& upstream = upstreams_[attempt->upstream];
  const Root& root = *attempt->call->root;
  const ClassSpec& spec = options_.classes[root.request->request_class];
  upstream.attempts.emplace(attempt->id, attempt);
  upstream.held_ranks.insert(spec.rank);
  if (options_.controls == Controls::kOff) {
    if (upstream.running < options_.services[upstream.service].slots) {
      Begin(attempt);
    } else {
      attempt->state = State::kQueued;
      upstream.fifo.push_back(attempt);
    }
    return;
  }
  const admission::Ticket ticket{admission::TicketId{attempt->id},
                                 {spec.name, spec.rank},
                                 root.key,
                                 attempt->deadline,
                                 root.begun,
                                 attempt->call->depth};
  const admission::Decision decision = upstream.gate->Offer(ticket, now_);
  attempt->state = State::kQueued;
  Apply(attempt->upstream, decision.changes);
  if (decision.verdict == admission::Verdict::kRun) {
    Begin(attempt);
  } else if (decision.verdict == admission::Verdict::kRefused) {
    Refuse(attempt, decision.reason, decision.retry_after);
  }
}

void CallTree::Apply(std::size_t index, const admission::GateChanges& changes) {
  // Dropped ones are accounted for first: those that run now were still waiting at that moment.
  for (const admission::DroppedTicket& dropped : changes.dropped) {
    const auto found =
        upstreams_[index].attempts.find(static_cast<std::uint64_t>(dropped.ticket.id));
    Require(found != upstreams_[index].attempts.end(), "a dropped ticket is known");
    const AttemptPtr attempt = found->second;
    Refuse(attempt, dropped.reason, dropped.retry_after);
  }
  for (const admission::Ticket& ticket : changes.run) {
    const auto found = upstreams_[index].attempts.find(static_cast<std::uint64_t>(ticket.id));
    Require(found != upstreams_[index].attempts.end(), "a started ticket is known");
    const AttemptPtr attempt = found->second;
    Begin(attempt);
  }
}

void CallTree::Begin(const AttemptPtr& attempt) {
  Upstream& upstream = upstreams_[attempt->upstream];
  const ServiceSpec& spec = options_.services[upstream.service];
  Require(!attempt->was_refused, "a refused ticket never runs");
  Require(attempt->state == State::kSent || attempt->state == State::kQueued, "a ticket runs once");
  attempt->state = State::kRunning;
  attempt->started = now_;
  ++upstream.running;
  Require(upstream.running <= spec.slots, "the slots are not overrun");
  if (options_.controls == Controls::kOn) {
    Require(attempt->deadline > now_, "an expired ticket never runs");
    After(attempt->deadline - now_, [this, attempt] { EndRun(attempt, Outcome::kTimedOut, true); });
  }
  if (upstream.is_silent) {
    if (options_.controls == Controls::kOff) {
      After(std::chrono::seconds(5),
            [this, attempt] { EndRun(attempt, Outcome::kTimedOut, true); });
    }
    return;
  }
  ++upstream.working;
  attempt->is_working = true;
  const double stretch =
      std::max(1.0, static_cast<double>(upstream.working) / static_cast<double>(spec.cores));
  const auto mean = static_cast<double>(spec.own_time.count()) * upstream.slowness * stretch;
  const base::Duration work(1 + static_cast<std::int64_t>(mean * DrawExponential()));
  After(work, [this, attempt, work, stretch] {
    EndOwnWork(attempt, base::Duration(static_cast<std::int64_t>(static_cast<double>(work.count()) /
                                                                 stretch)));
  });
}

void CallTree::EndOwnWork(const AttemptPtr& attempt, base::Duration work) {
  if (attempt->state != State::kRunning) {
    return;
  }
  attempt->is_working = false;
  --upstreams_[attempt->upstream].working;
  Root& root = *attempt->call->root;
  root.work += Seconds(work);
  WindowAt(now_).work += Seconds(work);
  if (root.is_ended && !root.is_success) {
    WindowAt(now_).wasted_work += Seconds(work);
  }
  CallNextChild(attempt);
}

void CallTree::CallNextChild(const AttemptPtr& attempt) {
  const Upstream& upstream = upstreams_[attempt->upstream];
  const std::vector<std::size_t>& calls = options_.services[upstream.service].calls;
  if (attempt->state != State::kRunning) {
    return;
  }
  if (attempt->next_child == calls.size()) {
    EndRun(attempt, Outcome::kSucceeded, false);
    return;
  }
  auto call = std::make_shared<Call>();
  call->root = attempt->call->root;
  call->parent = attempt;
  call->node = upstream.node;
  call->service = calls[attempt->next_child++];
  call->depth = attempt->call->depth + 1;
  attempt->child_started = now_;
  call->done = [this, attempt](bool is_success) {
    attempt->downstream += now_ - attempt->child_started;
    if (is_success) {
      CallNextChild(attempt);
    } else {
      EndRun(attempt, Outcome::kFailed, false);
    }
  };
  SendAttempt(call);
}

void CallTree::EndRun(const AttemptPtr& attempt, Outcome outcome, bool is_own_failure) {
  if (attempt->state != State::kRunning) {
    return;
  }
  attempt->state = State::kEnded;
  --open_attempts_;
  Upstream& upstream = upstreams_[attempt->upstream];
  const ClassSpec& spec = options_.classes[attempt->call->root->request->request_class];
  upstream.attempts.erase(attempt->id);
  upstream.held_ranks.erase(upstream.held_ranks.find(spec.rank));
  --upstream.running;
  if (attempt->is_working) {
    --upstream.working;
    attempt->is_working = false;
    const double spent =
        Seconds(now_ - attempt->started) / static_cast<double>(upstream.working + 1);
    WindowAt(now_).work += spent;
    WindowAt(now_).wasted_work += spent;
  }
  if (options_.controls == Controls::kOff) {
    if (!upstream.fifo.empty()) {
      const AttemptPtr next = upstream.fifo.front();
      upstream.fifo.pop_front();
      Begin(next);
    }
  } else {
    Apply(attempt->upstream,
          upstream.gate->Finish(admission::TicketId{attempt->id}, outcome, now_ - attempt->started,
                                now_, attempt->downstream));
  }
  retry::FailedAttempt failed;
  failed.failure = retry::Failure::kUpstreamError;
  failed.is_next_to_failure = is_own_failure;
  Answer(attempt, outcome == Outcome::kSucceeded, failed);
}

void CallTree::Refuse(const AttemptPtr& attempt, Reason reason, base::Duration retry_after) {
  Upstream& upstream = upstreams_[attempt->upstream];
  const ClassSpec& spec = options_.classes[attempt->call->root->request->request_class];
  Require(attempt->state == State::kQueued, "a ticket ends once");
  attempt->state = State::kEnded;
  attempt->was_refused = true;
  --open_attempts_;
  upstream.attempts.erase(attempt->id);
  upstream.held_ranks.erase(upstream.held_ranks.find(spec.rank));
  const bool is_shed =
      reason == Reason::kLevel || reason == Reason::kQueueFull || reason == Reason::kEvicted;
  if (is_shed && spec.rank == 1) {
    ++important_shed_;
    Require(upstream.held_ranks.empty() || *upstream.held_ranks.rbegin() <= 1,
            "the most important class is not shed while a lower one runs or queues");
  }
  retry::FailedAttempt failed;
  failed.failure = is_shed || reason == Reason::kHopeless ? retry::Failure::kOverload
                                                          : retry::Failure::kTimedOut;
  failed.reach = retry::Reach::kNotReached;
  failed.retry_after = retry_after;
  Answer(attempt, false, failed);
}

void CallTree::Answer(const AttemptPtr& attempt, bool is_success, retry::FailedAttempt failed) {
  const Upstream& upstream = upstreams_[attempt->upstream];
  std::vector<std::string> below;
  for (const std::size_t service : options_.services[upstream.service].calls) {
    below.push_back(options_.services[service].name);
  }
  admission::AdmissionLevel level =
      std::min(upstream.gate->level(), nodes_[upstream.node].levels->WorstAlong(below, now_));
  if (upstream.is_lying) {
    level = base::DrawBelow(random_, 4) == 0 ? admission::AdmissionLevel()
                                             : admission::AdmissionLevel(1, 0);
  }
  const std::uint32_t unspent = attempt->allowance.Close();
  After(kNetworkDelay, [=, this] {
    nodes_[attempt->call->node].levels->Report(options_.services[attempt->call->service].name,
                                               attempt->upstream, level, now_);
    if (!attempt->has_settled) {
      const bool is_possible = (attempt->call->parent ? attempt->call->parent->allowance
                                                      : attempt->call->root->allowance)
                                       .granted() == 0 ||
                               unspent <= attempt->loan.amount;
      Require(is_possible, "no more is returned than was lent");
    }
    attempt->loan.amount = unspent;  // What the answer reports.
    Settle(attempt, is_success, failed, true);
  });
}

void CallTree::Settle(const AttemptPtr& attempt, bool is_success,
                      const retry::FailedAttempt& failed, bool is_answered) {
  if (std::exchange(attempt->has_settled, true)) {
    return;
  }
  const CallPtr& call = attempt->call;
  Node& node = nodes_[call->node];
  --node.outstanding[attempt->upstream];
  if (call->parent && call->parent->state != State::kRunning) {
    return;  // The upstream that made this call has gone on without it.
  }
  retry::RetryAllowance& allowance = call->parent ? call->parent->allowance : call->root->allowance;
  if (is_answered) {
    Require(allowance.SettleAnswered(attempt->loan.id, attempt->loan.amount), "the loan balances");
  } else {
    allowance.SettleLost(attempt->loan.id);
  }
  if (!is_success) {
    RetryOrFail(call, failed);
    return;
  }
  if (call->attempts == 1) {
    node.budgets[call->service].RecordSuccess(now_);
  }
  call->done(true);
}

void CallTree::RetryOrFail(const CallPtr& call, retry::FailedAttempt failed) {
  const Root& root = *call->root;
  Node& node = nodes_[call->node];
  const ClassSpec& spec = options_.classes[root.request->request_class];
  if (options_.controls == Controls::kOff) {
    if (call->attempts < kBaselineAttempts && root.deadline > now_) {
      ++WindowAt(now_).extra_calls;
      SendAttempt(call);
      return;
    }
    call->done(false);
    return;
  }
  failed.is_idempotent = spec.is_idempotent;
  failed.attempt = call->attempts;
  failed.remaining = root.deadline - now_;
  failed.needed = options_.services[call->service].own_time;
  failed.is_service_shedding =
      !node.levels->LevelOf(options_.services[call->service].name, now_).is_open();
  retry::RetryAllowance& allowance = call->parent ? call->parent->allowance : call->root->allowance;
  const retry::RetryDecision decision =
      policy_->Decide(failed, allowance, node.budgets[call->service], now_);
  if (decision.verdict != retry::RetryVerdict::kRetry) {
    call->done(false);
    return;
  }
  Require(++call->root->extra <= spec.allowance, "retries stay within the allowance");
  ++WindowAt(now_).extra_calls;
  After(decision.pause, [this, call] {
    if (!call->parent || call->parent->state == State::kRunning) {
      SendAttempt(call);
    }
  });
}

void CallTree::Tick(std::size_t index) {
  Apply(index, upstreams_[index].gate->Expire(now_));
  Require(upstreams_[index].gate->running() == upstreams_[index].running,
          "the gate counts what runs");
  if (has_arrivals_ || open_attempts_ > 0) {
    After(kTick, [this, index] { Tick(index); });
  }
}

void CallTree::Require(bool condition, const char* what) const {
  if (!condition) {
    throw InvariantFailure(what);
  }
}

}  // namespace borageloft::decisions
