#ifndef BORAGELOFT_TRANSPORT_STREAM_COMPRESSION_H_
#define BORAGELOFT_TRANSPORT_STREAM_COMPRESSION_H_

#include <zlib.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace borageloft::transport {

/**
 * Compresses one direction of a connection as a single stream, so that headers that repeat from one
 * message to the next take little room. Sized to cost about 32 KB a connection.
 */
class StreamCompressor {
 public:
  StreamCompressor();
  ~StreamCompressor();

  StreamCompressor(const StreamCompressor&) = delete;
  StreamCompressor& operator=(const StreamCompressor&) = delete;

  /** @return The next piece of the stream, from which @p bytes can be read in full. */
  std::string Add(std::string_view bytes);

  /** @return Most bytes that a piece for @p size bytes takes, with its frame. */
  static std::size_t Bound(std::size_t size);

 private:
  z_stream stream_{};
};

/** Reads what a StreamCompressor wrote. */
class StreamDecompressor {
 public:
  /** @param most_bytes Most bytes that one piece may hold. */
  explicit StreamDecompressor(std::size_t most_bytes);
  ~StreamDecompressor();

  StreamDecompressor(const StreamDecompressor&) = delete;
  StreamDecompressor& operator=(const StreamDecompressor&) = delete;

  /**
   * @return The bytes of the next piece.
   * @throws wire::WireError if the piece is damaged or holds too many bytes.
   */
  std::string Take(std::string_view piece);

 private:
  z_stream stream_{};
  std::size_t most_bytes_;
};

}  // namespace borageloft::transport

#endif  // BORAGELOFT_TRANSPORT_STREAM_COMPRESSION_H_
