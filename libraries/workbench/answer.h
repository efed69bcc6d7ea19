#ifndef BORAGELOFT_WORKBENCH_ANSWER_H_
#define BORAGELOFT_WORKBENCH_ANSWER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace borageloft::workbench {

/** Header that carries the identifier of a caller's request; the stand-in echoes it. */
inline constexpr const char* kRequestIdHeader = "X-Request-Id";

/** Verdict on the body of an answer. */
enum class AnswerCheck {
  kWhole,    ///< Complete, and it belongs to the request.
  kDamaged,  ///< Truncated, altered or not an answer of a stand-in.
  kForeign,  ///< Complete, but it belongs to another request or service.
};

/**
 * @param service Service of the answering stand-in.
 * @param request_id Identifier of the request, echoed.
 * @param padding_bytes Size of the padding.
 * @return Answer body: a JSON object with service, request, padding and a checksum of these three.
 */
std::string BuildAnswer(std::string_view service, std::string_view request_id,
                        std::size_t padding_bytes);

/**
 * @param body Body that was received.
 * @param service Expected service; an empty one accepts every service.
 * @param request_id Expected request identifier.
 */
AnswerCheck CheckAnswer(std::string_view body, std::string_view service,
                        std::string_view request_id);

}  // namespace borageloft::workbench

#endif  // BORAGELOFT_WORKBENCH_ANSWER_H_
