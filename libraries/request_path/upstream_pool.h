#ifndef BORAGELOFT_REQUEST_PATH_UPSTREAM_POOL_H_
#define BORAGELOFT_REQUEST_PATH_UPSTREAM_POOL_H_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "libraries/http_stream/http_stream.h"
#include "libraries/request_path/header_names.h"
#include "libraries/request_path/local_gate.h"
#include "libraries/settings/settings.h"

namespace borageloft::request_path {

class UpstreamConnection;

/** Settings of the connection pool. */
struct UpstreamPoolOptions {
  settings::Endpoint endpoint;
  /** Maximum size of an answer body, in bytes. */
  std::size_t body_bytes = std::size_t{8} << 20U;
  /** Maximum bytes of incomplete answers on all connections together. */
  std::size_t held_bytes = std::size_t{48} << 20U;
  /** Idle time after which a connection is not reused, unless the upstream states its timeout. */
  base::Duration idle_limit = std::chrono::seconds(4);
  /** Time limit for connecting to the upstream, which is on the same host. */
  base::Duration connect_timeout = std::chrono::milliseconds(1000);
};

/** Counters of the pool, for metrics. */
struct UpstreamPoolCounters {
  std::uint64_t connections_opened = 0;
  std::uint64_t connect_failures = 0;
  std::uint64_t reused = 0;
  std::uint64_t mismatched_answers = 0;  // Answers with another request id, and unsolicited data.
  std::uint64_t unreadable_rates = 0;    // Answers whose named rate is no number from 0 on.
  std::uint64_t invalid_answers = 0;     // Malformed answers, and successes without a seal header.
};

/**
 * Pool of persistent HTTP connections to the upstream on this host, with one request at a time on
 * each. An answer is passed on only if it is complete and carries no id of another request. Runs on
 * one event loop; not thread-safe.
 */
class UpstreamPool {
 public:
  /**
   * @param on_unreachable Called when connecting fails with an error, but not when it times out.
   * @param on_other_instance Called when an instance other than the expected one answered.
   */
  UpstreamPool(asio::io_context& context, UpstreamPoolOptions options, const HeaderNames& names,
               std::function<void()> on_unreachable, std::function<void()> on_other_instance);
  ~UpstreamPool();

  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  /**
   * Sends a request to the upstream.
   * @param deadline When the caller stops waiting; the time left is sent to the upstream.
   * @return Hook that cancels the request by closing its connection, without a call of @p handler.
   */
  CancelHook Run(wire::Request request, base::TimePoint deadline, ResponseHandler handler);

  /**
   * Sends a health check to the upstream.
   * @param deadline Sent to the upstream as the time left; not enforced on the answer.
   * @param handler Receives the answer, with status 0 if the connection failed or ended without
   * one.
   */
  void AskHealth(const std::string& path, base::TimePoint deadline,
                 std::function<void(const http_stream::ResponseMessage& answer)> handler);

  /** Closes the idle connections, for example because the upstream was replaced. */
  void DropIdle();

  std::size_t idle_count() const { return idle_.size(); }
  const UpstreamPoolCounters& counters() const { return counters_; }

 private:
  friend class UpstreamConnection;

  // Takes an idle connection on which @p request_id was not refused: a refusal that is repeated
  // there would look like the answer to a second attempt.
  std::shared_ptr<UpstreamConnection> TakeIdle(const std::string& request_id);
  void Return(const std::shared_ptr<UpstreamConnection>& connection);
  void Remove(const std::shared_ptr<UpstreamConnection>& connection);

  asio::io_context& context_;
  UpstreamPoolOptions options_;
  HeaderNames names_;
  std::function<void()> on_unreachable_;
  std::function<void()> on_other_instance_;
  std::vector<std::shared_ptr<UpstreamConnection>> idle_;  // The most recently used one is last.
  std::set<std::shared_ptr<UpstreamConnection>> all_;
  std::size_t held_bytes_ = 0;
  UpstreamPoolCounters counters_;
};

}  // namespace borageloft::request_path

#endif  // BORAGELOFT_REQUEST_PATH_UPSTREAM_POOL_H_
