#include <gtest/gtest.h>

#include "libraries/mesh/mesh.h"

namespace borageloft::mesh {
namespace {

constexpr const char* kNode =
    "[mesh]\nname = n1\nzone = z\nrole = node\n"
    "[listen]\ncallers = 10.0.0.1:80\nreadiness = 10.0.0.1:81\ncalls = 10.0.0.1:82\n"
    "peers = 10.0.0.1:83\n"
    "[upstream]\naddress = 10.0.0.1:90\nservice = parts\n"
    "[control]\nseeds = 10.0.0.7:82, 10.0.0.8:82\n";

TEST(MeshSettingsTest, ReadsNodeSettings) {
  const MeshSettings settings = ParseMeshSettings(kNode, "node.ini");
  EXPECT_EQ(settings.service, "parts");
  ASSERT_EQ(settings.seeds.size(), 2U);
  EXPECT_EQ(settings.seeds[1].address, "10.0.0.8");
}

// Guards against held bodies that exceed the memory of a small machine.
TEST(MeshSettingsTest, HeldBytesFollowTheMemoryUnlessStated) {
  constexpr std::size_t kMegabyte = std::size_t{1} << 20U;
  const auto held = [](const std::string& limits, std::size_t memory) {
    return ParseMeshSettings(std::string(kNode) + limits, "node.ini").HeldBytes(memory);
  };
  EXPECT_EQ(held("", 160 * kMegabyte), 20 * kMegabyte);
  EXPECT_EQ(held("", 16'384 * kMegabyte), 32 * kMegabyte);
  EXPECT_EQ(held("", 0), kMegabyte);
  EXPECT_EQ(held("[limits]\nheld_megabytes = 70\n", 160 * kMegabyte), 70 * kMegabyte);
}

// Guards against an error that is reported without its file, line and key, or its allowed range.
TEST(MeshSettingsTest, ReportsEveryErrorWithItsLine) {
  const std::string text = std::string(kNode) +
                           "first_start = maybe\ntolerated_losses = 99\n[retries]\nratio = 3\n"
                           "extra = 1\n[unknown]\na = 1\n";
  try {
    ParseMeshSettings(text, "node.ini");
    FAIL() << "invalid settings were accepted";
  } catch (const settings::SettingsError& error) {
    const std::string message = error.what();
    for (const char* part : {"node.ini:15: first_start", "node.ini:16: tolerated_losses", "0 to 7",
                             "node.ini:18: ratio", "extra", "unknown section"}) {
      EXPECT_NE(message.find(part), std::string::npos) << part << "\n" << message;
    }
  }
}

// Guards against a retry budget that ignores a ratio given as a plain number instead of a
// percentage.
TEST(MeshSettingsTest, ReadsRatioAsNumberOrPercentage) {
  const auto ratio = [](const std::string& text) {
    return ParseMeshSettings(std::string(kNode) + "[retries]\nratio = " + text + "\n", "node.ini")
        .retries.ratio;
  };
  EXPECT_DOUBLE_EQ(ratio("0.15"), 0.15);
  EXPECT_DOUBLE_EQ(ratio("15%"), 0.15);
  EXPECT_DOUBLE_EQ(ratio("0"), 0);
  EXPECT_THROW(ratio("15"), settings::SettingsError);
  EXPECT_THROW(ratio("-0.1"), settings::SettingsError);
}

TEST(MeshSettingsTest, ControlHostRequiresDataFolder) {
  const std::string text =
      "[mesh]\nname = c1\nzone = z\nrole = control\n[listen]\ncalls = 10.0.0.1:82\n"
      "peers = 10.0.0.1:83\n[control]\nseeds = 10.0.0.7:82\n";
  EXPECT_THROW(ParseMeshSettings(text, "control.ini"), settings::SettingsError);
  EXPECT_EQ(ParseMeshSettings(text + "data_folder = /data\n", "control.ini").data_folder, "/data");
}

}  // namespace
}  // namespace borageloft::mesh
