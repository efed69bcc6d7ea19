#include "libraries/request_path/entry.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

#include "libraries/request_path/request_run.h"

namespace borageloft::request_path {

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kServiceUnavailable = 503;

// Retry-After of refusals before routing: by then a node that has just started has a declaration.
constexpr const char* kRetryAfterSeconds = "0.5";
// A reported admission level applies in full for the hold time, then opens linearly over the decay
// time.
constexpr std::chrono::milliseconds kLevelHold{1000};
constexpr std::chrono::milliseconds kLevelDecay{1500};
// Runs required for a mean number of calls per run.
constexpr std::uint64_t kMinRunsForMean = 20;
// An upstream names its calls after the request that it runs: the id of a call is the request's id,
// this separator and a suffix.
constexpr char kIdSeparator = '.';

std::optional<std::chrono::milliseconds> ParseMilliseconds(const std::string& text) {
  std::int64_t value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  constexpr std::int64_t kMaxMilliseconds = 24LL * 3600 * 1000;
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || value < 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(std::min(value, kMaxMilliseconds));
}

unsigned StatusOf(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNoRoute:
      return kNotFound;
    case Refusal::kMalformed:
      return kBadRequest;
    case Refusal::kUnknownKey:
      return kUnauthorized;
    default:
      return kServiceUnavailable;
  }
}

}  // namespace

Entry::Entry(EntryOptions options, const std::string& zone, EntryHooks hooks,
             timer::TimerService& timers, DecisionLog& log)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      timers_(timers),
      log_(log),
      chooser_(zone),
      budget_(options_.budget),
      levels_(kLevelHold, kLevelDecay) {}

Entry::~Entry() {
  while (!runs_.empty()) {
    const std::shared_ptr<RequestRun> run = runs_.begin()->second;
    run->Abandon();
  }
}

void Entry::SetDeclaration(const declaration::Declaration& declaration) {
  VERIFY(declaration.version > version_);
  version_ = declaration.version;
  routes_ = std::make_unique<declaration::RouteTable>(declaration, hooks_.random);
  const std::vector<declaration::ClientAccount>& accounts = AccountsOf(declaration);
  accounts_ = std::make_unique<declaration::AccountTable>(accounts);
  requires_keys_ = declaration.accounts.has_value();
  ranks_ = accounts.empty() ? nullptr : std::make_unique<declaration::PriorityRanks>(declaration);
}

CancelHook Entry::Handle(http_stream::RequestMessage message, base::TimePoint received,
                         AnswerHook answer) {
  ++counters_.requests;
  if (!is_taking_ || routes_ == nullptr) {
    Refuse(message, is_taking_ ? Refusal::kNoDeclaration : Refusal::kNodeLeaving, answer);
    return {};
  }
  const std::string* id = http_stream::FindField(message.fields, options_.names.request_id);
  const std::string* host = http_stream::FindField(message.fields, "host");
  if (id == nullptr || id->empty() || host == nullptr) {
    Refuse(message, Refusal::kMalformed, answer);
    return {};
  }
  declaration::RouteEntry* route = routes_->Find(*host, message.target);
  if (route == nullptr) {
    Refuse(message, Refusal::kNoRoute, answer);
    return {};
  }
  const wire::Placement* parent = FindParent(*id);
  const declaration::ClientAccount* account = nullptr;
  if (parent == nullptr) {
    const Refusal refusal = FindAccount(message, *id, route->route().is_public, account);
    if (refusal != Refusal::kNone) {
      Refuse(message, refusal, answer);
      return {};
    }
  }
  base::Duration limit = options_.default_deadline;
  if (route->route().timeout > base::Duration::zero()) {
    limit = route->route().timeout;
  }
  RunPlan plan;
  plan.deadline = received + options_.default_deadline;
  if (const std::string* text = http_stream::FindField(message.fields, options_.names.timeout_ms)) {
    const auto stated = ParseMilliseconds(*text);
    if (!stated) {
      Refuse(message, Refusal::kMalformed, answer);
      return {};
    }
    plan.deadline = received + *stated;
  }
  if (held_bytes_ + message.body.size() + http_stream::SizeOf(message.fields) >
      options_.held_bytes) {
    Refuse(message, Refusal::kTooManyBytes, answer);
    return {};
  }
  plan.id = next_run_++;
  plan.request_id = *id;
  plan.service = route->NextService();
  plan.route = route->route();
  plan.received = received;
  plan.due = std::min(plan.deadline, received + limit);
  plan.priority = plan.route.priority;
  plan.shed_key = base::Hash(plan.request_id);
  if (ranks_ != nullptr) {
    plan.priority =
        ranks_->RankOf(account == nullptr ? std::nullopt : account->priority, plan.route.priority);
  }
  if (account != nullptr) {
    plan.account = account->name;
    plan.shed_key = FairKeyOf(plan.account, plan.shed_key, received);
  }
  if (parent != nullptr) {
    plan.account = parent->account;
    plan.origin = wire::RequestOrigin::kUpstream;
    plan.priority = parent->priority;
    plan.shed_key = parent->shed_key;
    plan.is_below_retry = parent->attempt > 1;
    RecordCall(plan.service, *parent);
  }
  if (!plan.is_below_retry) {
    budget_.RecordRequest(plan.service, received);
  }
  http_stream::RemoveConnectionFields(message.fields);
  http_stream::RemoveField(message.fields, options_.names.timeout_ms);
  http_stream::RemoveField(message.fields, options_.names.expected_instance);
  http_stream::SetField(message.fields, options_.names.caller_service, options_.service);
  http_stream::RemoveField(message.fields, options_.names.account_key);
  http_stream::RemoveField(message.fields, options_.names.account);
  if (account != nullptr) {
    message.fields.push_back({options_.names.account, account->name});
  }
  plan.message = std::move(message);
  const std::uint64_t run_id = plan.id;
  const auto run = std::make_shared<RequestRun>(*this, std::move(plan), std::move(answer));
  held_bytes_ += run->held_bytes();
  runs_.emplace(run_id, run);
  run->Start();
  return [weak = std::weak_ptr<RequestRun>(run)] {
    if (const auto target = weak.lock()) {
      target->Abandon();
    }
  };
}

const wire::Placement* Entry::FindParent(const std::string& request_id) const {
  const std::size_t end = request_id.rfind(kIdSeparator);
  return end == std::string::npos ? nullptr : hooks_.find_running(request_id.substr(0, end));
}

Refusal Entry::FindAccount(const http_stream::RequestMessage& message,
                           const std::string& request_id, bool is_public,
                           const declaration::ClientAccount*& account) const {
  const std::string* key = http_stream::FindField(message.fields, options_.names.account_key);
  account = key == nullptr ? nullptr : accounts_->FindByKey(*key);
  // A key that is stated is checked in any case: it may have been withdrawn with the last account.
  const bool states_no_key = key == nullptr || key->empty();
  if (is_public || (states_no_key && !requires_keys_)) {
    return Refusal::kNone;
  }
  // Calls carry no key. Without the request that made it, a call has no account either.
  const bool is_call = request_id.find(kIdSeparator) != std::string::npos;
  if (key == nullptr && is_call) {
    return Refusal::kOrphanedCall;
  }
  // A key may have been withdrawn, and an unknown one added, since the node last heard.
  if (hooks_.are_keys_fresh && !hooks_.are_keys_fresh()) {
    return Refusal::kKeysOutdated;
  }
  return account == nullptr ? Refusal::kUnknownKey : Refusal::kNone;
}

std::uint64_t Entry::FairKeyOf(const std::string& account, std::uint64_t root_hash,
                               base::TimePoint now) {
  fair_share_.RecordArrival(account, now);
  const double demand = hooks_.account_demand ? hooks_.account_demand(account) : 0;
  if (demand > 0) {
    fair_share_.ReportDemand(account, demand, now);
  }
  return fair_share_.KeyOf(account, root_hash, now);
}

void Entry::ReportFailedCall(const std::string& request_id) const {
  const std::size_t end = request_id.rfind(kIdSeparator);
  if (end != std::string::npos && hooks_.on_call_failed) {
    hooks_.on_call_failed(request_id.substr(0, end));
  }
}

void Entry::RecordCall(const std::string& service, const wire::Placement& parent) {
  auto found = std::find(called_services_.begin(), called_services_.end(), service);
  if (found == called_services_.end()) {
    found = called_services_.insert(found, service);
    calls_below_calls_.push_back(0);
  }
  if (parent.origin == wire::RequestOrigin::kUpstream) {
    ++calls_below_calls_[static_cast<std::size_t>(found - called_services_.begin())];
  }
}

std::uint32_t Entry::RemoteCalls(std::uint64_t runs) const {
  if (runs < kMinRunsForMean) {
    return 0;
  }
  double remote = 0;
  for (std::size_t i = 0; i < called_services_.size(); ++i) {
    if (!chooser_.HasInstanceInZone(called_services_[i])) {
      remote += static_cast<double>(calls_below_calls_[i]) / static_cast<double>(runs);
    }
  }
  return static_cast<std::uint32_t>(std::lround(remote));
}

admission::AdmissionLevel Entry::DownstreamLevel() const {
  return levels_.WorstAlong(called_services_, hooks_.clock());
}

void Entry::EndRun(std::uint64_t id) {
  const auto run = runs_.find(id);
  VERIFY(run != runs_.end());
  held_bytes_ -= run->second->held_bytes();
  runs_.erase(run);
}

void Entry::Refuse(const http_stream::RequestMessage& message, Refusal refusal,
                   const AnswerHook& answer) {
  const std::string reason(TextOf(refusal));
  ++counters_.refused[reason];
  const std::string* id = http_stream::FindField(message.fields, options_.names.request_id);
  const std::string* host = http_stream::FindField(message.fields, "host");
  log_.Write(LogSampling::kAlways, "request_refused",
             {{"request", id == nullptr ? "" : *id},
              {"host", host == nullptr ? "" : *host},
              {"target", message.target},
              {"version", static_cast<Json::UInt64>(version_)},
              {"outcome", reason},
              {"status", StatusOf(refusal)}});
  http_stream::ResponseMessage response;
  response.status = StatusOf(refusal);
  if (id != nullptr) {
    response.fields.push_back({options_.names.request_id, *id});
  }
  if (response.status == kServiceUnavailable) {
    response.fields.push_back({"Retry-After", kRetryAfterSeconds});
  }
  response.body = reason;
  answer(std::move(response));
}

}  // namespace borageloft::request_path
