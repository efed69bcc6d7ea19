#ifndef BORAGELOFT_DISSEMINATION_CODEC_H_
#define BORAGELOFT_DISSEMINATION_CODEC_H_

#include <string>
#include <string_view>

#include "libraries/dissemination/messages.h"

namespace borageloft::dissemination {

/**
 * @return The msgpack array `[type, field...]` of a message, at most kMaximumMessageBytes long.
 * @throws Error when a text, a container or the whole exceeds its bound.
 */
std::string Encode(const Message& message);

/**
 * @param bytes One whole message.
 * @throws Error when the bytes are no message of this channel or exceed a bound.
 */
Message Decode(std::string_view bytes);

}  // namespace borageloft::dissemination

#endif  // BORAGELOFT_DISSEMINATION_CODEC_H_
