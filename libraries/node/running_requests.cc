#include "libraries/node/running_requests.h"

#include <algorithm>

namespace borageloft::node {

std::shared_ptr<RunningRequest> RunningRequests::Begin(const std::string& root, std::uint32_t depth,
                                                       std::uint32_t granted) {
  auto request = std::make_shared<RunningRequest>(granted);
  const std::scoped_lock lock(mutex_);
  requests_.emplace(Key{root, depth}, request);
  return request;
}

std::uint32_t RunningRequests::End(const std::string& root, std::uint32_t depth,
                                   const std::shared_ptr<RunningRequest>& request) {
  const std::scoped_lock lock(mutex_);
  const auto [first, last] = requests_.equal_range(Key{root, depth});
  const auto found =
      std::find_if(first, last, [&](const auto& entry) { return entry.second == request; });
  VERIFY(found != last);
  requests_.erase(found);
  const std::uint32_t unspent = request->allowance.Close();
  VERIFY(unspent <= request->allowance.granted());
  return unspent;
}

ChildLoan RunningRequests::Lend(const std::string& root, std::uint32_t depth,
                                std::uint32_t children) {
  const std::scoped_lock lock(mutex_);
  const auto [first, last] = requests_.equal_range(Key{root, depth});
  if (first == last) {
    return {};
  }
  // Several requests of one root may run here; any of them only lends what is its own.
  const auto richest = std::max_element(first, last, [](const auto& left, const auto& right) {
    return left.second->allowance.unspent() < right.second->allowance.unspent();
  });
  retry::RetryAllowance& allowance = richest->second->allowance;
  return {richest->second, allowance.Lend(allowance.PartForNextOf(children))};
}

void RunningRequests::Settle(const ChildLoan& child, std::optional<std::uint32_t> unspent,
                             base::Duration time, CallEnd end) {
  if (child.request == nullptr) {
    return;
  }
  const std::scoped_lock lock(mutex_);
  child.request->downstream_time += time;
  child.request->has_failed_call = child.request->has_failed_call || end == CallEnd::kFailed;
  // Close() settled all loans when the request ended before its call did.
  if (child.request->allowance.lent() == 0) {
    return;
  }
  if (unspent) {
    child.request->allowance.SettleAnswered(child.loan.id, *unspent);
  } else {
    child.request->allowance.SettleLost(child.loan.id);
  }
}

bool RunningRequests::HasFailedCall(const RunningRequest& request) const {
  const std::scoped_lock lock(mutex_);
  return request.has_failed_call;
}

base::Duration RunningRequests::DownstreamTime(const RunningRequest& request) const {
  const std::scoped_lock lock(mutex_);
  return request.downstream_time;
}

}  // namespace borageloft::node
