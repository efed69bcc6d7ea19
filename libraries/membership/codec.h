#ifndef BORAGELOFT_MEMBERSHIP_CODEC_H_
#define BORAGELOFT_MEMBERSHIP_CODEC_H_

#include <string>
#include <string_view>

#include "libraries/membership/messages.h"

namespace borageloft::membership {

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

}  // namespace borageloft::membership

#endif  // BORAGELOFT_MEMBERSHIP_CODEC_H_
