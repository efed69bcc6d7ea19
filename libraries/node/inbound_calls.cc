#include "libraries/node/inbound_calls.h"

#include <algorithm>
#include <utility>

namespace borageloft::node {

namespace {

// The longest timeout that a caller may ask for; a longer one is malformed.
constexpr base::Duration kLongestRemaining = std::chrono::seconds(600);

}  // namespace

void InboundCalls::Start(transport::InboundRequestId id, wire::Request request,
                         transport::Responder respond) {
  {
    const std::scoped_lock lock(mutex_);
    VERIFY(calls_.emplace(id, Inbound{}).second);
  }
  const base::TimePoint deadline =
      services_.clock() + std::clamp(request.remaining, base::Duration::zero(), kLongestRemaining);
  request.context.begun = std::max(request.context.begun, base::WallTime());
  const GateCallId call =
      gate_.Submit(std::move(request), deadline,
                   [this, id, respond = std::move(respond)](wire::Response response) {
                     {
                       const std::scoped_lock lock(mutex_);
                       calls_.erase(id);
                     }
                     respond(std::move(response));
                   });
  bool is_cancelled = false;
  {
    const std::scoped_lock lock(mutex_);
    // The gate may have answered already.
    if (const auto found = calls_.find(id); found != calls_.end()) {
      found->second.call = call;
      is_cancelled = found->second.is_cancelled;
    }
  }
  if (is_cancelled) {
    gate_.Cancel(call);
  }
}

void InboundCalls::Cancel(transport::InboundRequestId id) {
  std::optional<GateCallId> call;
  {
    const std::scoped_lock lock(mutex_);
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
      return;
    }
    found->second.is_cancelled = true;
    call = found->second.call;
  }
  if (call) {
    gate_.Cancel(*call);
  }
}

}  // namespace borageloft::node
