#include "libraries/directory/local_instance.h"

#include <algorithm>
#include <utility>

namespace borageloft::directory {

LocalInstance::LocalInstance(std::string service, base::Duration silence_limit)
    : service_(std::move(service)), silence_limit_(silence_limit) {}

HeartbeatOutcome LocalInstance::HandleHeartbeat(const Heartbeat& heartbeat, base::TimePoint now) {
  if (heartbeat.service != service_) {
    return HeartbeatOutcome::kOtherService;
  }
  const bool is_same_process =
      heartbeat.born == newest_start_ && heartbeat.instance == heartbeat_.instance;
  const bool is_repeated = is_same_process && heartbeat.sequence <= heartbeat_.sequence;
  const bool seems_older = !is_repeated && SeemsOlder(heartbeat);
  if (is_repeated || (seems_older && !HasOutlivedCurrent(heartbeat, now))) {
    // A process never serves again after this, in whatever order its messages arrive.
    if (heartbeat.state == InstanceState::kLeaving) {
      HandleLeave({heartbeat.instance, heartbeat.born}, now);
    }
    return HeartbeatOutcome::kLate;
  }
  if (seems_older) {
    base::Log(base::LogLevel::kWarning, "instance_clock_set_back",
              {{"instance", heartbeat.instance},
               {"born", static_cast<Json::UInt64>(heartbeat.born)},
               {"silent_instance", heartbeat_.instance},
               {"silent_born", static_cast<Json::UInt64>(newest_start_)}});
    outlived_ = Incarnation{heartbeat_.instance, heartbeat_.born};
    challenger_.reset();
  }
  // The heartbeats of an adopted instance tell its start for the first time.
  const bool is_adopted = heartbeat_.born == 0 && heartbeat.instance == heartbeat_.instance;
  const bool is_new = !is_same_process || is_silent_;
  heartbeat_ = heartbeat;
  newest_start_ = heartbeat.born;
  heard_at_ = now;
  is_suspect_ = false;
  is_silent_ = false;
  if (!is_same_process && !is_adopted) {
    leaving_since_.reset();
  }
  IdentifyDeparted(incarnation(), now);
  // A process that is leaving never serves again; later serving heartbeats do not change that.
  if (const Departed* departed = FindDeparted(incarnation())) {
    leaving_since_ = departed->since;
  } else if (heartbeat.state == InstanceState::kLeaving && !leaving_since_) {
    // An instance that is leaving when first heard may have told an earlier process of this node so
    // long ago.
    leaving_since_ = is_new ? base::TimePoint{} : now;
  }
  if (leaving_since_) {
    RememberDeparted(incarnation(), *leaving_since_);
  }
  return HeartbeatOutcome::kTaken;
}

bool LocalInstance::SeemsOlder(const Heartbeat& heartbeat) const {
  return heartbeat.born < newest_start_ ||
         outlived_ == Incarnation{heartbeat.instance, heartbeat.born};
}

bool LocalInstance::HasOutlivedCurrent(const Heartbeat& heartbeat, base::TimePoint now) {
  const Incarnation incarnation{heartbeat.instance, heartbeat.born};
  const bool is_continued = challenger_ && challenger_->incarnation == incarnation &&
                            now - challenger_->heard_at <= silence_limit_;
  if (!is_continued) {
    challenger_ = Challenger{incarnation, heartbeat.sequence, now, now};
    return false;
  }
  if (heartbeat.sequence <= challenger_->sequence) {
    return false;
  }
  challenger_->sequence = heartbeat.sequence;
  challenger_->heard_at = now;
  // Delayed heartbeats arrive within a shorter time of each other than that of several intervals.
  return is_silent_ && now - challenger_->first_heard_at >= silence_limit_;
}

bool LocalInstance::Adopt(const std::string& instance, std::uint32_t slots, base::TimePoint now) {
  if (has_been_heard() || instance.empty() || FindDeparted({instance, 0}) != nullptr) {
    return false;
  }
  heartbeat_ = {};
  heartbeat_.instance = instance;
  heartbeat_.service = service_;
  heartbeat_.slots = slots;
  heard_at_ = now;
  is_suspect_ = false;
  return true;
}

bool LocalInstance::HandleLeave(const Incarnation& incarnation, base::TimePoint now) {
  if (incarnation.instance.empty()) {
    return false;
  }
  const bool is_current = MayBeSame(incarnation, this->incarnation());
  if (is_current && !leaving_since_) {
    leaving_since_ = now;
  }
  const bool is_newest = incarnation.born == 0 && incarnation.instance == heartbeat_.instance;
  RememberDeparted(is_newest ? Incarnation{heartbeat_.instance, heartbeat_.born} : incarnation,
                   is_current ? *leaving_since_ : now);
  if (!is_current) {
    return false;
  }
  heard_at_ = now;
  return true;
}

Incarnation LocalInstance::Identify(const std::string& instance) const {
  if (heartbeat_.instance == instance && heartbeat_.born != 0) {
    return {instance, heartbeat_.born};
  }
  const auto left = std::find_if(departed_.rbegin(), departed_.rend(), [&](const Departed& entry) {
    return entry.incarnation.instance == instance && entry.incarnation.born != 0;
  });
  return left == departed_.rend() ? Incarnation{instance, 0} : left->incarnation;
}

bool LocalInstance::ExpireIfSilent(base::TimePoint now) {
  if (instance().empty() || now - heard_at_ < silence_limit_) {
    return false;
  }
  is_silent_ = true;
  leaving_since_.reset();
  is_suspect_ = false;
  return true;
}

const LocalInstance::Departed* LocalInstance::FindDeparted(const Incarnation& incarnation) const {
  const auto found = std::find_if(departed_.begin(), departed_.end(), [&](const Departed& entry) {
    return entry.incarnation == incarnation ||
           (incarnation.born == 0 && entry.incarnation.instance == incarnation.instance);
  });
  return found == departed_.end() ? nullptr : &*found;
}

void LocalInstance::IdentifyDeparted(const Incarnation& incarnation, base::TimePoint now) {
  for (Departed& entry : departed_) {
    if (entry.incarnation == Incarnation{incarnation.instance, 0} &&
        now - entry.since < kIdentificationTime) {
      entry.incarnation = incarnation;
    }
  }
}

void LocalInstance::RememberDeparted(const Incarnation& incarnation, base::TimePoint since) {
  const auto known = std::find_if(departed_.begin(), departed_.end(), [&](const Departed& entry) {
    return entry.incarnation == incarnation;
  });
  if (known != departed_.end()) {
    // The announcement of a process that is not identified yet is repeated.
    known->since = incarnation.born == 0 ? since : known->since;
    return;
  }
  departed_.push_back({incarnation, since});
  if (departed_.size() > kMaxDeparted) {
    departed_.pop_front();
  }
}

void LocalInstance::RecallDepartures(const std::vector<Incarnation>& departed) {
  awaits_departures_ = false;
  for (const Incarnation& left : departed) {
    // It may have left long ago.
    RememberDeparted(left, base::TimePoint{});
  }
  const Departed* current = FindDeparted(incarnation());
  if (current == nullptr || leaving_since_) {
    return;
  }
  if (heartbeat_.born == 0) {
    // Which process was adopted is not known before its first heartbeat.
    heartbeat_ = {};
    heard_at_ = {};
    return;
  }
  leaving_since_ = current->since;
}

base::Duration LocalInstance::WarmUpLeft(base::TimePoint now) const {
  return std::max(base::Duration::zero(), heartbeat_.warm_up_left - (now - heard_at_));
}

}  // namespace borageloft::directory
