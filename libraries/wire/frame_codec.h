#ifndef BORAGELOFT_WIRE_FRAME_CODEC_H_
#define BORAGELOFT_WIRE_FRAME_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/wire/frame.h"

namespace borageloft::wire {

/** A peer sent bytes that are no frame, or a frame exceeds a bound. */
class WireError : public base::Error {
 public:
  using Error::Error;
};

/** Bytes of the length prefix: the payload's length, big-endian. */
constexpr std::size_t kLengthPrefix = 4;

/**
 * Encodes a frame with its length prefix.
 * @param maximum_bytes Largest payload allowed.
 * @throws WireError when the payload is larger.
 */
std::string EncodeFrame(const Frame& frame, std::size_t maximum_bytes);

/**
 * Decodes the payload of one frame, without its length prefix.
 * @throws WireError when the payload is no whole frame of a known type.
 */
Frame DecodeFrame(std::string_view payload);

/** Splits a byte stream into frames. */
class FrameReader {
 public:
  /** @param maximum_bytes Largest payload allowed. */
  explicit FrameReader(std::size_t maximum_bytes) : maximum_bytes_(maximum_bytes) {}

  /** Adds received bytes. */
  void Append(std::string_view bytes);

  /**
   * Takes the next whole frame.
   * @return The frame, or nothing until more bytes arrive.
   * @throws WireError as soon as a length prefix exceeds the bound, before its payload is stored.
   */
  std::optional<Frame> Next();

 private:
  std::size_t maximum_bytes_;
  std::string buffer_;
  std::size_t consumed_ = 0;
};

}  // namespace borageloft::wire

#endif  // BORAGELOFT_WIRE_FRAME_CODEC_H_
