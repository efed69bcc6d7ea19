#include "libraries/node/operator_api.h"

#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

namespace borageloft::node {

namespace {

constexpr base::Duration kSubmitTimeout = std::chrono::seconds(5);
constexpr std::size_t kHistoryLength = 1000;
// Unreachable nodes that a zone's row names; the count tells of the others.
constexpr std::size_t kShownNames = 8;

std::string RequireText(const Json::Value& parameters, const char* name) {
  if (!parameters[name].isString()) {
    throw base::Error(fmt::format("parameter {} must be a string", name));
  }
  return parameters[name].asString();
}

const char* NameOf(membership::UpstreamState state) {
  switch (state) {
    case membership::UpstreamState::kAbsent:
      return "absent";
    case membership::UpstreamState::kJoining:
      return "joining";
    case membership::UpstreamState::kServing:
      return "serving";
    case membership::UpstreamState::kLeaving:
      return "leaving";
    case membership::UpstreamState::kGone:
      return "gone";
  }
  return "";
}

const char* NameOf(membership::EntryState state) {
  switch (state) {
    case membership::EntryState::kAlive:
      return "alive";
    case membership::EntryState::kSuspect:
      return "suspect";
    case membership::EntryState::kUnreachable:
      return "unreachable";
    case membership::EntryState::kLeaving:
      return "leaving";
    case membership::EntryState::kRemoved:
      return "removed";
  }
  return "";
}

const char* NameOf(const replication::HostStatus& host) {
  switch (host.state) {
    case replication::HostState::kCreated:
      return "starting";
    case replication::HostState::kFailed:
      return "storage failed";
    case replication::HostState::kStopped:
      return "stopped";
    case replication::HostState::kRunning:
      break;
  }
  switch (host.soft_state.role) {
    case consensus::Role::kLeader:
      return "leader";
    case consensus::Role::kFollower:
      return "follower";
    case consensus::Role::kPreCandidate:
    case consensus::Role::kCandidate:
      return "candidate";
  }
  return "";
}

Json::Int64 ToMilliseconds(base::Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

// Throws the reason unless the note is in the log.
void CheckAccepted(const note_log::NoteOutcome& outcome, const std::string& file) {
  using Kind = note_log::NoteOutcomeKind;
  switch (outcome.kind) {
    case Kind::kAccepted:
    case Kind::kAlreadyAccepted:
      return;
    case Kind::kConflict:
      throw base::Error(fmt::format("{}: number {} is taken by the note of {} with digest {}", file,
                                    outcome.number, outcome.winner_author, outcome.winner_digest));
    case Kind::kGap:
      throw base::Error(fmt::format("{}: number {} is too high; the next number is {}", file,
                                    outcome.number, outcome.expected));
    case Kind::kForgotten:
      throw base::Error(fmt::format("{}: number {} is too old to compare; the next number is {}",
                                    file, outcome.number, outcome.expected));
    case Kind::kInvalid:
    case Kind::kMalformed:
      throw base::Error(fmt::format("{}", fmt::join(outcome.errors, "\n")));
  }
}

Json::Value DescribeUpstream(const ListedUpstream& listed) {
  const membership::NodeRecord& record = listed.entry.record;
  Json::Value row;
  row["service"] = record.upstream->service;
  row["address"] = record.upstream->address;
  row["node"] = record.node;
  row["zone"] = record.zone;
  row["slots"] = record.upstream->slots;
  row["state"] = NameOf(record.upstream->state);
  row["lease"] = NameOf(listed.entry.state);
  row["age_ms"] = ToMilliseconds(listed.lease_age);
  return row;
}

Json::Value DescribeZone(const ZoneInForce& zone) {
  Json::Value row;
  row["zone"] = zone.zone;
  row["nodes"] = Json::UInt64(zone.nodes);
  row["lowest_number"] = Json::UInt64(zone.lowest_number);
  std::string unreachable = std::to_string(zone.unreachable);
  if (!zone.missing.empty()) {
    const std::size_t shown = std::min(zone.missing.size(), kShownNames);
    unreachable +=
        fmt::format(" ({}{})",
                    fmt::join(zone.missing.begin(),
                              zone.missing.begin() + static_cast<std::ptrdiff_t>(shown), ", "),
                    zone.unreachable > shown ? ", ..." : "");
  }
  row["unreachable"] = unreachable;
  if (zone.age != base::Duration::max()) {
    row["age_ms"] = ToMilliseconds(zone.age);
  }
  return row;
}

void DescribeTree(const DisseminationStatus& tree, Json::Value& status) {
  status["parent"] = tree.parent;
  status["root_age_ms"] = ToMilliseconds(tree.root_age);
  status["is_cut_off"] = tree.is_cut_off;
  status["zones"] = Json::Value(Json::arrayValue);
  for (const ZoneInForce& zone : tree.zones) {
    status["zones"].append(DescribeZone(zone));
  }
}

}  // namespace

OperatorApi::OperatorApi(const NodeServices& services, const Parts& parts)
    : services_(services),
      notes_(parts.notes),
      note_client_(parts.note_client),
      note_control_(parts.note_control),
      dissemination_(parts.dissemination),
      members_(parts.members),
      gate_(parts.gate) {}

std::map<std::string, control_rpc::RpcMethod> OperatorApi::Methods() {
  return {
      {"note_check", [this](const Json::Value& parameters) { return CheckNote(parameters); }},
      {"note_submit", [this](const Json::Value& parameters) { return SubmitNote(parameters); }},
      {"note_show", [this](const Json::Value& parameters) { return ShowNote(parameters); }},
      {"note_history", [this](const Json::Value&) { return History(); }},
      {"status", [this](const Json::Value&) { return Status(); }},
      {"upstreams", [this](const Json::Value& parameters) { return Upstreams(parameters); }},
      {"drain", [this](const Json::Value&) { return Drain(); }},
      {"drain_end", [this](const Json::Value&) { return EndDrain(); }},
  };
}

Json::Value OperatorApi::CheckNote(const Json::Value& parameters) const {
  notes::ApplyNote(*services_.policies.current(), RequireText(parameters, "text"),
                   RequireText(parameters, "file"));
  return Json::Value(Json::objectValue);
}

Json::Value OperatorApi::SubmitNote(const Json::Value& parameters) {
  const std::string text = RequireText(parameters, "text");
  const std::string file = RequireText(parameters, "file");
  const auto note = notes::ReleaseNote::Parse(text, file);
  const CommandOutcome outcome = note_client_.SendAndWait(
      note_log::EncodeNote({note.number(), note.author(), note.digest(), text}),
      services_.clock() + kSubmitTimeout);
  if (outcome.result == ForwardResult::kNoEffect) {
    throw base::Error("no quorum of control hosts; the note was not accepted");
  }
  if (outcome.result == ForwardResult::kUnknown) {
    throw base::Error("the outcome is unknown; submit the same note again");
  }
  const note_log::NoteOutcome verdict = note_log::DecodeOutcome(outcome.value);
  CheckAccepted(verdict, file);
  Json::Value result;
  result["number"] = static_cast<Json::UInt64>(note.number());
  result["digest"] = note.digest();
  result["result"] =
      verdict.kind == note_log::NoteOutcomeKind::kAccepted ? "accepted" : "already accepted";
  return result;
}

Json::Value OperatorApi::ShowNote(const Json::Value& parameters) const {
  const std::uint64_t number = parameters["number"].asUInt64();
  const auto note = notes_.Find(number == 0 ? notes_.number() : number);
  if (!note) {
    throw base::Error(fmt::format("note {} is not kept here", number));
  }
  Json::Value result;
  result["number"] = static_cast<Json::UInt64>(note->number);
  result["author"] = note->author;
  result["digest"] = note->digest;
  result["text"] = note->text;
  return result;
}

Json::Value OperatorApi::History() const {
  if (note_control_ == nullptr) {
    throw base::Error("this node is no control host; ask one of them");
  }
  const std::uint64_t latest = notes_.number();
  const std::uint64_t first = latest < kHistoryLength ? 1 : latest - kHistoryLength + 1;
  Json::Value result;
  result["notes"] = Json::Value(Json::arrayValue);
  for (const note_log::NoteRecord& record : note_control_->History(first, kHistoryLength)) {
    Json::Value row;
    row["number"] = static_cast<Json::UInt64>(record.number);
    row["author"] = record.author;
    row["digest"] = record.digest;
    result["notes"].append(row);
  }
  return result;
}

Json::Value OperatorApi::Status() const {
  const GateStatus gate = gate_.status();
  Json::Value status;
  status["node"] = services_.settings.node;
  status["region"] = services_.settings.region;
  status["zone"] = services_.settings.zone;
  status["note_number"] = static_cast<Json::UInt64>(services_.policies.current()->number());
  status["view_age_ms"] = ToMilliseconds(members_.view_age());
  status["upstream_state"] = gate.upstream ? NameOf(gate.upstream->state) : "absent";
  status["slots"] = static_cast<Json::UInt64>(gate.admission.slots);
  status["limit"] = static_cast<Json::UInt64>(gate.admission.limit);
  status["in_flight"] = static_cast<Json::UInt64>(gate.admission.running);
  status["queued"] = static_cast<Json::UInt64>(gate.admission.waiting);
  status["level"] =
      gate.admission.level.is_open()
          ? "open"
          : fmt::format("{}/{}", gate.admission.level.rank(), gate.admission.level.share());
  DescribeTree(dissemination_.status(), status);
  AddControlStatus(status);
  return status;
}

void OperatorApi::AddControlStatus(Json::Value& status) const {
  if (note_control_ == nullptr) {
    return;
  }
  const ControlGroupStatus control = note_control_->status();
  status["control_role"] = NameOf(control.host);
  status["control_leader"] = control.leader;
  status["control_members"] = fmt::format("{}", fmt::join(control.members, " "));
  status["control_term"] = static_cast<Json::UInt64>(control.host.soft_state.term);
  status["control_applied"] = static_cast<Json::UInt64>(control.host.applied);
}

Json::Value OperatorApi::Upstreams(const Json::Value& parameters) const {
  Json::Value result;
  result["upstreams"] = Json::Value(Json::arrayValue);
  for (const ListedUpstream& listed : members_.List(parameters["service"].asString())) {
    result["upstreams"].append(DescribeUpstream(listed));
  }
  return result;
}

Json::Value OperatorApi::Drain() {
  const bool had_upstream = gate_.Drain();
  Json::Value result;
  result["state"] = had_upstream ? "leaving" : "drained; no upstream is announced";
  return result;
}

Json::Value OperatorApi::EndDrain() {
  gate_.EndDrain();
  Json::Value result;
  result["state"] = "open for the upstream's next announcement";
  return result;
}

}  // namespace borageloft::node
