#ifndef BORAGELOFT_HTTP_STREAM_RESPONSE_SYNTAX_H_
#define BORAGELOFT_HTTP_STREAM_RESPONSE_SYNTAX_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "libraries/http_stream/message.h"

namespace borageloft::http_stream {

/** @return Whether @p text is a token (RFC 9110, section 5.6.2), as the name of a field must be. */
bool IsToken(std::string_view text);

/** @return Whether @p text has only bytes that the value of a field may have (RFC 9110,
 * section 5.5); in particular no control bytes apart from tabs. */
bool IsFieldText(std::string_view text);

/** @return Whether all names and values may be written as fields of a message. */
bool AreValid(const Fields& fields);

/**
 * Checks the lines of one HTTP/1.x response against the grammar of RFC 9112, and that its framing
 * is unambiguous. HTTP libraries accept more than the grammar: bare line feeds, folded fields,
 * control bytes, any bytes in place of the line ends of chunks. Not thread-safe.
 *
 * It rejects two forms that a recipient may accept: a bare line feed as the end of a line, and a
 * folded field value. It accepts a status line that ends after the status.
 */
class ResponseSyntax {
 public:
  /** @param longest_line Length in bytes from which a line is invalid, without its line end. */
  explicit ResponseSyntax(std::size_t longest_line) : longest_line_(longest_line) {}

  /**
   * Checks the next bytes of the response; interim (1xx) responses before it belong to it.
   * @return Whether all bytes so far are valid.
   */
  bool Feed(std::string_view bytes);

  /**
   * @return Whether the response may end here: it has no body, its last chunk and trailer are
   *         complete, or its body is framed by a length or by the end of the stream, which the
   *         caller checks.
   */
  bool MayEnd() const { return part_ == Part::kBody || part_ == Part::kEnd; }

  /** @param expects_no_body Whether the response has no body (a response to HEAD). */
  void set_expects_no_body(bool expects_no_body) { expects_no_body_ = expects_no_body; }

 private:
  enum class Part {
    kStatusLine,
    kFields,
    kBody,  // Not checked: framed by a length or by the end of the stream.
    kChunkSize,
    kChunkData,
    kChunkEnd,
    kTrailer,
    kEnd,
    kInvalid,
  };

  void FeedLine(std::string_view& bytes);
  Part CheckLine(std::string_view line);
  Part CheckStatusLine(std::string_view line);
  Part CheckField(std::string_view line);
  Part CheckChunkSize(std::string_view line);
  Part FinishHead();

  std::size_t longest_line_;
  Part part_ = Part::kStatusLine;
  std::string line_;  // Its part in earlier bytes.
  unsigned status_ = 0;
  bool is_version_1_0_ = false;
  bool has_length_ = false;
  bool is_chunked_ = false;
  bool expects_no_body_ = false;
  std::uint64_t chunk_left_ = 0;
};

}  // namespace borageloft::http_stream

#endif  // BORAGELOFT_HTTP_STREAM_RESPONSE_SYNTAX_H_
