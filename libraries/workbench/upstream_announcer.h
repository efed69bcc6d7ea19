#ifndef BORAGELOFT_WORKBENCH_UPSTREAM_ANNOUNCER_H_
#define BORAGELOFT_WORKBENCH_UPSTREAM_ANNOUNCER_H_

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include "libraries/base/base.h"
#include "libraries/workbench/address.h"
#include "libraries/workbench/http_caller.h"

namespace borageloft::workbench {

/** What an upstream tells its node about itself. */
struct Announcement {
  std::string service;
  Address address;
  std::size_t slots = 1;
  std::size_t connections = 1;
  base::Duration lease = std::chrono::seconds(3);
};

/**
 * Announces an upstream to its node with PUT /v1/upstream, renews the lease each third of it, and
 * withdraws it with DELETE /v1/upstream. Thread-safe.
 */
class UpstreamAnnouncer {
 public:
  /**
   * @param node Local address of the node.
   * @param announcement What to announce.
   */
  UpstreamAnnouncer(const Address& node, Announcement announcement);
  ~UpstreamAnnouncer();
  UpstreamAnnouncer(const UpstreamAnnouncer&) = delete;
  UpstreamAnnouncer& operator=(const UpstreamAnnouncer&) = delete;

  /** Starts or resumes announcing. */
  void Join();

  /** Withdraws the announcement and stops renewing it. Waits for the node's answer. */
  void Leave();

 private:
  void RunRenewals();
  bool Announce();
  std::string Body() const;

  HttpCaller node_;
  Announcement announcement_;
  std::mutex call_mutex_;  // Keeps a renewal in progress from arriving after the withdrawal.
  std::mutex mutex_;
  std::condition_variable changed_;
  bool is_joined_ = false;
  bool is_stopping_ = false;
  std::thread thread_;
};

}  // namespace borageloft::workbench

#endif  // BORAGELOFT_WORKBENCH_UPSTREAM_ANNOUNCER_H_
