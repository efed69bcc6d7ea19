#include "libraries/mesh/startup_report.h"

#include <gtest/gtest.h>

namespace borageloft::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class StartupReportTest : public ::testing::Test {
 protected:
  void SetUp() override {
    base::ReplaceLogSink([this](std::string_view line) { lines_.emplace_back(line); });
  }
  void TearDown() override { base::ReplaceLogSink({}); }

  base::TimePoint now_{seconds(100)};
  StartupReport report_{now_};
  std::vector<std::string> lines_;
};

// Guards against a start whose log does not tell which of its waits lasts.
TEST_F(StartupReportTest, NamesEachWaitUntilItEnds) {
  StartupState state;
  EXPECT_EQ(FindWaits(state), (std::vector<std::string>{"control_host", "declaration", "departures",
                                                        "upstream", "instances"}));
  state = {.control_hosts = 2, .has_declaration = true, .instances = 7};
  for (int i = 0; i < 25; ++i) {
    now_ += milliseconds(100);
    report_.Check(state, now_);
  }
  ASSERT_EQ(lines_.size(), 2U) << "one line per interval";
  EXPECT_NE(lines_[1].find(R"("for":["departures","upstream"])"), std::string::npos) << lines_[1];
  state.has_recalled_departures = true;
  state.has_instance = true;
  report_.Check(state, now_);
  EXPECT_TRUE(report_.is_complete());
  EXPECT_NE(lines_.back().find(R"("after_ms":2500)"), std::string::npos) << lines_.back();
  report_.Check({}, now_ + seconds(5));
  EXPECT_EQ(lines_.size(), 3U);
}

}  // namespace
}  // namespace borageloft::mesh
