#ifndef BORAGELOFT_RETRY_JOIN_TABLE_H_
#define BORAGELOFT_RETRY_JOIN_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "libraries/base/base.h"

namespace borageloft::retry {

/** Names one caller's request at this node. */
enum class WaiterId : std::uint64_t {};

/**
 * What makes two lookups the same. The whole values are compared, not their hashes: a collision
 * would give a caller the answer to another request.
 */
struct JoinKey {
  std::string service;
  std::string id;      ///< Root id or idempotency key.
  std::string digest;  ///< Digest of method, path and body.

  friend bool operator<(const JoinKey& left, const JoinKey& right) {
    return std::tie(left.service, left.id, left.digest) <
           std::tie(right.service, right.id, right.digest);
  }
};

/** What becomes of a request that is offered to the table. */
enum class JoinVerdict {
  kLead,    ///< No such request runs: this one is to be sent, and Complete() called at its end.
  kJoined,  ///< The same request runs: this one gets its answer.
  kAlone,   ///< The table or the group is full: this one is to be sent without joining.
};

/** Joins lookups to the same lookup that is already running. Not thread-safe. */
class JoinTable {
 public:
  /**
   * @param max_groups Bound of running requests that can be joined.
   * @param max_waiters Bound of requests that join one.
   */
  JoinTable(std::size_t max_groups, std::size_t max_waiters)
      : max_groups_(max_groups), max_waiters_(max_waiters) {}

  /** Offers a request. @throws RetryError if @p waiter is already part of the group. */
  JoinVerdict Join(const JoinKey& key, WaiterId waiter);

  /**
   * Ends the running request.
   * @return The requests that joined it; each gets a copy of the whole answer.
   * @throws RetryError if @p lead does not run @p key.
   */
  std::vector<WaiterId> Complete(const JoinKey& key, WaiterId lead);

  /**
   * Removes a request that joined and whose caller gave up.
   * @return Whether it was waiting. The running request itself cannot leave, others rely on it.
   */
  bool Leave(const JoinKey& key, WaiterId waiter);

  /** @return Running requests that can be joined. */
  std::size_t size() const { return groups_.size(); }

 private:
  struct Group {
    WaiterId lead{};
    std::vector<WaiterId> waiters;
  };

  std::size_t max_groups_;
  std::size_t max_waiters_;
  std::map<JoinKey, Group> groups_;
};

}  // namespace borageloft::retry

#endif  // BORAGELOFT_RETRY_JOIN_TABLE_H_
