#include "libraries/http_stream/message_parser.h"

#include <algorithm>
#include <utility>

namespace borageloft::http_stream {

namespace {

constexpr int kContinueParsing = 0;
constexpr int kSkipBody = 1;
constexpr int kAbort = -1;
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;
// Interim responses before a final one; a peer that sends more does not come to an end.
constexpr unsigned kMaxInterimResponses = 16;

}  // namespace

MessageParser::MessageParser(MessageKind kind, MessageLimits limits)
    : kind_(kind), limits_(limits), syntax_(limits.header_bytes) {
  Reset();
}

MessageParser& MessageParser::Self(http_parser* parser) {
  return *static_cast<MessageParser*>(parser->data);
}

const http_parser_settings& MessageParser::Callbacks() {
  static const http_parser_settings kCallbacks = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_message_begin = [](http_parser* parser) {
      Self(parser).state_ = ParseState::kHeader;
      return kContinueParsing;
    };
    callbacks.on_url = [](http_parser* parser, const char* data, std::size_t size) {
      Self(parser).target_.append(data, size);
      return kContinueParsing;
    };
    callbacks.on_header_field = [](http_parser* parser, const char* data, std::size_t size) {
      Self(parser).AppendToHeader({data, size}, true);
      return kContinueParsing;
    };
    callbacks.on_header_value = [](http_parser* parser, const char* data, std::size_t size) {
      Self(parser).AppendToHeader({data, size}, false);
      return kContinueParsing;
    };
    callbacks.on_headers_complete = [](http_parser* parser) {
      return Self(parser).HandleHeadersComplete();
    };
    callbacks.on_body = [](http_parser* parser, const char* data, std::size_t size) {
      MessageParser& self = Self(parser);
      if (self.body_.size() + size > self.limits_.body_bytes) {
        self.state_ = ParseState::kBodyTooLarge;
        return kAbort;
      }
      self.GrowBody(size);
      self.body_.append(data, size);
      return kContinueParsing;
    };
    callbacks.on_message_complete = [](http_parser* parser) {
      return Self(parser).HandleMessageComplete();
    };
    return callbacks;
  }();
  return kCallbacks;
}

std::size_t MessageParser::Feed(std::string_view bytes) {
  if (bytes.empty() || state_ == ParseState::kComplete || has_failed()) {
    return 0;
  }
  const bool was_in_header = state_ == ParseState::kIdle || state_ == ParseState::kHeader;
  const std::size_t consumed =
      http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
  if (state_ == ParseState::kIdle || state_ == ParseState::kHeader) {
    header_bytes_ += was_in_header ? consumed : 0;
    if (header_bytes_ > limits_.header_bytes) {
      state_ = ParseState::kHeaderTooLarge;
    }
  }
  const auto error = HTTP_PARSER_ERRNO(&parser_);
  CheckSyntax(bytes.substr(0, consumed));
  if (has_failed() || state_ == ParseState::kComplete) {
    return consumed;
  }
  if (error != HPE_OK || parser_.upgrade != 0) {
    state_ = error == HPE_HEADER_OVERFLOW ? ParseState::kHeaderTooLarge : ParseState::kMalformed;
  }
  return consumed;
}

// http_parser accepts more than the grammar, and where it does it may see another end.
void MessageParser::CheckSyntax(std::string_view consumed) {
  if (kind_ != MessageKind::kResponse || has_failed()) {
    return;
  }
  const bool is_valid = syntax_.Feed(consumed);
  if (!is_valid || (state_ == ParseState::kComplete && !syntax_.MayEnd())) {
    state_ = ParseState::kMalformed;
  }
}

void MessageParser::FinishAtEnd() {
  if (state_ == ParseState::kComplete || has_failed()) {
    return;
  }
  http_parser_execute(&parser_, &Callbacks(), nullptr, 0);
  if (state_ != ParseState::kComplete) {
    state_ = ParseState::kMalformed;
  }
}

bool MessageParser::has_failed() const {
  return state_ == ParseState::kHeaderTooLarge || state_ == ParseState::kBodyTooLarge ||
         state_ == ParseState::kMalformed;
}

std::size_t MessageParser::reserved_bytes() const {
  return header_bytes_ + fields_.size() * sizeof(wire::Header) +
         std::max(stated_body_bytes_, body_.size());
}

int MessageParser::HandleHeadersComplete() {
  // Beside final responses there are interim ones, but no upgrade is ever asked for.
  const bool is_interim = parser_.status_code >= kFirstStatus &&
                          parser_.status_code < kFirstFinalStatus &&
                          parser_.status_code != kSwitchingProtocols;
  if (kind_ == MessageKind::kResponse && !is_interim && !wire::IsFinalStatus(parser_.status_code)) {
    state_ = ParseState::kMalformed;
    return kAbort;
  }
  std::size_t bytes = target_.size();
  for (const wire::Header& field : fields_) {
    // http_parser accepts spaces and tabs in field names. Such a field is recognized by some HTTP
    // implementations and ignored by others.
    if (field.name.find_first_of(" \t") != std::string::npos) {
      state_ = ParseState::kMalformed;
      return kAbort;
    }
    bytes += field.name.size() + field.value.size() + 4;
  }
  if (bytes > limits_.header_bytes) {
    state_ = ParseState::kHeaderTooLarge;
    return kAbort;
  }
  const bool is_chunked = (parser_.flags & F_CHUNKED) != 0;
  const bool has_length = (parser_.flags & F_CONTENTLENGTH) != 0;
  if (kind_ == MessageKind::kRequest && parser_.uses_transfer_encoding != 0 && !is_chunked) {
    state_ = ParseState::kMalformed;
    return kAbort;
  }
  // These end with their header, whatever it states (RFC 9112, section 6.3).
  const bool has_no_body = kind_ == MessageKind::kResponse &&
                           (expects_no_body_ || is_interim || parser_.status_code == kNoContent ||
                            parser_.status_code == kNotModified);
  if (has_length && parser_.content_length > limits_.body_bytes && !has_no_body) {
    state_ = ParseState::kBodyTooLarge;
    return kAbort;
  }
  header_bytes_ = bytes;
  state_ = ParseState::kBody;
  ends_with_stream_ = kind_ == MessageKind::kResponse && !has_no_body && !is_chunked && !has_length;
  if (has_length && !has_no_body) {
    stated_body_bytes_ = static_cast<std::size_t>(parser_.content_length);
    if (kind_ == MessageKind::kRequest) {
      body_.reserve(stated_body_bytes_);  // Growing would hold up to three times the size.
    }
  }
  status_ = parser_.status_code;
  const std::string* expect = FindField(fields_, "expect");
  expects_continue_ = expect != nullptr && EqualsIgnoreCase(*expect, "100-continue");
  return has_no_body ? kSkipBody : kContinueParsing;
}

int MessageParser::HandleMessageComplete() {
  if (kind_ == MessageKind::kResponse && status_ < kFirstFinalStatus) {
    // This is an interim (1xx) response; the final one follows.
    const bool expects_no_body = expects_no_body_;
    fields_.clear();
    is_in_value_ = false;
    body_.clear();
    header_bytes_ = 0;
    state_ = ParseState::kIdle;
    expects_no_body_ = expects_no_body;
    if (++interim_responses_ > kMaxInterimResponses) {
      state_ = ParseState::kMalformed;
      return kAbort;
    }
    return kContinueParsing;
  }
  keeps_alive_ = http_should_keep_alive(&parser_) != 0;
  state_ = ParseState::kComplete;
  // Makes http_parser stop before the first byte of the next message.
  http_parser_pause(&parser_, 1);
  return kContinueParsing;
}

// By default a string doubles, so that a body without a stated length may take twice its size.
void MessageParser::GrowBody(std::size_t added) {
  const std::size_t needed = body_.size() + added;
  if (needed > body_.capacity()) {
    const std::size_t expected = stated_body_bytes_ > 0 ? stated_body_bytes_ : limits_.body_bytes;
    body_.reserve(std::min(needed + needed / 4, std::max(needed, expected)));
  }
}

void MessageParser::AppendToHeader(std::string_view text, bool is_name) {
  if (state_ == ParseState::kBody) {
    return;  // Trailer fields are discarded.
  }
  if (is_name) {
    if (fields_.empty() || is_in_value_) {
      fields_.emplace_back();
    }
    fields_.back().name.append(text);
  } else {
    fields_.back().value.append(text);
  }
  is_in_value_ = !is_name;
}

void MessageParser::Reset() {
  http_parser_init(&parser_, kind_ == MessageKind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  syntax_ = ResponseSyntax(limits_.header_bytes);
  state_ = ParseState::kIdle;
  base::ReleaseBuffer(target_);
  Fields().swap(fields_);
  is_in_value_ = false;
  base::ReleaseBuffer(body_);
  header_bytes_ = 0;
  stated_body_bytes_ = 0;
  interim_responses_ = 0;
  expects_no_body_ = false;
  expects_continue_ = false;
  ends_with_stream_ = false;
  keeps_alive_ = true;
  status_ = 0;
}

void MessageParser::Discard() { Reset(); }

RequestMessage MessageParser::TakeRequest() {
  VERIFY(kind_ == MessageKind::kRequest && state_ == ParseState::kComplete);
  RequestMessage message;
  message.method = http_method_str(static_cast<http_method>(parser_.method));
  message.target = std::move(target_);
  message.fields = std::move(fields_);
  message.body = std::move(body_);
  message.keeps_alive = keeps_alive_;
  Reset();
  return message;
}

ResponseMessage MessageParser::TakeResponse() {
  VERIFY(kind_ == MessageKind::kResponse && state_ == ParseState::kComplete);
  ResponseMessage message;
  message.status = status_;
  message.fields = std::move(fields_);
  message.body = std::move(body_);
  message.keeps_alive = keeps_alive_;
  Reset();
  return message;
}

}  // namespace borageloft::http_stream
