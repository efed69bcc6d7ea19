#ifndef BORAGELOFT_NODE_ONCE_ANSWERS_H_
#define BORAGELOFT_NODE_ONCE_ANSWERS_H_

#include <optional>
#include <string>

#include "libraries/ledger/ledger.h"
#include "libraries/wire/wire.h"

namespace borageloft::node {

/** @return An answer that states that this attempt did not run. */
wire::Response AnswerNotRun(std::string reason, base::Duration retry_after = {});

/** @return An answer that states that the request may have run. */
wire::Response AnswerUnknown(std::string reason);

/** @return Encoding of an upstream's answer for the ledger, without what belongs to one attempt. */
std::string EncodeFirstAnswer(const wire::Response& response);

/**
 * @param stored Bytes made by EncodeFirstAnswer; nothing if the answer was too large to keep.
 * @return The first answer, or a statement that the request ran and its answer is not kept.
 */
wire::Response DecodeFirstAnswer(const std::optional<std::string>& stored);

/** @return Digest of what makes two requests with one key the same request. */
ledger::RequestDigest OnceDigestOf(const wire::Request& request);

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_ONCE_ANSWERS_H_
