#ifndef BORAGELOFT_REVIEW_STAND_INS_BACKEND_H_
#define BORAGELOFT_REVIEW_STAND_INS_BACKEND_H_

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "review/stand_ins/deployment.h"
#include "review/stand_ins/http.h"
#include "review/stand_ins/record.h"

namespace borageloft::review {

/** What a backend has seen of a request. */
struct Run {
  std::string backend;
  std::chrono::steady_clock::time_point reached;
  bool has_ended = false;
};

/** Runs of all backends by request id. */
using Runs = std::multimap<std::string, Run>;

/** Stand-in of the backend on a machine: answers requests, sends heartbeats, leaves. */
class Backend {
 public:
  /**
   * Starts the backend and its heartbeats.
   * @param context Event loop.
   * @param deployment Deployment with the machine.
   * @param machine Machine on which the backend runs.
   * @param record Record of the case.
   * @param runs Receives the runs.
   * @param work Time that a request takes.
   */
  Backend(asio::io_context& context, Deployment& deployment, const Machine& machine, Record& record,
          Runs& runs, std::chrono::milliseconds work);
  /** Ends the backend: requests at work end without an answer. */
  ~Backend();

  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  /**
   * Sends a heartbeat now.
   * @param delay Time that it spends on its way.
   */
  void Beat(std::chrono::milliseconds delay);
  /** Says that the backend leaves, until that is acknowledged; there are no heartbeats after it. */
  void Leave();

  /** @return When the leave was acknowledged; the clock's epoch before. */
  std::chrono::steady_clock::time_point leave_acknowledged() const { return leave_acknowledged_; }
  const std::string& id() const { return id_; }
  /** @return Whether a heartbeat was acknowledged. */
  bool is_known() const { return is_known_; }

 private:
  void BeatLater();
  void Handle(const Message& request, const std::shared_ptr<Exchange>& exchange);

  asio::io_context& context_;
  Deployment& deployment_;
  const Machine& machine_;
  Record& record_;
  Runs& runs_;
  std::chrono::milliseconds work_;
  std::string id_;
  std::int64_t born_ = 0;
  std::uint64_t sequence_ = 0;
  bool is_leaving_ = false;
  bool is_known_ = false;
  std::chrono::steady_clock::time_point leave_acknowledged_{};
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
  asio::steady_timer beat_timer_;
  std::unique_ptr<Server> server_;
};

}  // namespace borageloft::review

#endif  // BORAGELOFT_REVIEW_STAND_INS_BACKEND_H_
