#include "libraries/mesh/instance_probe.h"

#include <gtest/gtest.h>

namespace borageloft::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class InstanceProbeTest : public ::testing::Test {
 protected:
  void SetUp() override {
    base::ReplaceLogSink([](std::string_view) {});
    request_path::HeaderNames names;
    names.instance = "Instance";
    names.upstream_load = "Load";
    InstanceProbeHooks hooks;
    hooks.send_probe = [this](const std::string& path, InstanceProbeHooks::AnswerHandler handler) {
      paths_.push_back(path);
      handler_ = std::move(handler);
    };
    hooks.on_found = [this] { ++found_; };
    probe_ = std::make_unique<InstanceProbe>(instance_, names, std::move(hooks), now_);
  }
  void TearDown() override { base::ReplaceLogSink({}); }

  void Answer(unsigned status, http_stream::Fields fields) {
    http_stream::ResponseMessage answer;
    answer.status = status;
    answer.fields = std::move(fields);
    handler_(answer);
  }

  base::TimePoint now_{seconds(100)};
  directory::LocalInstance instance_{"parts", seconds(4)};
  std::vector<std::string> paths_;
  InstanceProbeHooks::AnswerHandler handler_;
  int found_ = 0;
  std::unique_ptr<InstanceProbe> probe_;
};

// Guards against an upstream that gets no work between a restart of its node and its next
// heartbeat.
TEST_F(InstanceProbeTest, AdoptsHealthyInstance) {
  probe_->Check("/health", now_);
  ASSERT_EQ(paths_, std::vector<std::string>{"/health"});
  Answer(200, {{"Instance", "i-1"}, {"Load", "3,0,25"}});
  EXPECT_EQ(instance_.instance(), "i-1");
  EXPECT_EQ(instance_.slots(), 25U);
  EXPECT_EQ(found_, 1);
  now_ += seconds(1);
  probe_->Check("/health", now_);
  EXPECT_EQ(paths_.size(), 1U);
}

// Guards against sending work to an upstream that is leaving or unhealthy.
TEST_F(InstanceProbeTest, DoesNotAdoptUnhealthyInstance) {
  probe_->Check("/health", now_);
  Answer(503, {{"Instance", "i-1"}});
  EXPECT_FALSE(instance_.is_known());
  now_ += milliseconds(300);
  probe_->Check("/health", now_);
  Answer(0, {});
  EXPECT_FALSE(instance_.is_known());
  EXPECT_EQ(found_, 0);
}

// Guards against probes that never stop, that overlap, or whose late response replaces an instance
// known from its heartbeat.
TEST_F(InstanceProbeTest, ProbesRarelyAndOnlySoonAfterStart) {
  probe_->Check("", now_);
  EXPECT_TRUE(paths_.empty());
  probe_->Check("/health", now_);
  now_ += seconds(1);
  probe_->Check("/health", now_);
  EXPECT_EQ(paths_.size(), 1U);
  instance_.HandleHeartbeat(
      {"i-2", "parts", 10, 1, directory::InstanceState::kServing, 8, milliseconds(0)}, now_);
  Answer(200, {{"Instance", "i-1"}});
  EXPECT_EQ(instance_.instance(), "i-2");
  directory::LocalInstance silent("parts", seconds(4));
  int probes = 0;
  InstanceProbeHooks hooks;
  hooks.send_probe = [&](const std::string&, const InstanceProbeHooks::AnswerHandler& handler) {
    ++probes;
    handler({});
  };
  request_path::HeaderNames names;
  names.instance = "Instance";
  InstanceProbe probe(silent, names, std::move(hooks), now_);
  for (int i = 0; i < 100; ++i) {
    probe.Check("/health", now_);
    now_ += milliseconds(100);
  }
  EXPECT_LE(probes, 11);
}

}  // namespace
}  // namespace borageloft::mesh
