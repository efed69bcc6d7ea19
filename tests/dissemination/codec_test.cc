#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "libraries/dissemination/dissemination.h"
// The fuzz target is linked into no other program of the normal build.
#include "tests/dissemination/codec_fuzz.cc"  // NOLINT(bugprone-suspicious-include)

namespace borageloft::dissemination {
namespace {

std::vector<Message> Samples() {
  ZoneReport report;
  report.Add("node-1", 7);
  report.Add("node-2", 9);
  return {NoteMessage{{7, "digest", "[note]\nnumber = 7\n"}},
          SnapshotMessage{{400, "digest", std::string(300, 'x')}},
          StatusUp{"node-1", "rec-a", 5, 17, 7, true, report, "10.0.0.7:7002"},
          StatusDown{"node-2", 17, 9, 3, 1200, true, true},
          Detach{"node-1", 5, 18},
          PositionRequest{"node-1", "rec-a", 5, 3, 86'400},
          Position{4, {"node-2", "node-3", "control-1"}, {{"node-2", "10.0.0.8:7002"}}},
          ExpectedNodes{"rec-a", {2, 77}, {3, 99}, {"node-3"}}};
}

// Guards against a field that is lost, or read in another order than it was written.
TEST(Codec, ReturnsWhatWasEncoded) {
  for (const Message& message : Samples()) {
    const std::string bytes = Encode(message);
    const Message decoded = Decode(bytes);
    EXPECT_EQ(decoded.index(), message.index());
    EXPECT_EQ(Encode(decoded), bytes);
  }
  const auto up = std::get<StatusUp>(Decode(Encode(Samples()[2])));
  EXPECT_EQ(up.sequence, 17U);
  EXPECT_EQ(up.report, std::get<StatusUp>(Samples()[2]).report);
  const auto down = std::get<StatusDown>(Decode(Encode(Samples()[3])));
  EXPECT_EQ(down.oldest, 3U);
  EXPECT_EQ(down.root_age_ms, 1200U);
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
      for (const int value : {0x00, 0x7f, 0x90, 0xc0, 0xc1, 0xc6, 0xdd, 0xff}) {
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
  EXPECT_NO_THROW(Decode(Encode(NoteMessage{{1, "d", std::string(kMaximumPayload, 'x')}})));
  EXPECT_THROW(Encode(NoteMessage{{1, "d", std::string(kMaximumPayload + 1, 'x')}}), Error);
  EXPECT_THROW(Encode(Detach{std::string(kMaximumText + 1, 'x'), 1, 1}), Error);
  const std::vector<std::string> names(kMaximumCandidates + 1, "n");
  EXPECT_THROW(Encode(Position{1, names, {}}), Error);
  EXPECT_THROW(Encode(ExpectedNodes{"z", {}, {}, names}), Error);
  EXPECT_THROW(Decode(std::string("\xdd\xff\xff\xff\xff", 5)), Error);
  EXPECT_THROW(Decode(std::string("\xc6\xff\xff\xff\xff", 5)), Error);
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
}  // namespace borageloft::dissemination
