#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "libraries/consensus/consensus.h"

namespace borageloft::consensus {
namespace {

std::vector<Message> SampleMessages() {
  const Membership membership = Membership::OfVoters({"a", "b", "c"})
                                    .After({MembershipChangeKind::kAddLearner, kNoReplica, "d"});
  const std::vector<Entry> entries{{2, 8, EntryKind::kEmpty, ""},
                                   {3, 9, EntryKind::kCommand, std::string("\0\xff", 2)},
                                   {3, 10, EntryKind::kMembership, EncodeMembership(membership)}};
  return {{1, 2, 3, VoteRequest{true, false, 7, 2}},
          {1, 2, 3, VoteResponse{false, true}},
          {1, 2, 3, AppendRequest{7, 2, 6, 2, entries}},
          {1, 2, 3, AppendResponse{true, 0, 7, 5, 1}},
          {1, 2, 3, Heartbeat{6, 2, 11}},
          {1, 2, 3, HeartbeatResponse{11}},
          {1, 2, 3, SnapshotChunk{6, 2, membership, 10, 0xffffffffffffffffU, 4, "chunk"}},
          {1, 2, 3, SnapshotChunkResponse{6, 4, 9}},
          {1, 2, 3, TransferRequest{}}};
}

// Guards against a field that is lost or swapped between the encoder and the decoder.
TEST(ConsensusCodecTest, MessagesSurviveRoundTrip) {
  for (const Message& message : SampleMessages()) {
    EXPECT_EQ(DecodeMessage(EncodeMessage(message)), message) << message.body.index();
  }
}

// Guards against crashes on truncated or extended input, and against its acceptance as a message.
TEST(ConsensusCodecTest, CutAndExtendedMessagesAreRefused) {
  for (const Message& message : SampleMessages()) {
    const std::string bytes = EncodeMessage(message);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      EXPECT_THROW(DecodeMessage(std::string_view(bytes).substr(0, size)), ConsensusError);
    }
    EXPECT_THROW(DecodeMessage(bytes + '\0'), ConsensusError);
  }
}

// Guards against memory use controlled by the sender.
TEST(ConsensusCodecTest, BoundsAreEnforced) {
  // An array header that declares 2^32 - 1 elements.
  EXPECT_THROW(DecodeMessage(std::string_view("\xdd\xff\xff\xff\xff", 5)), ConsensusError);
  EXPECT_THROW(DecodeMessage(std::string(1000, '\x91')), ConsensusError);
  EXPECT_THROW(DecodeMessage(std::string(kMaxMessageBytes + 1, '\0')), ConsensusError);
  const Entry large{1, 1, EntryKind::kCommand, std::string(kMaxCommandBytes + 1, 'x')};
  EXPECT_THROW(DecodeEntry(EncodeEntry(large)), ConsensusError);
  EXPECT_THROW(DecodeMessage(EncodeMessage({1, 2, 3, SnapshotChunk{1, 1, {}, 3, 0, 2, "xx"}})),
               ConsensusError);
  const Entry wrong{1, 1, EntryKind::kMembership, "not a membership"};
  EXPECT_THROW(DecodeMessage(EncodeMessage({1, 2, 3, AppendRequest{0, 0, 0, 0, {wrong}}})),
               ConsensusError);
}

// Guards against stored records that cannot be read back.
TEST(ConsensusCodecTest, RecordsSurviveRoundTrip) {
  const HardState state{4, 9, 2};
  EXPECT_EQ(DecodeHardState(EncodeHardState(state)), state);
  const Snapshot snapshot{5, 3, Membership::OfVoters({"a"}), std::string(200'000, 's')};
  EXPECT_EQ(DecodeSnapshot(EncodeSnapshot(snapshot)), snapshot);
  EXPECT_THROW(DecodeSnapshot(EncodeHardState(state)), ConsensusError);
}

// Guards against regressions on inputs that once broke the decoder. Files named ok-* must decode;
// all others must be rejected.
TEST(ConsensusCodecTest, CorpusIsReplayed) {
  std::size_t count = 0;
  for (const auto& file : std::filesystem::directory_iterator(BORAGELOFT_CORPUS)) {
    std::ifstream stream(file.path(), std::ios::binary);
    std::ostringstream bytes;
    bytes << stream.rdbuf();
    if (file.path().filename().string().starts_with("ok-")) {
      EXPECT_NO_THROW(DecodeMessage(bytes.str())) << file.path();
    } else {
      EXPECT_THROW(DecodeMessage(bytes.str()), ConsensusError) << file.path();
    }
    ++count;
  }
  EXPECT_GE(count, 12U);
}

}  // namespace
}  // namespace borageloft::consensus
