#ifndef BORAGELOFT_REQUEST_PATH_REQUEST_RUN_H_
#define BORAGELOFT_REQUEST_PATH_REQUEST_RUN_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libraries/request_path/entry.h"

namespace borageloft::request_path {

/** Input of a run: the request, its route and its limits. */
struct RunPlan {
  std::uint64_t id = 0;
  std::string request_id;
  std::string service;
  declaration::Route route;
  wire::RequestOrigin origin = wire::RequestOrigin::kCaller;
  std::string account;                  // Of the root request; empty if it has none.
  std::uint32_t priority = 0;           // Of the root request.
  std::uint64_t shed_key = 0;           // Of the root request.
  bool is_below_retry = false;          // The calling upstream itself runs a retry.
  http_stream::RequestMessage message;  // As sent to the upstream.
  base::TimePoint received;
  base::TimePoint deadline;  // Of the caller.
  base::TimePoint due;       // The caller's deadline or the route's timeout, whichever is earlier.
};

/**
 * Processes one request at its entry: its attempts one after the other, its timeout and its single
 * answer.
 */
class RequestRun : public std::enable_shared_from_this<RequestRun> {
 public:
  RequestRun(Entry& entry, RunPlan plan, AnswerHook answer);

  /** Sends the first attempt, or answers at once if the deadline has passed or the root is shed. */
  void Start();
  /** Ends the run without an answer because the caller has disconnected. */
  void Abandon();

  /** @return Size of the request in bytes. */
  std::size_t held_bytes() const {
    return plan_.message.body.size() + http_stream::SizeOf(plan_.message.fields);
  }

 private:
  struct Attempt {
    std::string node;
    std::string instance;
    base::TimePoint started;
    CancelHook cancel;
  };

  void TakeQuota();
  void ReturnQuota();
  void Send();
  const directory::InstanceRecord* ChooseNext(base::TimePoint now);
  wire::Request MakeRequest(const directory::InstanceRecord& instance, base::TimePoint now) const;
  base::Duration WaitLimit() const;
  RootPosition Root() const;
  void HandleEnd(std::uint64_t number, wire::Response response);
  void RecordEnd(const wire::Response& response, base::TimePoint now);
  static AttemptOutcome Classify(const wire::Response& response);
  bool ClaimRetry(const wire::Response& response, base::TimePoint now);
  void HandleTimeout();
  void CancelAttempt();
  void Conclude(wire::Response response);
  void ForwardAnswer(wire::Response response);
  void AnswerWithError(unsigned status, Refusal refusal,
                       std::optional<base::Duration> retry_after = std::nullopt);
  void Finish(http_stream::ResponseMessage response);
  std::string RetryAfter(base::TimePoint now) const;
  void Log(LogSampling sampling, std::string_view event, std::string_view outcome,
           unsigned status) const;

  Entry& entry_;
  RunPlan plan_;
  AnswerHook answer_;
  std::optional<timer::SubscriptionId> timeout_;
  std::optional<Attempt> attempt_;
  std::uint64_t sends_ = 0;     // Attempts sent to a gate.
  std::uint32_t arrivals_ = 0;  // Attempts that reached or may have reached an upstream.
  bool has_quota_ = false;      // A token was taken for the request.
  bool may_have_run_ = false;
  bool is_overdue_ = false;  // The timeout has passed and the attempt was cancelled.
  bool is_done_ = false;
  std::vector<std::string> tried_;    // Nodes to which an attempt was sent.
  std::vector<std::string> reached_;  // Nodes whose upstream was or may have been reached.
};

}  // namespace borageloft::request_path

#endif  // BORAGELOFT_REQUEST_PATH_REQUEST_RUN_H_
