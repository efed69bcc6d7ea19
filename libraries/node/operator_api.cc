#include "libraries/node/operator_api.h"

#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

namespace borageloft::node {

namespace {

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

Json::Int64 ToMilliseconds(base::Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
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

OperatorApi::OperatorApi(const NodeServices& services, NoteTable& notes,
                         DisseminationTable& dissemination, MembershipTable& members,
                         UpstreamGate& gate)
    : services_(services),
      notes_(notes),
      dissemination_(dissemination),
      members_(members),
      gate_(gate) {}

std::map<std::string, control_rpc::RpcMethod> OperatorApi::Methods() {
  return {
      {"note_check", [this](const Json::Value& parameters) { return CheckNote(parameters); }},
      {"note_submit", [this](const Json::Value& parameters) { return SubmitNote(parameters); }},
      {"note_show", [this](const Json::Value& parameters) { return ShowNote(parameters); }},
      {"note_history", [this](const Json::Value&) { return History(); }},
      {"status", [this](const Json::Value&) { return Status(); }},
      {"upstreams", [this](const Json::Value& parameters) { return Upstreams(parameters); }},
      {"drain", [this](const Json::Value&) { return Drain(); }},
  };
}

Json::Value OperatorApi::CheckNote(const Json::Value& parameters) const {
  notes::ApplyNote(*services_.policies.current(), RequireText(parameters, "text"),
                   RequireText(parameters, "file"));
  return Json::Value(Json::objectValue);
}

Json::Value OperatorApi::SubmitNote(const Json::Value& parameters) {
  if (!services_.settings.is_control_host()) {
    throw base::Error(fmt::format("this node is no control host; submit the note to {}",
                                  services_.settings.control_peers.front().node));
  }
  const std::string text = RequireText(parameters, "text");
  const auto note = notes::ReleaseNote::Parse(text, RequireText(parameters, "file"));
  notes::ApplyNote(*services_.policies.current(), text, note.file());
  dissemination_.Accept({note.number(), note.author(), note.digest(), text});
  if (notes_.number() < note.number()) {
    throw base::Error(fmt::format("note {} could not be put in force here", note.number()));
  }
  Json::Value result;
  result["result"] = "accepted";
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
  Json::Value result;
  result["notes"] = Json::Value(Json::arrayValue);
  for (std::uint64_t number = 1; number <= notes_.number(); ++number) {
    if (const auto note = notes_.Find(number)) {
      Json::Value row;
      row["number"] = static_cast<Json::UInt64>(note->number);
      row["author"] = note->author;
      row["digest"] = note->digest;
      result["notes"].append(row);
    }
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
  return status;
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
  if (!gate_.Leave()) {
    throw base::Error("no upstream is announced at this node");
  }
  Json::Value result;
  result["state"] = "leaving";
  return result;
}

}  // namespace borageloft::node
