#include "libraries/node/joined_requests.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <stdexcept>
#include <thread>
#include <vector>

namespace borageloft::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const retry::JoinKey kKey{"s", "root", "digest"};

/** A lookup that runs on a thread of its own until the test lets it end. */
class HeldLookup {
 public:
  HeldLookup(JoinedRequests& requests, std::function<http::HttpResponse()> end)
      : thread_([this, &requests, end = std::move(end)] {
          try {
            requests.Run(kKey, seconds(60), [&] {
              entered_.set_value();
              release_.get_future().wait();
              return end();
            });
          } catch (const std::runtime_error&) {
            has_failed_ = true;
          }
        }) {
    entered_.get_future().wait();
  }
  void Release() { release_.set_value(); }
  bool HasFailed() {
    thread_.join();
    return has_failed_;
  }

 private:
  std::promise<void> entered_;
  std::promise<void> release_;
  std::atomic<bool> has_failed_ = false;
  std::thread thread_;
};

std::vector<std::future<http::HttpResponse>> Join(JoinedRequests& requests, std::size_t count,
                                                  std::atomic<int>& runs) {
  std::vector<std::future<http::HttpResponse>> answers;
  for (std::size_t i = 0; i < count; ++i) {
    answers.push_back(std::async(std::launch::async, [&] {
      return requests.Run(kKey, seconds(60), [&] {
        ++runs;
        return http::HttpResponse{200, {}, "own"};
      });
    }));
  }
  while (requests.waiting() < count) {
    std::this_thread::yield();
  }
  return answers;
}

// Guards against equal lookups that each cost a run, and R3: everybody gets the whole answer.
TEST(JoinedRequestsTest, EqualLookupsShareOneRun) {
  JoinedRequests requests;
  std::atomic<int> runs = 0;
  HeldLookup lead(requests, [] { return http::HttpResponse{200, {}, "shared"}; });
  auto answers = Join(requests, 5, runs);
  lead.Release();
  for (auto& answer : answers) {
    EXPECT_EQ(answer.get().body, "shared");
  }
  EXPECT_FALSE(lead.HasFailed());
  EXPECT_EQ(runs, 0);
  EXPECT_EQ(requests.waiting(), 0U);
}

// Guards against requests that wait for ever, now or later, for a run that failed in this node.
TEST(JoinedRequestsTest, FailedRunLeavesTheOthersToThemselves) {
  JoinedRequests requests;
  std::atomic<int> runs = 0;
  HeldLookup lead(requests, []() -> http::HttpResponse { throw std::runtime_error("failed"); });
  auto answers = Join(requests, 3, runs);
  lead.Release();
  for (auto& answer : answers) {
    EXPECT_EQ(answer.get().body, "own");
  }
  EXPECT_TRUE(lead.HasFailed());
  EXPECT_EQ(runs, 3);
  requests.Run(kKey, seconds(60), [&] {
    ++runs;
    return http::HttpResponse{200, {}, "later"};
  });
  EXPECT_EQ(runs, 4);
}

// Guards R4: the running lookup may still end, so its late followers do not hear "not run", and
// they start no second run after their deadline.
TEST(JoinedRequestsTest, LateFollowerHearsUnknown) {
  JoinedRequests requests;
  HeldLookup lead(requests, [] { return http::HttpResponse{200, {}, "late"}; });
  const http::HttpResponse answer = requests.Run(kKey, milliseconds(1), [] {
    ADD_FAILURE() << "ran a second time";
    return http::HttpResponse{};
  });
  EXPECT_EQ(answer.status, 504);
  EXPECT_EQ(http::FindHeader(answer.headers, http::kOutcomeHeader), "unknown");
  lead.Release();
  EXPECT_FALSE(lead.HasFailed());
}

}  // namespace
}  // namespace borageloft::node
