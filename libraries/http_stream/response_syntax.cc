#include "libraries/http_stream/response_syntax.h"

#include <algorithm>
#include <charconv>

namespace borageloft::http_stream {

namespace {

constexpr std::string_view kBlanks = " \t";
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

bool IsDigit(char character) { return character >= '0' && character <= '9'; }

bool IsTokenCharacter(char character) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return IsDigit(character) || (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') || kMarks.find(character) != std::string_view::npos;
}

bool IsTextCharacter(char character) {
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(character);
  return character == '\t' || (byte >= ' ' && byte != kDelete);
}

bool IsNumber(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsDigit);
}

std::string_view TrimBlanks(std::string_view text) {
  text.remove_prefix(std::min(text.find_first_not_of(kBlanks), text.size()));
  return text.substr(0, text.find_last_not_of(kBlanks) + 1);
}

// Removes @p character from the front of @p text. Returns whether it stood there.
bool Skip(std::string_view& text, char character) {
  if (text.empty() || text.front() != character) {
    return false;
  }
  text.remove_prefix(1);
  return true;
}

void SkipBlanks(std::string_view& text) {
  text.remove_prefix(std::min(text.find_first_not_of(kBlanks), text.size()));
}

bool SkipToken(std::string_view& text) {
  const auto* end = std::find_if_not(text.begin(), text.end(), IsTokenCharacter);
  const auto size = static_cast<std::size_t>(end - text.begin());
  text.remove_prefix(size);
  return size > 0;
}

bool SkipQuotedString(std::string_view& text) {
  if (!Skip(text, '"')) {
    return false;
  }
  while (!text.empty() && text.front() != '"') {
    Skip(text, '\\');
    if (text.empty() || !IsTextCharacter(text.front())) {
      return false;
    }
    text.remove_prefix(1);
  }
  return Skip(text, '"');
}

// Returns whether @p text is a list of chunk extensions (RFC 9112, section 7.1.1).
bool AreChunkExtensions(std::string_view text) {
  while (!text.empty()) {
    SkipBlanks(text);
    if (!Skip(text, ';')) {
      return false;
    }
    SkipBlanks(text);
    if (!SkipToken(text)) {
      return false;
    }
    std::string_view value = text;
    SkipBlanks(value);
    if (Skip(value, '=')) {
      SkipBlanks(value);
      if (!SkipToken(value) && !SkipQuotedString(value)) {
        return false;
      }
      text = value;
    }
  }
  return true;
}

}  // namespace

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

bool IsFieldText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), IsTextCharacter);
}

bool AreValid(const Fields& fields) {
  return std::all_of(fields.begin(), fields.end(), [](const wire::Header& field) {
    return IsToken(field.name) && IsFieldText(field.value);
  });
}

bool ResponseSyntax::Feed(std::string_view bytes) {
  while (!bytes.empty() && part_ != Part::kInvalid && part_ != Part::kBody) {
    if (part_ == Part::kChunkData) {
      const auto size =
          static_cast<std::size_t>(std::min<std::uint64_t>(bytes.size(), chunk_left_));
      bytes.remove_prefix(size);
      chunk_left_ -= size;
      part_ = chunk_left_ == 0 ? Part::kChunkEnd : Part::kChunkData;
    } else {
      FeedLine(bytes);
    }
  }
  return part_ != Part::kInvalid;
}

void ResponseSyntax::FeedLine(std::string_view& bytes) {
  const std::size_t size = std::min(bytes.find('\n'), bytes.size());
  const bool is_complete = size < bytes.size();
  line_.append(bytes.substr(0, size));
  bytes.remove_prefix(is_complete ? size + 1 : size);
  if (line_.size() > longest_line_) {
    part_ = Part::kInvalid;
  } else if (is_complete) {
    const bool has_line_end = line_.ends_with('\r');
    part_ = has_line_end ? CheckLine(std::string_view(line_).substr(0, line_.size() - 1))
                         : Part::kInvalid;
    line_.clear();
  }
}

ResponseSyntax::Part ResponseSyntax::CheckLine(std::string_view line) {
  switch (part_) {
    case Part::kStatusLine:
      return CheckStatusLine(line);
    case Part::kFields:
      return line.empty() ? FinishHead() : CheckField(line);
    case Part::kChunkSize:
      return CheckChunkSize(line);
    case Part::kChunkEnd:
      return line.empty() ? Part::kChunkSize : Part::kInvalid;
    case Part::kTrailer:
      return line.empty() ? Part::kEnd : CheckField(line);
    default:
      return Part::kInvalid;
  }
}

ResponseSyntax::Part ResponseSyntax::CheckStatusLine(std::string_view line) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kStatusBegin = kVersion.size() + 2;
  constexpr std::size_t kStatusEnd = kStatusBegin + 3;
  if (line.size() < kStatusEnd || !line.starts_with(kVersion) || !IsDigit(line[kVersion.size()]) ||
      line[kStatusBegin - 1] != ' ') {
    return Part::kInvalid;
  }
  const std::string_view status = line.substr(kStatusBegin, kStatusEnd - kStatusBegin);
  const std::string_view reason = line.substr(kStatusEnd);
  if (!IsNumber(status) || (!reason.empty() && reason.front() != ' ') || !IsFieldText(reason)) {
    return Part::kInvalid;
  }
  std::from_chars(status.data(), status.data() + status.size(), status_);
  is_version_1_0_ = line[kVersion.size()] == '0';
  has_length_ = false;
  is_chunked_ = false;
  return Part::kFields;
}

ResponseSyntax::Part ResponseSyntax::CheckField(std::string_view line) {
  const std::size_t colon = std::min(line.find(':'), line.size());
  const std::string_view name = line.substr(0, colon);
  if (colon == line.size() || !IsToken(name) || !IsFieldText(line.substr(colon + 1))) {
    return Part::kInvalid;
  }
  if (part_ == Part::kTrailer) {
    return part_;
  }
  const std::string_view value = TrimBlanks(line.substr(colon + 1));
  if (EqualsIgnoreCase(name, "content-length")) {
    if (has_length_ || !IsNumber(value)) {
      return Part::kInvalid;
    }
    has_length_ = true;
  } else if (EqualsIgnoreCase(name, "transfer-encoding")) {
    // No other coding is ever asked for. HTTP/1.0 has none (RFC 9112, section 6.1).
    if (is_chunked_ || is_version_1_0_ || !EqualsIgnoreCase(value, "chunked")) {
      return Part::kInvalid;
    }
    is_chunked_ = true;
  }
  return has_length_ && is_chunked_ ? Part::kInvalid : part_;
}

ResponseSyntax::Part ResponseSyntax::FinishHead() {
  if (status_ < kFirstFinalStatus) {
    return Part::kStatusLine;  // The final response follows.
  }
  if (expects_no_body_ || status_ == kNoContent || status_ == kNotModified) {
    return Part::kEnd;
  }
  return is_chunked_ ? Part::kChunkSize : Part::kBody;
}

ResponseSyntax::Part ResponseSyntax::CheckChunkSize(std::string_view line) {
  constexpr int kHexadecimal = 16;
  const auto parsed =
      std::from_chars(line.data(), line.data() + line.size(), chunk_left_, kHexadecimal);
  const auto size = static_cast<std::size_t>(parsed.ptr - line.data());
  if (parsed.ec != std::errc() || !AreChunkExtensions(line.substr(size))) {
    return Part::kInvalid;
  }
  return chunk_left_ == 0 ? Part::kTrailer : Part::kChunkData;
}

}  // namespace borageloft::http_stream
