#include "libraries/transport/stream_compression.h"

#include <array>

#include "libraries/base/base.h"
#include "libraries/wire/wire.h"

namespace borageloft::transport {

namespace {

// A window of 8 KB spans several messages; larger ones cost memory on every connection.
constexpr int kWindowBits = 13;
constexpr int kMemoryLevel = 5;
constexpr int kLevel = 1;
constexpr std::size_t kChunkBytes = 16 * 1024;

// zlib takes its input through a pointer that is not const and does not write to it.
Bytef* InputOf(std::string_view bytes) {
  return reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
}

}  // namespace

StreamCompressor::StreamCompressor() {
  const int result =
      deflateInit2(&stream_, kLevel, Z_DEFLATED, kWindowBits, kMemoryLevel, Z_DEFAULT_STRATEGY);
  VERIFY(result == Z_OK);
}

StreamCompressor::~StreamCompressor() { deflateEnd(&stream_); }

std::string StreamCompressor::Add(std::string_view bytes) {
  std::string piece;
  std::array<char, kChunkBytes> chunk{};
  stream_.next_in = InputOf(bytes);
  stream_.avail_in = static_cast<uInt>(bytes.size());
  do {
    stream_.next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream_.avail_out = static_cast<uInt>(chunk.size());
    deflate(&stream_, Z_SYNC_FLUSH);
    piece.append(chunk.data(), chunk.size() - stream_.avail_out);
  } while (stream_.avail_out == 0);
  return piece;
}

std::size_t StreamCompressor::Bound(std::size_t size) {
  // Bytes that do not compress are stored, with five bytes for each 16 KB and some for the frame.
  constexpr std::size_t kFrameBytes = 1024;
  return size + size / 1024 + kFrameBytes;
}

StreamDecompressor::StreamDecompressor(std::size_t most_bytes) : most_bytes_(most_bytes) {
  const int result = inflateInit2(&stream_, kWindowBits);
  VERIFY(result == Z_OK);
}

StreamDecompressor::~StreamDecompressor() { inflateEnd(&stream_); }

std::string StreamDecompressor::Take(std::string_view piece) {
  std::string bytes;
  std::array<char, kChunkBytes> chunk{};
  stream_.next_in = InputOf(piece);
  stream_.avail_in = static_cast<uInt>(piece.size());
  do {
    stream_.next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream_.avail_out = static_cast<uInt>(chunk.size());
    const int result = inflate(&stream_, Z_SYNC_FLUSH);
    if (result != Z_OK && result != Z_BUF_ERROR) {
      throw wire::WireError("a compressed piece is damaged");
    }
    bytes.append(chunk.data(), chunk.size() - stream_.avail_out);
    if (bytes.size() > most_bytes_) {
      throw wire::WireError("a compressed piece holds too many bytes");
    }
  } while (stream_.avail_out == 0);
  return bytes;
}

}  // namespace borageloft::transport
