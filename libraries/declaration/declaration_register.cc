#include "libraries/declaration/declaration_register.h"

#include <zlib.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace borageloft::declaration {

namespace {

constexpr std::size_t kNumberBytes = 8;

void AppendNumber(std::string& bytes, std::uint64_t number) {
  for (std::size_t i = 0; i < kNumberBytes; ++i) {
    bytes += static_cast<char>((number >> (8 * i)) & 0xffU);
  }
}

std::uint64_t ReadNumber(std::string_view& bytes) {
  if (bytes.size() < kNumberBytes) {
    throw DeclarationError("declaration data is truncated");
  }
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < kNumberBytes; ++i) {
    number |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  }
  bytes.remove_prefix(kNumberBytes);
  return number;
}

std::uint64_t ComputeDigest(std::string_view text) { return base::Hash(text); }

// Begins a compressed text, and is followed by the size of the text. No declaration begins with it.
constexpr char kCompressedMark = '\0';
// A shorter text is stored as it is, because hosts of an earlier release cannot decompress it.
constexpr std::size_t kMinCompressedBytes = std::size_t{256} << 10U;
constexpr std::uint64_t kMaxTextBytes = std::uint64_t{16} << 20U;

std::string Compress(const std::string& text) {
  uLongf size = compressBound(text.size());
  std::string compressed(size, '\0');
  // The output has room for the worst case, so only a lack of memory can make this fail.
  if (compress2(reinterpret_cast<Bytef*>(compressed.data()), &size,
                reinterpret_cast<const Bytef*>(text.data()), text.size(),
                Z_DEFAULT_COMPRESSION) != Z_OK) {
    throw DeclarationError("declaration cannot be compressed");
  }
  compressed.resize(size);
  return compressed;
}

std::string Decompress(std::string_view bytes) {
  const std::uint64_t stated_size = ReadNumber(bytes);
  if (stated_size > kMaxTextBytes) {
    throw DeclarationError("compressed declaration is too large");
  }
  std::string text(stated_size, '\0');
  uLongf size = text.size();
  if (uncompress(reinterpret_cast<Bytef*>(text.data()), &size,
                 reinterpret_cast<const Bytef*>(bytes.data()), bytes.size()) != Z_OK ||
      size != text.size()) {
    throw DeclarationError("compressed declaration is damaged");
  }
  return text;
}

}  // namespace

std::string EncodeCommand(const ReplaceCommand& command) {
  std::string bytes;
  AppendNumber(bytes, command.base);
  AppendNumber(bytes, command.version);
  if (command.text.size() < kMinCompressedBytes) {
    bytes += command.text;
    return bytes;
  }
  bytes += kCompressedMark;
  AppendNumber(bytes, command.text.size());
  bytes += Compress(command.text);
  return bytes;
}

ReplaceCommand DecodeCommand(std::string_view bytes) {
  ReplaceCommand command;
  command.base = ReadNumber(bytes);
  command.version = ReadNumber(bytes);
  if (bytes.starts_with(kCompressedMark)) {
    command.text = Decompress(bytes.substr(1));
  } else {
    command.text = std::string(bytes);
  }
  return command;
}

ReplaceOutcome DeclarationRegister::Preview(const ReplaceCommand& command) const {
  const std::uint64_t digest = ComputeDigest(command.text);
  const bool was_accepted =
      std::any_of(history_.rbegin(), history_.rend(), [&](const Accepted& accepted) {
        return accepted.base == command.base && accepted.version == command.version &&
               accepted.digest == digest;
      });
  if (was_accepted) {
    return ReplaceOutcome::kAcceptedEarlier;
  }
  if (command.base != version_) {
    return ReplaceOutcome::kWrongBase;
  }
  return command.version > version_ ? ReplaceOutcome::kAccepted : ReplaceOutcome::kNotAbove;
}

ReplaceOutcome DeclarationRegister::Apply(const ReplaceCommand& command) {
  const ReplaceOutcome outcome = Preview(command);
  if (outcome == ReplaceOutcome::kAccepted) {
    VERIFY(command.version > version_);
    version_ = command.version;
    text_ = command.text;
    history_.push_back({command.base, command.version, ComputeDigest(command.text)});
    if (history_.size() > kMaxHistoryEntries) {
      history_.pop_front();
    }
  }
  return outcome;
}

std::string DeclarationRegister::Snapshot() const {
  std::string bytes;
  AppendNumber(bytes, version_);
  AppendNumber(bytes, history_.size());
  for (const Accepted& accepted : history_) {
    AppendNumber(bytes, accepted.base);
    AppendNumber(bytes, accepted.version);
    AppendNumber(bytes, accepted.digest);
  }
  bytes += text_;
  return bytes;
}

void DeclarationRegister::Restore(std::string_view data) {
  version_ = 0;
  text_.clear();
  history_.clear();
  if (data.empty()) {
    return;
  }
  const Version version = ReadNumber(data);
  const std::uint64_t count = ReadNumber(data);
  if (count > kMaxHistoryEntries) {
    throw DeclarationError("declaration snapshot has too many history entries");
  }
  for (std::uint64_t i = 0; i < count; ++i) {
    Accepted accepted;
    accepted.base = ReadNumber(data);
    accepted.version = ReadNumber(data);
    accepted.digest = ReadNumber(data);
    history_.push_back(accepted);
  }
  version_ = version;
  text_ = std::string(data);
}

}  // namespace borageloft::declaration
