#include "libraries/workbench/answer.h"

#include <fmt/format.h>
#include <json/json.h>

#include <memory>

#include "libraries/base/base.h"

namespace borageloft::workbench {

namespace {

// The padding depends on the request, so that a mix of two answers fails the checksum.
std::string MakePadding(std::string_view request_id, std::size_t bytes) {
  constexpr std::size_t kLetters = 26;
  std::string padding(bytes, 'a');
  const std::uint64_t start = base::Hash(request_id);
  for (std::size_t i = 0; i < bytes; ++i) {
    padding[i] = static_cast<char>('a' + (start + i * 7) % kLetters);
  }
  return padding;
}

std::string Checksum(std::string_view service, std::string_view request_id,
                     std::string_view padding) {
  const std::uint64_t seed = base::Hash(service, base::Hash(request_id));
  return fmt::format("{:016x}", base::Hash(padding, seed));
}

}  // namespace

std::string BuildAnswer(std::string_view service, std::string_view request_id,
                        std::size_t padding_bytes) {
  const std::string padding = MakePadding(request_id, padding_bytes);
  Json::Value answer(Json::objectValue);
  answer["service"] = std::string(service);
  answer["request"] = std::string(request_id);
  answer["padding"] = padding;
  answer["checksum"] = Checksum(service, request_id, padding);
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, answer);
}

AnswerCheck CheckAnswer(std::string_view body, std::string_view service,
                        std::string_view request_id) {
  const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
  Json::Value answer;
  if (!reader->parse(body.data(), body.data() + body.size(), &answer, nullptr) ||
      !answer.isObject()) {
    return AnswerCheck::kDamaged;
  }
  for (const char* member : {"service", "request", "padding", "checksum"}) {
    if (!answer[member].isString()) {
      return AnswerCheck::kDamaged;
    }
  }
  const std::string own_service = answer["service"].asString();
  const std::string own_request = answer["request"].asString();
  if (answer["checksum"].asString() !=
      Checksum(own_service, own_request, answer["padding"].asString())) {
    return AnswerCheck::kDamaged;
  }
  const bool is_own = own_request == request_id && (service.empty() || own_service == service);
  return is_own ? AnswerCheck::kWhole : AnswerCheck::kForeign;
}

}  // namespace borageloft::workbench
