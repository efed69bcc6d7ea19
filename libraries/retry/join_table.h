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

/** Identifies one caller's request at this node. */
enum class WaiterId : std::uint64_t {};

/**
 * Key under which lookups count as the same. The values are compared, not hashes of them, since a
 * hash collision would give a caller the answer to another request.
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

/** Result of offering a request to the table. */
enum class JoinVerdict {
  kLead,    ///< None runs with this key: send this one and call Complete() when it ends.
  kJoined,  ///< The same request runs: wait for its answer.
  kAlone,   ///< The table or the group is full: send this one on its own.
};

/** Coalesces identical lookups: later ones wait for the one that runs. Not thread-safe. */
class JoinTable {
 public:
  /**
   * @param max_groups Most running requests that can be joined.
   * @param max_waiters Most requests that can join one of them.
   */
  JoinTable(std::size_t max_groups, std::size_t max_waiters)
      : max_groups_(max_groups), max_waiters_(max_waiters) {}

  /** Offers a request. @throws RetryError if @p waiter is already part of the group. */
  JoinVerdict Join(const JoinKey& key, WaiterId waiter);

  /**
   * Ends the group of a running request.
   * @return The requests that joined it; the owner gives each a copy of the whole answer.
   * @throws RetryError if @p lead does not lead the group of @p key.
   */
  std::vector<WaiterId> Complete(const JoinKey& key, WaiterId lead);

  /**
   * Removes a request that joined and whose caller stopped waiting.
   * @return Whether it was waiting. The running request cannot leave, since others wait for it.
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
