#ifndef BORAGELOFT_HTTP_STREAM_SESSION_H_
#define BORAGELOFT_HTTP_STREAM_SESSION_H_

#include <asio.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/http_stream/server.h"

namespace borageloft::http_stream {

/** One connection from a caller: parses its requests and writes the responses in order. */
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Server& server, std::uint64_t id, asio::ip::tcp::socket socket);

  void Start();
  void Respond(std::uint64_t number, ResponseMessage response);
  void NotifyAbandoned(std::uint64_t number, std::function<void()> callback);
  /** @return Whether a response is not yet written in full, or the closing after it goes on. */
  bool has_unfinished_response() const { return is_writing_ || !output_.empty() || is_lingering_; }
  /** @return Size of the responses that the caller has not read. */
  std::size_t unread_bytes() const { return unread_bytes_; }
  /** @return When bytes of a response were last written, or when the first one was given. */
  base::TimePoint progressed_at() const { return progressed_at_; }
  /** @return Whether the connection has no request in progress and a part of one has arrived, or
   * none ever has. */
  bool is_incomplete() const;
  /** @return Size of the request that is being read, as counted at the server. */
  std::size_t request_bytes() const { return request_bytes_ + input_bytes_; }
  /** @return When kProgressBytes more of the request had arrived, or when it began. */
  base::TimePoint advanced_at() const { return advanced_at_; }
  /** Closes the connection immediately; its unanswered requests are abandoned. */
  void Close();
  /** Closes the connection and drops the pointer to the server, which is stopping. */
  void Detach();

 private:
  // Serialized responses that are written together.
  struct Output {
    std::string bytes;
    std::size_t counted = 0;  // Size of the responses, as counted at the server.
  };

  struct PendingRequest {
    std::uint64_t number = 0;
    BodyUse body_use = BodyUse::kWrite;
    std::size_t request_bytes = 0;   // Counted at the server until there is a response.
    std::size_t response_bytes = 0;  // Counted at the server until it is written.
    bool closes_connection = false;
    std::optional<ResponseMessage> response;
    std::function<void()> on_abandoned;
  };

  void Read();
  void HandleReadable(const asio::error_code& error);
  void HandleBytes(std::string_view bytes);
  void ParseInput();
  void HandleRequest();
  void ContinueIfExpected();
  // Counts the request that is being read. Returns false if the server has no room for it.
  bool ReserveRequest();
  // Counts the bytes that wait unparsed. Returns false if the server has no room for them.
  bool ReserveInput();
  void ReleaseRequest(std::size_t& request_bytes);
  void CountUnread(std::size_t bytes);
  void ReleaseUnread(std::size_t bytes);
  void RefuseStalledBody();
  void RejectRequest();
  void RefuseForBytes();
  void RefuseInput(ResponseMessage response);
  void FlushResponses();
  // Queues bytes that count as @p counted at the server until they are written.
  void AddOutput(std::string bytes, std::size_t counted = 0);
  void Write();
  void WriteSome();
  void FinishWriting();
  void Linger();
  void RestartTimer();
  void AbandonAll();
  PendingRequest* FindPendingRequest(std::uint64_t number);

  // Reading pauses once this many bytes wait unparsed because the pipeline is full.
  static constexpr std::size_t kInputBufferBytes = 64 * 1024;
  // Time for the peer to read the last response before the socket is closed.
  static constexpr std::chrono::seconds kLingerTimeout{2};

  Server* server_;
  const std::uint64_t id_;
  asio::ip::tcp::socket socket_;
  std::string peer_address_;
  asio::steady_timer timer_;
  MessageParser parser_;
  std::string input_;
  std::deque<PendingRequest> pipeline_;
  std::uint64_t next_number_ = 1;
  std::vector<Output> output_;  // In the order of the requests.
  Output writing_;
  std::size_t written_ = 0;       // Of the bytes that are being written.
  std::size_t unread_bytes_ = 0;  // Of all responses that are not written.
  base::TimePoint progressed_at_{};
  base::TimePoint received_at_{};  // When bytes last arrived.
  base::TimePoint advanced_at_{};
  std::size_t bytes_since_advance_ = 0;
  std::size_t request_bytes_ = 0;  // Of the request being read, as counted at the server.
  std::size_t input_bytes_ = 0;    // That wait unparsed, as counted at the server.
  bool has_continued_ = false;  // The caller of the request being read was told to send its body.
  bool is_reading_ = false;
  bool is_writing_ = false;
  bool is_discarding_input_ = false;  // Bytes that arrive from now on are read but not parsed.
  bool closes_after_write_ = false;
  bool is_lingering_ = false;
  bool is_closed_ = false;
};

}  // namespace borageloft::http_stream

#endif  // BORAGELOFT_HTTP_STREAM_SESSION_H_
