#ifndef BORAGELOFT_REVIEW_HARNESS_3_BACKEND_H_
#define BORAGELOFT_REVIEW_HARNESS_3_BACKEND_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "review/harness-3/http.h"
#include "review/harness-3/record.h"

namespace review {

/** What a back end does with one request. */
struct Plan {
  milliseconds work{30};
  int status = 200;
  Fields fields;
  std::string body;
  /** Bytes sent on the same connection once the next request has come, before its answer. */
  std::string late_bytes;
};

/**
 * A stand-in back end as PROTOCOL.md describes it. A life is one process of it: it listens, says
 * heartbeats to the node beside it, runs requests, and ends.
 */
class Backend {
 public:
  using Handler = std::function<Plan(const Message& request)>;

  /**
   * @param address Where it listens.
   * @param node Where the node beside it takes announcements.
   */
  Backend(Record& record, std::string service, Address address, Address node)
      : record_(record),
        service_(std::move(service)),
        address_(std::move(address)),
        node_(std::move(node)) {}
  ~Backend() { End(); }
  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  /** Called for each request that is run, in the thread of its connection. */
  void set_handler(Handler handler) { handler_ = std::move(handler); }

  /**
   * Begins a life.
   * @param id Id of the process.
   * @param born Its start, in Unix milliseconds.
   * @param says_heartbeats Whether it says heartbeats by itself.
   * @return Whether its address was free.
   */
  bool Begin(const std::string& id, std::uint64_t born, bool says_heartbeats);
  /** Ends the life at once: all connections are closed. */
  void End();

  /** Makes the next heartbeat of this life. @param state "ready" or "draining". */
  std::string MakeHeartbeat(const std::string& state);
  /** Sends bytes made by MakeHeartbeat(). @return Status of the answer, or 0. */
  int Say(const std::string& bytes) const;
  /**
   * Says that this life leaves, until that is acknowledged. From then on its answers say so too.
   * @return Whether it was acknowledged.
   */
  bool Leave(milliseconds limit);

  void set_says_heartbeats(bool says) { says_heartbeats_ = says; }
  const std::string& id() const { return id_; }

 private:
  void Accept(int listener);
  void Serve(const std::shared_ptr<Socket>& connection);
  std::string Answer(const Message& request, std::string& late_bytes);
  void Announce();

  Record& record_;
  const std::string service_;
  const Address address_;
  const Address node_;
  Handler handler_;
  std::string id_;
  std::uint64_t born_ = 0;
  std::atomic<std::uint64_t> sequence_{0};
  std::atomic<bool> is_alive_{false};
  std::atomic<bool> says_heartbeats_{false};
  std::atomic<bool> is_leaving_{false};  // Its answers and its health path say so.
  std::mutex mutex_;
  std::set<std::shared_ptr<Socket>> connections_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
  std::thread announcer_;
};

/** @return The time of day in Unix milliseconds. */
std::uint64_t UnixMilliseconds();

}  // namespace review

#endif  // BORAGELOFT_REVIEW_HARNESS_3_BACKEND_H_
