#include "libraries/node/upstream_gate.h"

#include <algorithm>
#include <utility>

namespace borageloft::node {

namespace {

using admission::TicketId;
using membership::AnnounceRefusal;
using membership::UpstreamData;
using membership::UpstreamState;

constexpr int kServerError = 500;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

admission::Outcome OutcomeOf(int status) {
  if (status == kServiceUnavailable || status == kTooManyRequests) {
    return admission::Outcome::kOverloaded;
  }
  return status >= kServerError ? admission::Outcome::kFailed : admission::Outcome::kSucceeded;
}

bool IsConnectionHeader(std::string_view name) {
  for (const char* other : {"connection", "keep-alive", "transfer-encoding", "content-length",
                            "upgrade", "te", "trailer", "proxy-authorization", "host"}) {
    if (http::IsSameHeader(name, other)) {
      return true;
    }
  }
  return false;
}

bool IsOwnHeader(std::string_view name) {
  for (const char* other : {http::kContextHeader, http::kTimeoutHeader, http::kTraceHeader,
                            http::kServiceHeader, http::kOutcomeHeader}) {
    if (http::IsSameHeader(name, other)) {
      return true;
    }
  }
  return false;
}

membership::NoteInstruction InstructionFor(const notes::Policy& policy, const std::string& address,
                                           bool is_drained) {
  if (is_drained) {
    return membership::NoteInstruction::kLeaving;
  }
  const auto found = policy.upstreams().find(address);
  if (found == policy.upstreams().end()) {
    return membership::NoteInstruction::kUnnamed;
  }
  switch (found->second) {
    case notes::UpstreamState::kJoining:
      return membership::NoteInstruction::kJoining;
    case notes::UpstreamState::kServing:
      return membership::NoteInstruction::kServing;
    case notes::UpstreamState::kLeaving:
      return membership::NoteInstruction::kLeaving;
  }
  return membership::NoteInstruction::kUnnamed;
}

}  // namespace

UpstreamGate::UpstreamGate(const NodeServices& services, RunningRequests& running, GateHooks hooks)
    : services_(services),
      running_(running),
      hooks_(std::move(hooks)),
      upstream_({}, [this](const std::optional<UpstreamData>& data,
                           base::TimePoint) { pending_changes_.push_back(data); }),
      workers_(1) {}

UpstreamGate::~UpstreamGate() { workers_.Stop(); }

GateCallId UpstreamGate::Submit(wire::Request request, base::TimePoint deadline, Respond respond) {
  const base::TimePoint now = services_.clock();
  const auto policy = services_.policies.current();
  auto call = std::make_shared<Call>();
  call->is_once =
      policy->FindService(request.service).idempotency == notes::Idempotency::kNonIdempotent;
  call->request = std::move(request);
  call->deadline = deadline;
  call->arrived = now;
  call->arrived_wall = services_.wall_clock();
  call->respond = std::move(respond);
  FollowUp follow_up;
  {
    const std::scoped_lock lock(mutex_);
    call->id = GateCallId{next_call_++};
    calls_.emplace(call->id, call);
    OfferLocked(call, *policy, now, follow_up);
  }
  Carry(std::move(follow_up));
  return call->id;
}

void UpstreamGate::OfferLocked(const CallPointer& call, const notes::Policy& policy,
                               base::TimePoint now, FollowUp& follow_up) {
  // Without a note it is not known whether the request may run twice.
  if (policy.number() == 0) {
    RefuseLocked(call, "no_note", {}, follow_up);
    return;
  }
  const auto data = upstream_.data();
  if (!data || data->service != call->request.service) {
    RefuseLocked(call, "no_upstream", {}, follow_up);
    return;
  }
  if (!upstream_.is_accepting()) {
    RefuseLocked(call, "leaving", {}, follow_up);
    return;
  }
  if (!services_.settings.has_controls) {
    StartLocked(call, follow_up);
    return;
  }
  const notes::ClassPolicy& request_class = policy.FindClass(call->request.context.class_name);
  admission::Ticket ticket;
  ticket.id = TicketId{static_cast<std::uint64_t>(call->id)};
  ticket.request_class = {request_class.name,
                          static_cast<admission::ClassRank>(request_class.importance)};
  ticket.key = admission::ShedKey::FromRoot(call->request.context.root);
  ticket.deadline = call->deadline;
  // The age of the root counts, not the clock of the host that it began on.
  ticket.begun =
      now - std::max(base::Duration::zero(), call->arrived_wall - call->request.context.begun);
  ticket.depth = call->request.context.depth;
  const admission::Decision decision = gate_->Offer(ticket, now);
  ApplyChangesLocked(decision.changes, follow_up);
  if (decision.verdict == admission::Verdict::kRun) {
    StartLocked(call, follow_up);
  } else if (decision.verdict == admission::Verdict::kRefused) {
    RefuseLocked(call, NameOf(decision.reason), decision.retry_after, follow_up);
  }
}

void UpstreamGate::ApplyChangesLocked(const admission::GateChanges& changes, FollowUp& follow_up) {
  for (const admission::Ticket& ticket : changes.run) {
    StartLocked(calls_.at(GateCallId{static_cast<std::uint64_t>(ticket.id)}), follow_up);
  }
  for (const admission::DroppedTicket& dropped : changes.dropped) {
    // A copy: refusing a call removes it from the table.
    const CallPointer call = calls_.at(GateCallId{static_cast<std::uint64_t>(dropped.ticket.id)});
    RefuseLocked(call, NameOf(dropped.reason), dropped.retry_after, follow_up);
  }
}

void UpstreamGate::StartLocked(const CallPointer& call, FollowUp& follow_up) {
  VERIFY(!call->is_running);
  call->is_running = true;
  upstream_.BeginWork();
  follow_up.run.push_back(call);
}

void UpstreamGate::RefuseLocked(CallPointer call, const char* reason, base::Duration retry_after,
                                FollowUp& follow_up) {
  // Only a request that never started may be called not run.
  VERIFY(!call->is_running);
  calls_.erase(call->id);
  wire::Response response;
  response.outcome = wire::Outcome::kNotRun;
  response.reason = reason;
  response.retry_after = retry_after;
  response.load = LoadLocked();
  response.unspent_allowance = call->request.context.allowance;
  services_.metrics.CountShed(call->request.context.class_name, reason);
  follow_up.answers.emplace_back(std::move(call), std::move(response));
}

void UpstreamGate::Carry(FollowUp&& follow_up) {
  for (const CallPointer& call : follow_up.run) {
    workers_.Post([this, call] { Run(call); });
  }
  for (auto& [call, response] : follow_up.answers) {
    call->respond(std::move(response));
  }
  DeliverChanges();
}

// One thread at a time delivers, so that an older state never arrives after a newer one.
void UpstreamGate::DeliverChanges() {
  while (true) {
    std::vector<std::optional<UpstreamData>> changes;
    {
      const std::scoped_lock lock(mutex_);
      if (is_delivering_ || pending_changes_.empty()) {
        return;
      }
      is_delivering_ = true;
      changes = std::exchange(pending_changes_, {});
    }
    for (const auto& upstream : changes) {
      hooks_.upstream_changed(upstream);
    }
    const std::scoped_lock lock(mutex_);
    is_delivering_ = false;
  }
}

void UpstreamGate::Run(const CallPointer& call) {
  services_.metrics.CountAdmitted(call->request.context.class_name,
                                  services_.clock() - call->arrived);
  base::Duration service_time{};
  base::Duration downstream_time{};
  admission::Outcome outcome = admission::Outcome::kCancelled;
  wire::Response response;
  std::optional<wire::Response> other;
  if (call->is_once) {
    other = hooks_.once.acquire(call->request, call->deadline);
  }
  if (other) {
    response = std::move(*other);
    response.unspent_allowance = call->request.context.allowance;
  } else {
    response = Execute(*call, service_time, downstream_time, outcome);
    if (call->is_once) {
      const std::uint32_t unspent_allowance = response.unspent_allowance;
      response = hooks_.once.finish(call->request, std::move(response), call->deadline);
      response.unspent_allowance = unspent_allowance;
    }
  }
  Finish(call, std::move(response), outcome, service_time, downstream_time);
}

wire::Response UpstreamGate::Execute(Call& call, base::Duration& service_time,
                                     base::Duration& downstream_time, admission::Outcome& outcome) {
  const wire::RequestContext& context = call.request.context;
  const auto parent = tracing::ParseTraceparent(context.traceparent);
  const tracing::TraceContext span = parent ? tracing::StartChild(*parent, services_.random)
                                            : tracing::StartTrace(services_.random, 0.0);
  RecordSpan(call, tracing::SpanKind::kQueue, tracing::StartChild(span, services_.random),
             call.arrived_wall, tracing::SpanStatus::kOk);
  std::shared_ptr<http::UpstreamClient> client;
  {
    const std::scoped_lock lock(mutex_);
    client = client_;
  }
  const auto running = running_.Begin(context.root, context.depth, context.allowance);
  const base::TimePoint started = services_.clock();
  const base::WallTime started_wall = services_.wall_clock();
  const base::Duration remaining =
      std::max<base::Duration>(call.deadline - started, std::chrono::milliseconds(1));
  http::UpstreamResult result = client->Execute(MakeUpstreamRequest(call, span, context.allowance),
                                                remaining, call.cancellation);
  service_time = services_.clock() - started;
  downstream_time = std::min(service_time, running_.DownstreamTime(*running));
  wire::Response response;
  response.unspent_allowance = running_.End(context.root, context.depth, running);
  if (auto* answer = std::get_if<http::HttpResponse>(&result)) {
    outcome = OutcomeOf(answer->status);
    response.outcome = wire::Outcome::kRan;
    response.status = static_cast<std::uint32_t>(answer->status);
    if (answer->status >= kServerError && running_.HasFailedCall(*running)) {
      // The hop next to the failure has retried already as far as it may.
      response.reason = "failed_below";
    }
    response.body = std::move(answer->body);
    for (wire::Header& header : answer->headers) {
      if (!IsConnectionHeader(header.name) && !IsOwnHeader(header.name)) {
        response.headers.push_back(std::move(header));
      }
    }
  } else if (std::get<http::UpstreamFailure>(result) == http::UpstreamFailure::kNotSent) {
    outcome = admission::Outcome::kFailed;
    response.outcome = wire::Outcome::kNotRun;
    response.reason = "upstream_unreachable";
  } else {
    const bool is_late = services_.clock() >= call.deadline;
    outcome = is_late ? admission::Outcome::kTimedOut : admission::Outcome::kFailed;
    response.outcome = wire::Outcome::kUnknown;
    response.reason = is_late ? "upstream_timeout" : "upstream_failed";
  }
  RecordSpan(call, tracing::SpanKind::kUpstream, span, started_wall,
             outcome == admission::Outcome::kSucceeded ? tracing::SpanStatus::kOk
                                                       : tracing::SpanStatus::kError);
  return response;
}

http::HttpRequest UpstreamGate::MakeUpstreamRequest(const Call& call,
                                                    const tracing::TraceContext& span,
                                                    std::uint32_t allowance) const {
  const wire::Request& request = call.request;
  const base::Duration remaining =
      std::max(base::Duration::zero(), call.deadline - services_.clock());
  http::HttpRequest outgoing;
  outgoing.method = request.method;
  outgoing.target = request.path;
  outgoing.body = request.body;
  for (const wire::Header& header : request.headers) {
    if (!IsConnectionHeader(header.name) && !IsOwnHeader(header.name)) {
      outgoing.headers.push_back(header);
    }
  }
  http::ForwardedContext forwarded{request.context, services_.wall_clock() + remaining};
  forwarded.context.allowance = allowance;
  const auto milliseconds = std::chrono::floor<std::chrono::milliseconds>(remaining).count();
  outgoing.headers.push_back({http::kContextHeader, http::FormatContext(forwarded)});
  outgoing.headers.push_back({http::kTimeoutHeader, std::to_string(milliseconds)});
  outgoing.headers.push_back({http::kTraceHeader, tracing::FormatTraceparent(span)});
  return outgoing;
}

void UpstreamGate::Finish(const CallPointer& call, wire::Response response,
                          admission::Outcome outcome, base::Duration service_time,
                          base::Duration downstream_time) {
  const base::TimePoint now = services_.clock();
  FollowUp follow_up;
  {
    const std::scoped_lock lock(mutex_);
    calls_.erase(call->id);
    if (services_.settings.has_controls) {
      const bool is_cancelled = call->cancellation.is_cancelled() && now < call->deadline;
      ApplyChangesLocked(gate_->Finish(TicketId{static_cast<std::uint64_t>(call->id)},
                                       is_cancelled ? admission::Outcome::kCancelled : outcome,
                                       service_time, now, downstream_time),
                         follow_up);
    }
    upstream_.EndWork(now);
    response.load = LoadLocked();
  }
  follow_up.answers.emplace_back(call, std::move(response));
  Carry(std::move(follow_up));
}

void UpstreamGate::Cancel(GateCallId id) {
  const base::TimePoint now = services_.clock();
  FollowUp follow_up;
  CallPointer to_cancel;
  {
    const std::scoped_lock lock(mutex_);
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
      return;
    }
    if (!found->second->is_running) {
      ApplyChangesLocked(gate_->Cancel(TicketId{static_cast<std::uint64_t>(id)}, now), follow_up);
    } else if (!found->second->is_once) {
      // A non-idempotent request that runs is left to end, so that its outcome can be recorded and
      // a resend gets the first answer.
      to_cancel = found->second;
    }
  }
  Carry(std::move(follow_up));
  if (to_cancel != nullptr) {
    to_cancel->cancellation.Cancel();
  }
}

AnnounceRefusal UpstreamGate::Announce(const membership::Announcement& announcement) {
  const base::TimePoint now = services_.clock();
  const auto policy = services_.policies.current();
  const auto endpoint = settings::ParseEndpoint(announcement.address);
  if (!endpoint) {
    return AnnounceRefusal::kAddressInvalid;
  }
  AnnounceRefusal refusal = AnnounceRefusal::kNone;
  FollowUp follow_up;
  {
    const std::scoped_lock lock(mutex_);
    upstream_.ApplyNote(InstructionFor(*policy, announcement.address, is_drained_), now);
    // The note may make the upstream leave: what is queued must not start any more.
    BeginLeavingLocked(now, follow_up);
    const std::optional<UpstreamData> before = upstream_.data();
    refusal = upstream_.Announce(announcement, now);
    if (refusal == AnnounceRefusal::kNone) {
      if (!before) {
        gate_.reset();
        client_ = std::make_shared<http::UpstreamClient>(
            *endpoint, announcement.connections,
            static_cast<std::size_t>(services_.settings.limits.body_bytes));
      }
      if (!before || before->slots != announcement.slots) {
        ConfigureGateLocked(*policy);
      }
      upstream_.ConfirmReachable(now);
    }
  }
  Carry(std::move(follow_up));
  // A note that came into force meanwhile was applied before there was anything to apply it to.
  if (const auto current = services_.policies.current(); current != policy) {
    ApplyPolicy(*current);
  }
  return refusal;
}

void UpstreamGate::ConfigureGateLocked(const notes::Policy& policy) {
  const auto data = upstream_.data();
  VERIFY(data.has_value());
  admission::GateLimits limits;
  limits.slots = data->slots;
  if (policy.limits().concurrency > 0) {
    limits.slots = std::min(limits.slots, static_cast<std::size_t>(policy.limits().concurrency));
  }
  std::vector<admission::ClassLimits> classes;
  for (const auto& [name, request_class] : policy.classes()) {
    classes.push_back({name, static_cast<admission::ClassRank>(request_class.importance),
                       request_class.reserved,
                       static_cast<std::size_t>(policy.limits().queue_length)});
  }
  const notes::ClassPolicy& lowest = policy.FindClass("");
  classes.push_back({lowest.name, static_cast<admission::ClassRank>(lowest.importance), 0.0,
                     static_cast<std::size_t>(policy.limits().queue_length)});
  if (gate_) {
    gate_->Reconfigure(limits, classes);
  } else {
    gate_.emplace(limits, classes);
  }
  // Without controls, work beyond the slots reaches the upstream up to its connections.
  const std::size_t workers = services_.settings.has_controls ? data->slots : data->connections;
  workers_.AllowThreads(services_.settings.limits.workers > 0
                            ? static_cast<std::size_t>(services_.settings.limits.workers)
                            : workers);
}

bool UpstreamGate::Leave() {
  const base::TimePoint now = services_.clock();
  FollowUp follow_up;
  bool had_upstream = false;
  {
    const std::scoped_lock lock(mutex_);
    had_upstream = upstream_.Leave(now);
    BeginLeavingLocked(now, follow_up);
  }
  Carry(std::move(follow_up));
  return had_upstream;
}

bool UpstreamGate::Drain() {
  {
    const std::scoped_lock lock(mutex_);
    is_drained_ = true;
  }
  return Leave();
}

void UpstreamGate::EndDrain() {
  const std::scoped_lock lock(mutex_);
  is_drained_ = false;
  // The next announcement states what the note says of its address.
  upstream_.ApplyNote(membership::NoteInstruction::kUnnamed, services_.clock());
}

void UpstreamGate::BeginNodeStop() {
  const base::TimePoint now = services_.clock();
  FollowUp follow_up;
  {
    const std::scoped_lock lock(mutex_);
    upstream_.BeginNodeStop(now);
    BeginLeavingLocked(now, follow_up);
  }
  Carry(std::move(follow_up));
}

void UpstreamGate::Stop() {
  BeginNodeStop();
  std::vector<CallPointer> running;
  {
    const std::scoped_lock lock(mutex_);
    for (const auto& [id, call] : calls_) {
      running.push_back(call);
    }
  }
  for (const CallPointer& call : running) {
    call->cancellation.Cancel();
  }
  workers_.Stop();
}

void UpstreamGate::BeginLeavingLocked(base::TimePoint now, FollowUp& follow_up) {
  const bool is_leaving =
      upstream_.state() == UpstreamState::kLeaving || upstream_.state() == UpstreamState::kGone;
  if (is_leaving && gate_ && !gate_->is_leaving()) {
    ApplyChangesLocked(gate_->BeginLeaving(now), follow_up);
  }
}

void UpstreamGate::ApplyPolicy(const notes::Policy& policy) {
  const base::TimePoint now = services_.clock();
  FollowUp follow_up;
  {
    const std::scoped_lock lock(mutex_);
    // Two notes in a row may be applied by two threads.
    if (policy.number() < applied_note_) {
      return;
    }
    applied_note_ = policy.number();
    if (const auto data = upstream_.data()) {
      upstream_.ApplyNote(InstructionFor(policy, data->address, is_drained_), now);
      BeginLeavingLocked(now, follow_up);
      if (upstream_.data()) {
        ConfigureGateLocked(policy);
      }
    }
  }
  Carry(std::move(follow_up));
}

void UpstreamGate::Tick() {
  const base::TimePoint now = services_.clock();
  FollowUp follow_up;
  std::vector<CallPointer> late;
  const auto policy = services_.policies.current();
  const admission::AdmissionLevel below = hooks_.level_below();
  {
    const std::scoped_lock lock(mutex_);
    level_below_ = below;
    upstream_.Tick(now);
    BeginLeavingLocked(now, follow_up);
    if (gate_) {
      ApplyChangesLocked(gate_->Expire(now), follow_up);
    }
    for (const auto& [id, call] : calls_) {
      const base::Duration grace = call->is_once
                                       ? policy->FindService(call->request.service).timeout
                                       : base::Duration::zero();
      if (call->is_running && now >= call->deadline + grace) {
        late.push_back(call);
      }
    }
  }
  Carry(std::move(follow_up));
  for (const CallPointer& call : late) {
    call->cancellation.Cancel();
  }
}

bool UpstreamGate::is_idle() const {
  const std::scoped_lock lock(mutex_);
  return calls_.empty();
}

GateStatus UpstreamGate::status() const {
  const std::scoped_lock lock(mutex_);
  return {upstream_.data(), gate_ ? gate_->Snapshot() : admission::GateSnapshot{}, calls_.size()};
}

wire::LoadReport UpstreamGate::LoadLocked() const {
  wire::LoadReport load;
  if (!gate_) {
    const admission::AdmissionLevel open;
    load.level_rank = open.rank();
    load.level_share = open.share();
    return load;
  }
  const admission::AdmissionLevel level = std::min(gate_->level(), level_below_);
  load.in_flight = static_cast<std::uint32_t>(calls_.size());
  load.limit = static_cast<std::uint32_t>(gate_->limit());
  load.service_time = gate_->service_time();
  load.level_rank = level.rank();
  load.level_share = level.share();
  load.is_leaving = !upstream_.is_accepting();
  return load;
}

void UpstreamGate::RecordSpan(const Call& call, tracing::SpanKind kind,
                              const tracing::TraceContext& context, base::WallTime start,
                              tracing::SpanStatus status) const {
  const auto parent = tracing::ParseTraceparent(call.request.context.traceparent);
  tracing::Span span{
      context, parent ? parent->span_id : "",      kind, start, services_.wall_clock(),
      status,  {{"service", call.request.service}}};
  services_.spans.Export(std::move(span));
}

}  // namespace borageloft::node
