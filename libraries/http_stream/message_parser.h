#ifndef BORAGELOFT_HTTP_STREAM_MESSAGE_PARSER_H_
#define BORAGELOFT_HTTP_STREAM_MESSAGE_PARSER_H_

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "libraries/http_stream/message.h"
#include "libraries/http_stream/response_syntax.h"

namespace borageloft::http_stream {

/** Kind of message that a parser accepts. */
enum class MessageKind { kRequest, kResponse };

/** Maximum sizes of the parts of a message, in bytes. */
struct MessageLimits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 8 * 1024 * 1024;
};

/** Progress of a parser within the current message. */
enum class ParseState {
  kIdle,            // No byte of a message has been parsed.
  kHeader,          // Within the header.
  kBody,            // Within the body.
  kComplete,        // A complete message can be taken.
  kHeaderTooLarge,  // Failed: the header exceeds its limit.
  kBodyTooLarge,    // Failed: the body exceeds its limit.
  kMalformed,       // Failed: the bytes are not a valid message.
};

/**
 * Incremental parser that reads one HTTP/1.1 message at a time, built on the http_parser library.
 * To prevent request smuggling, it rejects messages whose framing is ambiguous: both Content-Length
 * and chunked coding, several lengths, or an unknown transfer coding. Responses are also held to
 * the grammar of RFC 9112 (ResponseSyntax). Not thread-safe.
 */
class MessageParser {
 public:
  MessageParser(MessageKind kind, MessageLimits limits);

  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /**
   * Parses bytes up to the end of the current message.
   * @return Number of bytes consumed; the rest belongs to the next message.
   */
  std::size_t Feed(std::string_view bytes);

  /** Handles the end of the stream, which completes a response without a stated length. */
  void FinishAtEnd();

  /**
   * @param expects_no_body Whether the next response has no body, whatever its header states (a
   *                        response to HEAD).
   */
  void set_expects_no_body(bool expects_no_body) {
    expects_no_body_ = expects_no_body;
    syntax_.set_expects_no_body(expects_no_body);
  }

  ParseState state() const { return state_; }
  bool has_failed() const;
  /** @return Whether the end of the stream ends the body of the current response, which has no
   * other framing. */
  bool ends_with_stream() const { return ends_with_stream_; }
  /** @return Bytes of the current message that are in memory. */
  std::size_t held_bytes() const { return header_bytes_ + body_.capacity(); }
  /** @return Memory that the current message is known to take: its header and the stated length of
   * its body, or what has arrived of a body without one. */
  std::size_t reserved_bytes() const;
  /** @return Whether the current request has the field `Expect: 100-continue`. */
  bool expects_continue() const { return expects_continue_; }

  /** @return The complete request; resets the parser for the next one. */
  RequestMessage TakeRequest();
  /** @return The complete response; resets the parser for the next one. */
  ResponseMessage TakeResponse();

  /** Drops the current message and its memory. */
  void Discard();

  /** Replaces the limits. Call between messages: a message in progress is checked against them. */
  void set_limits(MessageLimits limits) { limits_ = limits; }

 private:
  static const http_parser_settings& Callbacks();
  static MessageParser& Self(http_parser* parser);

  void CheckSyntax(std::string_view consumed);
  int HandleHeadersComplete();
  int HandleMessageComplete();
  void GrowBody(std::size_t added);
  void AppendToHeader(std::string_view text, bool is_name);
  void Reset();

  MessageKind kind_;
  MessageLimits limits_;
  http_parser parser_{};
  ResponseSyntax syntax_;
  ParseState state_ = ParseState::kIdle;
  std::string target_;
  Fields fields_;
  bool is_in_value_ = false;
  std::string body_;
  std::size_t header_bytes_ = 0;
  std::size_t stated_body_bytes_ = 0;
  unsigned interim_responses_ = 0;
  bool expects_no_body_ = false;
  bool expects_continue_ = false;
  bool ends_with_stream_ = false;
  bool keeps_alive_ = true;
  unsigned status_ = 0;
};

}  // namespace borageloft::http_stream

#endif  // BORAGELOFT_HTTP_STREAM_MESSAGE_PARSER_H_
