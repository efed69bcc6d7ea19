#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "libraries/membership/membership.h"

// The fuzz target is linked into no other program of the normal build.
#include "tests/membership/codec_fuzz.cc"  // NOLINT(bugprone-suspicious-include)

namespace borageloft::membership {
namespace {

NodeRecord SampleRecord() {
  NodeRecord record;
  record.node = "node-1";
  record.stamp = {1'764'831'600'000, 3};
  record.region = "recife";
  record.zone = "rec-a";
  record.address = "10.0.0.7:7100";
  record.upstream = UpstreamData{"archivo", "10.0.0.7:8080", 70, 500, 2, UpstreamState::kServing};
  return record;
}

std::vector<Message> Samples() {
  const NodeRecord record = SampleRecord();
  NodeRecord bare = record;
  bare.upstream.reset();
  const ViewChunk chunk{7,  3,    9,
                        12, true, {{record, EntryState::kAlive}, {bare, EntryState::kRemoved}}};
  return {Lease{record, 17},
          LeaseAnswer{"control-1", 7, true, 5, 0},
          Subscribe{"node-1", 7, {{"archivo", 9}, {"painel", 0}}, {"certidoes"}},
          ServiceVersions{"control-1", 7, true, {{"archivo", 12}}},
          ServiceDelta{"control-1", "archivo", chunk},
          ConfirmRequest{"control-1", {{"node-1", 5}}},
          ConfirmAnswer{"control-2", {{Lease{bare, 4}, 350}}, {"node-2"}},
          StateRequest{"control-1", 7, 12},
          StateDelta{"control-1", "recife", chunk},
          FenceNotice{"node-1", {{"node-2", 5, 8}}}};
}

// Guards against a field that is lost, or read in another order than it was written.
TEST(Codec, ReturnsWhatWasEncoded) {
  for (const Message& message : Samples()) {
    const std::string bytes = Encode(message);
    const Message decoded = Decode(bytes);
    EXPECT_EQ(decoded.index(), message.index());
    EXPECT_EQ(Encode(decoded), bytes);
  }
  const auto lease = std::get<Lease>(Decode(Encode(Samples()[0])));
  EXPECT_EQ(lease.record, SampleRecord());
  EXPECT_EQ(lease.sequence, 17U);
  const auto subscribe = std::get<Subscribe>(Decode(Encode(Samples()[2])));
  EXPECT_EQ(subscribe.services.at(0).version, 9U);
  EXPECT_EQ(subscribe.ended.at(0), "certidoes");
}

// Guards against a damaged message that ends the process or passes as a whole one.
TEST(Codec, RefusesDamagedMessages) {
  for (const Message& message : Samples()) {
    const std::string bytes = Encode(message);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
      EXPECT_THROW(Decode(std::string_view(bytes).substr(0, length)), Error);
    }
    EXPECT_THROW(Decode(bytes + '\0'), Error);
    for (std::size_t index = 0; index < bytes.size(); ++index) {
      for (const int value : {0x00, 0x7f, 0x90, 0xc0, 0xc1, 0xdd, 0xff}) {
        std::string damaged = bytes;
        damaged[index] = static_cast<char>(value);
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(damaged.data()),
                               damaged.size());
      }
    }
  }
}

// Guards against a sender that others refuse, and against memory that a peer decides about.
TEST(Codec, HoldsItsBounds) {
  NodeRecord record = SampleRecord();
  record.zone = std::string(kMaximumText + 1, 'z');
  EXPECT_THROW(Encode(Lease{record, 1}), Error);
  ConfirmRequest request{"control-1", std::vector<NodeIncarnation>(kMaximumRecords + 1)};
  EXPECT_THROW(Encode(request), Error);
  EXPECT_THROW(Decode(std::string(kMaximumMessageBytes + 1, '\x90')), Error);
  EXPECT_THROW(Decode(std::string("\xdd\xff\xff\xff\xff", 5)), Error);
  // The largest chunk that the bounds allow fits into a message.
  record = SampleRecord();
  for (std::string* text : {&record.node, &record.region, &record.zone, &record.address,
                            &record.upstream->service, &record.upstream->address}) {
    *text = std::string(kMaximumText, 'x');
  }
  ViewChunk chunk{1, 1, 2, 2, false, {}};
  chunk.entries.assign(kMaximumRecords, {record, EntryState::kAlive});
  EXPECT_NO_THROW(Decode(Encode(ServiceDelta{"control-1", "archivo", chunk})));
}

// Guards against inputs that once broke the decoder; the fuzz target starts from them.
TEST(Codec, ReplaysTheCorpus) {
  std::size_t count = 0;
  for (const auto& file : std::filesystem::directory_iterator(BORAGELOFT_CORPUS)) {
    std::ifstream stream(file.path(), std::ios::binary);
    const std::string bytes{std::istreambuf_iterator<char>(stream), {}};
    EXPECT_EQ(
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()),
        0);
    ++count;
  }
  EXPECT_GE(count, Samples().size());
}

// Writes the corpus anew when the environment names a folder.
TEST(Codec, WritesTheCorpusOnRequest) {
  const char* folder = std::getenv("BORAGELOFT_WRITE_CORPUS");
  if (folder == nullptr) {
    GTEST_SKIP() << "BORAGELOFT_WRITE_CORPUS is not set";
  }
  std::size_t index = 0;
  for (const Message& message : Samples()) {
    std::ofstream(std::string(folder) + "/message-" + std::to_string(index++), std::ios::binary)
        << Encode(message);
  }
}

}  // namespace
}  // namespace borageloft::membership
