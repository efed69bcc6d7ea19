#include "libraries/mesh/freshness_keeper.h"

#include <algorithm>

namespace borageloft::mesh {

namespace {

std::uint64_t Nanoseconds(base::TimePoint time) {
  return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

base::TimePoint FromNanoseconds(std::uint64_t nanoseconds) {
  return base::TimePoint(base::Duration(static_cast<base::Duration::rep>(nanoseconds)));
}

}  // namespace

void FreshnessKeeper::RecordInterest() {
  const base::TimePoint now = hooks_.clock();
  const bool had_interest = HasInterest(now);
  asked_at_ = now;
  if (!had_interest) {
    Poll();
  }
}

void FreshnessKeeper::Poll() {
  const base::TimePoint now = hooks_.clock();
  if (!HasInterest(now)) {
    return;
  }
  if (!hooks_.is_leader()) {
    hooks_.send_to_leader(directory::FreshnessRequest{Nanoseconds(now)});
    return;
  }
  hooks_.read_newest([this, now](std::optional<declaration::Version> version) {
    if (version) {
      Confirm(now, *version);
    }
  });
}

void FreshnessKeeper::HandleRequest(const std::string& from,
                                    const directory::FreshnessRequest& request) {
  if (!hooks_.is_leader()) {
    return;
  }
  hooks_.read_newest(
      [this, from, sent_at = request.sent_at](std::optional<declaration::Version> version) {
        if (version) {
          hooks_.send(from, directory::FreshnessAnswer{sent_at, *version});
        }
      });
}

void FreshnessKeeper::HandleAnswer(const directory::FreshnessAnswer& answer) {
  const base::TimePoint sent_at = FromNanoseconds(answer.request_sent_at);
  // An answer to a question of an earlier process of this host may name a time to come.
  if (sent_at <= hooks_.clock()) {
    Confirm(sent_at, answer.version);
  }
}

void FreshnessKeeper::Confirm(base::TimePoint sent_at, declaration::Version version) {
  if (hooks_.applied_version() >= version) {
    confirmed_at_ = std::max(confirmed_at_.value_or(sent_at), sent_at);
  } else if (sent_at >= pending_sent_at_) {
    pending_sent_at_ = sent_at;
    pending_version_ = version;
  }
}

std::optional<base::Duration> FreshnessKeeper::Age() {
  if (pending_version_ > 0 && hooks_.applied_version() >= pending_version_) {
    confirmed_at_ = std::max(confirmed_at_.value_or(pending_sent_at_), pending_sent_at_);
    pending_version_ = 0;
  }
  return confirmed_at_ ? std::optional(hooks_.clock() - *confirmed_at_) : std::nullopt;
}

}  // namespace borageloft::mesh
