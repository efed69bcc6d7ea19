#include "libraries/membership/local_upstream.h"

#include <algorithm>
#include <utility>

namespace borageloft::membership {

namespace {

bool IsServiceName(const std::string& name) {
  return !name.empty() && name.size() <= kMaximumText &&
         std::all_of(name.begin(), name.end(), [](char letter) {
           return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9') ||
                  letter == '-';
         });
}

bool IsCount(std::uint32_t count) { return count > 0 && count <= kMaximumSlots; }

}  // namespace

const char* NameOf(AnnounceRefusal refusal) {
  switch (refusal) {
    case AnnounceRefusal::kNone:
      return "none";
    case AnnounceRefusal::kServiceInvalid:
      return "service-invalid";
    case AnnounceRefusal::kAddressInvalid:
      return "address-invalid";
    case AnnounceRefusal::kSlotsInvalid:
      return "slots-invalid";
    case AnnounceRefusal::kConnectionsInvalid:
      return "connections-invalid";
    case AnnounceRefusal::kLeaseInvalid:
      return "lease-invalid";
    case AnnounceRefusal::kOtherService:
      return "other-service";
    case AnnounceRefusal::kOtherAddress:
      return "other-address";
    case AnnounceRefusal::kStillLeaving:
      return "still-leaving";
    case AnnounceRefusal::kLeavingByNote:
      return "leaving-by-note";
    case AnnounceRefusal::kNodeStopping:
      return "node-stopping";
  }
  return "unknown";
}

LocalUpstream::LocalUpstream(LocalUpstreamSettings settings, ChangeHook on_change)
    : settings_(settings), on_change_(std::move(on_change)) {
  data_.state = UpstreamState::kAbsent;
}

AnnounceRefusal LocalUpstream::Announce(const Announcement& announcement, base::TimePoint now) {
  AnnounceRefusal refusal = CheckBounds(announcement);
  if (refusal == AnnounceRefusal::kNone) {
    refusal = CheckState(announcement);
  }
  if (refusal != AnnounceRefusal::kNone) {
    return refusal;
  }
  lease_end_ = now + announcement.lease;
  const bool is_new = !is_present();
  const bool is_changed =
      is_new || data_.slots != announcement.slots || data_.connections != announcement.connections;
  data_.service = announcement.service;
  data_.address = announcement.address;
  data_.slots = announcement.slots;
  data_.connections = announcement.connections;
  if (is_new) {
    ++data_.announcement;
    is_reachable_ = false;
    MoveTo(UpstreamState::kJoining, now);
  } else if (is_changed && on_change_) {
    on_change_(data(), now);
  }
  return AnnounceRefusal::kNone;
}

void LocalUpstream::ConfirmReachable(base::TimePoint now) {
  is_reachable_ = true;
  if (data_.state == UpstreamState::kJoining && note_ != NoteInstruction::kJoining) {
    MoveTo(UpstreamState::kServing, now);
  }
}

bool LocalUpstream::Leave(base::TimePoint now) {
  if (data_.state != UpstreamState::kJoining && data_.state != UpstreamState::kServing) {
    return false;
  }
  MoveTo(UpstreamState::kLeaving, now);
  FinishLeaving(now);
  return true;
}

void LocalUpstream::BeginNodeStop(base::TimePoint now) {
  is_stopping_ = true;
  Leave(now);
}

void LocalUpstream::ApplyNote(NoteInstruction instruction, base::TimePoint now) {
  note_ = instruction;
  if (instruction == NoteInstruction::kLeaving) {
    Leave(now);
  } else if (is_reachable_) {
    ConfirmReachable(now);
  }
}

void LocalUpstream::Tick(base::TimePoint now) {
  if (is_present() && now >= lease_end_) {
    Leave(now);
  }
}

void LocalUpstream::BeginWork() {
  VERIFY(is_accepting());
  ++in_flight_;
}

void LocalUpstream::EndWork(base::TimePoint now) {
  VERIFY(in_flight_ > 0);
  --in_flight_;
  FinishLeaving(now);
}

std::optional<UpstreamData> LocalUpstream::data() const {
  if (data_.state == UpstreamState::kAbsent || data_.state == UpstreamState::kGone) {
    return std::nullopt;
  }
  return data_;
}

AnnounceRefusal LocalUpstream::CheckBounds(const Announcement& announcement) const {
  if (!IsServiceName(announcement.service)) {
    return AnnounceRefusal::kServiceInvalid;
  }
  if (announcement.address.empty() || announcement.address.size() > kMaximumText) {
    return AnnounceRefusal::kAddressInvalid;
  }
  if (!IsCount(announcement.slots)) {
    return AnnounceRefusal::kSlotsInvalid;
  }
  if (!IsCount(announcement.connections)) {
    return AnnounceRefusal::kConnectionsInvalid;
  }
  if (announcement.lease < settings_.minimum_lease ||
      announcement.lease > settings_.maximum_lease) {
    return AnnounceRefusal::kLeaseInvalid;
  }
  return AnnounceRefusal::kNone;
}

AnnounceRefusal LocalUpstream::CheckState(const Announcement& announcement) const {
  if (is_stopping_) {
    return AnnounceRefusal::kNodeStopping;
  }
  if (note_ == NoteInstruction::kLeaving) {
    return AnnounceRefusal::kLeavingByNote;
  }
  if (data_.state == UpstreamState::kLeaving) {
    return AnnounceRefusal::kStillLeaving;
  }
  if (is_present() && announcement.service != data_.service) {
    return AnnounceRefusal::kOtherService;
  }
  if (is_present() && announcement.address != data_.address) {
    return AnnounceRefusal::kOtherAddress;
  }
  return AnnounceRefusal::kNone;
}

void LocalUpstream::MoveTo(UpstreamState state, base::TimePoint now) {
  const bool is_start = state == UpstreamState::kJoining;
  VERIFY(is_start ? !is_present() && in_flight_ == 0 : state > data_.state);
  data_.state = state;
  if (on_change_) {
    on_change_(data(), now);
  }
}

void LocalUpstream::FinishLeaving(base::TimePoint now) {
  if (data_.state == UpstreamState::kLeaving && in_flight_ == 0) {
    MoveTo(UpstreamState::kGone, now);
  }
}

bool LocalUpstream::is_present() const {
  return data_.state == UpstreamState::kJoining || data_.state == UpstreamState::kServing;
}

}  // namespace borageloft::membership
