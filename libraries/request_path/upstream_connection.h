#ifndef BORAGELOFT_REQUEST_PATH_UPSTREAM_CONNECTION_H_
#define BORAGELOFT_REQUEST_PATH_UPSTREAM_CONNECTION_H_

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "libraries/http_stream/http_stream.h"
#include "libraries/request_path/upstream_pool.h"

namespace borageloft::request_path {

/** Whether a successful answer needs the upstream's seal header. */
enum class AnswerCheck {
  kSeal,
  kNone,  // For health answers.
};

/** One HTTP connection to the local upstream, which carries one request at a time. */
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  explicit UpstreamConnection(UpstreamPool& pool);

  /**
   * Sends a request. The connection must be new or idle.
   * @param deadline Sent to the upstream as the time left; not enforced on the answer.
   * @param handler Called once, unless the connection is closed first.
   */
  void Run(wire::Request request, base::TimePoint deadline, ResponseHandler handler,
           AnswerCheck check = AnswerCheck::kSeal);

  /** Closes the connection; the handler of a request in progress is not called. */
  void Close();

  /** @return Whether the request @p id was refused on this connection. */
  bool HasRefused(const std::string& id) const {
    return std::find(refused_ids_.begin(), refused_ids_.end(), id) != refused_ids_.end();
  }

  bool is_open() const { return !is_closed_; }
  /** @return Time from which an idle connection must not be reused. */
  base::TimePoint usable_until() const { return usable_until_; }

 private:
  void Connect();
  void Write();
  void HandleWritten(const asio::error_code& error);
  void Read();
  void UpdateHeldBytes(std::size_t bytes);
  void HandleBytes(std::size_t count);
  void HandleEnd(const asio::error_code& error);
  void RunGuarded(const std::function<void()>& action);
  void HandleAnswer();
  void Deliver(http_stream::ResponseMessage message);
  void Fail(wire::Outcome outcome, Refusal refusal);
  void Finish(wire::Response response);
  void UpdateIdleLimit(const http_stream::Fields& fields);
  std::uint32_t ReadWorkTime(const http_stream::Fields& fields) const;
  std::uint32_t ReadRateLimit(const http_stream::Fields& fields);
  bool IsRefusalOfUnknownRequest(const http_stream::ResponseMessage& message) const;
  bool IsForOtherRequest(const http_stream::ResponseMessage& message) const;

  UpstreamPool* pool_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer connect_timer_;
  http_stream::MessageParser parser_;
  std::array<char, 16 * 1024> read_buffer_{};
  std::string output_;
  ResponseHandler handler_;
  AnswerCheck check_ = AnswerCheck::kSeal;
  std::string request_id_;
  std::vector<std::string> refused_ids_;
  std::size_t held_bytes_ = 0;  // Of an incomplete answer.
  std::size_t requests_ = 0;    // Sent on this connection.
  base::TimePoint deadline_{};
  http_stream::RequestMessage message_;
  base::TimePoint usable_until_{};
  base::Duration idle_limit_;
  bool is_connected_ = false;
  bool is_reading_ = false;
  bool is_writing_ = false;
  bool is_written_ = false;
  bool has_write_failed_ = false;
  bool has_stream_ended_ = false;  // The upstream sends no more; the write is still in progress.
  bool is_closed_ = false;
  bool must_close_ = false;  // The connection cannot carry another request.
};

}  // namespace borageloft::request_path

#endif  // BORAGELOFT_REQUEST_PATH_UPSTREAM_CONNECTION_H_
