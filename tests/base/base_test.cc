#include "libraries/base/base.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>

namespace borageloft::base {
namespace {

class VerifyFailure : public std::exception {};

class BaseTest : public ::testing::Test {
 protected:
  void SetUp() override {
    ReplaceVerifyHandler([](const char*, const char*, int) { throw VerifyFailure(); });
  }
  void TearDown() override { ReplaceVerifyHandler({}); }
};

// Guards against a deadlock between two threads that take the same locks in different order.
TEST_F(BaseTest, RankedMutexRefusesFallingRank) {
  RankedMutex policy(LockRank::kPolicy);
  RankedMutex storage(LockRank::kStorage);
  const std::scoped_lock outer(storage);
  EXPECT_THROW(policy.lock(), VerifyFailure);
}

// Guards against self-deadlock on two mutexes of one rank.
TEST_F(BaseTest, RankedMutexRefusesEqualRank) {
  RankedMutex first(LockRank::kRetry);
  RankedMutex second(LockRank::kRetry);
  const std::scoped_lock outer(first);
  EXPECT_THROW(second.lock(), VerifyFailure);
}

// Guards against a rank that stays marked as held after its release.
TEST_F(BaseTest, RankedMutexForgetsReleasedRank) {
  RankedMutex policy(LockRank::kPolicy);
  RankedMutex storage(LockRank::kStorage);
  { const std::scoped_lock lock(storage); }
  const std::scoped_lock lock(policy);
  SUCCEED();
}

// Guards against log lines that a JSON reader cannot parse.
TEST_F(BaseTest, LogWritesOneJsonObject) {
  std::string captured;
  ReplaceLogSink([&](std::string_view line) { captured = line; });
  Log(LogLevel::kWarning, "sample", {{"text", "a \"quoted\"\nline"}, {"count", 3}});
  ReplaceLogSink({});
  EXPECT_EQ(captured.find('\n'), std::string::npos);
  Json::Value parsed;
  std::istringstream stream(captured);
  stream >> parsed;
  EXPECT_EQ(parsed["event"], "sample");
  EXPECT_EQ(parsed["text"], "a \"quoted\"\nline");
  EXPECT_EQ(parsed["count"], 3);
}

// Guards against a hash that differs between machines or versions, which would move shed keys.
TEST_F(BaseTest, HashIsStable) {
  EXPECT_EQ(Hash("borageloft"), Hash("borageloft"));
  EXPECT_NE(Hash("borageloft", 1), Hash("borageloft", 2));
  EXPECT_EQ(Digest("").size(), 32U);
  EXPECT_EQ(Digest(""), "99aa06d3014798d86001c324468d497f");
}

// Guards against tasks that are lost or wait although a thread may be started for them.
TEST_F(BaseTest, WorkerPoolRunsEveryTaskWithinItsBound) {
  std::atomic<int> count = 0;
  {
    WorkerPool pool(4);
    for (int i = 0; i < 1000; ++i) {
      pool.Post([&] { ++count; });
    }
  }
  EXPECT_EQ(count, 1000);
}

// Guards against a task that is accepted for running at once and then waits.
TEST_F(BaseTest, WorkerPoolRefusesWhenAllThreadsAreBusy) {
  std::promise<void> release;  // Outlives the thread of the pool that waits for it.
  WorkerPool pool(1);
  ASSERT_TRUE(pool.TryPost([&] { release.get_future().wait(); }));
  while (pool.TryPost([] {})) {
  }
  release.set_value();
}

}  // namespace
}  // namespace borageloft::base
