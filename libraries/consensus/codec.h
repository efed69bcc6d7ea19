#ifndef BORAGELOFT_CONSENSUS_CODEC_H_
#define BORAGELOFT_CONSENSUS_CODEC_H_

#include <string>
#include <string_view>

#include "libraries/consensus/entry.h"
#include "libraries/consensus/hard_state.h"
#include "libraries/consensus/membership.h"
#include "libraries/consensus/message.h"
#include "libraries/consensus/snapshot.h"

namespace borageloft::consensus {

// Every decoder below throws ConsensusError if the bytes are malformed, exceed a limit of limits.h
// or have trailing bytes after the encoded value.

/** @return msgpack encoding of @p message. */
std::string EncodeMessage(const Message& message);
/** @return The decoded message. @throws ConsensusError */
Message DecodeMessage(std::string_view bytes);

/** @return Encoding of @p membership, the data of an entry of kind kMembership. */
std::string EncodeMembership(const Membership& membership);
/** @return The decoded membership. @throws ConsensusError */
Membership DecodeMembership(std::string_view bytes);

/** @return Encoding of @p entry for storage. */
std::string EncodeEntry(const Entry& entry);
/** @return The decoded entry. @throws ConsensusError */
Entry DecodeEntry(std::string_view bytes);

/** @return Encoding of @p state for storage. */
std::string EncodeHardState(const HardState& state);
/** @return The decoded hard state. @throws ConsensusError */
HardState DecodeHardState(std::string_view bytes);

/** @return Encoding of @p snapshot for storage. */
std::string EncodeSnapshot(const Snapshot& snapshot);
/** @return The decoded snapshot. @throws ConsensusError */
Snapshot DecodeSnapshot(std::string_view bytes);

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_CODEC_H_
