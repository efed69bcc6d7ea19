#include <gtest/gtest.h>

#include <filesystem>
#include <set>

#include "libraries/notes/notes.h"

namespace borageloft::notes {
namespace {

class ExamplesTest : public ::testing::TestWithParam<const char*> {
 protected:
  std::filesystem::path folder() const {
    return std::filesystem::path(EXAMPLES_FOLDER) / GetParam();
  }
};

// Guards against an example that a new operator copies and that is refused.
TEST_P(ExamplesTest, FirstNoteAndAllSettingsAreValid) {
  const std::string note = folder() / "0001.ini";
  const Policy policy = ApplyNote({}, settings::ReadTextFile(note), note);
  EXPECT_EQ(policy.number(), 1U);
  std::set<std::string> zones;
  std::set<std::string> control_hosts;
  for (const auto& entry : std::filesystem::directory_iterator(folder() / "nodes")) {
    const settings::NodeSettings node = settings::LoadNodeSettings(entry.path());
    zones.insert(node.zone);
    if (node.is_control_host()) {
      control_hosts.insert(node.zone);
    }
  }
  // One control host in each of the three zones, so that the loss of a zone leaves a quorum.
  EXPECT_EQ(zones.size(), 3U);
  EXPECT_EQ(control_hosts, zones);
}

INSTANTIATE_TEST_SUITE_P(Deployments, ExamplesTest, ::testing::Values("granite", "fornos"));

}  // namespace
}  // namespace borageloft::notes
