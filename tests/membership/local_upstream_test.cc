#include <gtest/gtest.h>

#include "libraries/membership/membership.h"

namespace borageloft::membership {
namespace {

using std::chrono::seconds;

class LocalUpstreamTest : public ::testing::Test {
 protected:
  AnnounceRefusal Announce(const std::string& service = "archivo",
                           const std::string& address = "10.0.0.7:8080", std::uint32_t slots = 70) {
    return upstream_.Announce({service, address, slots, 500, seconds(10)}, now_);
  }
  void Serve() {
    ASSERT_EQ(Announce(), AnnounceRefusal::kNone);
    upstream_.ConfirmReachable(now_);
    ASSERT_EQ(upstream_.state(), UpstreamState::kServing);
  }

  base::TimePoint now_;
  std::vector<UpstreamState> told_;
  LocalUpstream upstream_{LocalUpstreamSettings{},
                          [this](const std::optional<UpstreamData>& data, base::TimePoint) {
                            told_.push_back(data ? data->state : UpstreamState::kGone);
                          }};
};

// Guards against an upstream that is reported gone while requests are still running on it.
TEST_F(LocalUpstreamTest, IsGoneOnlyAfterWorkInFlight) {
  Serve();
  upstream_.BeginWork();
  upstream_.BeginWork();
  EXPECT_TRUE(upstream_.Leave(now_));
  EXPECT_FALSE(upstream_.is_accepting());
  upstream_.EndWork(now_);
  EXPECT_EQ(upstream_.state(), UpstreamState::kLeaving);
  upstream_.EndWork(now_);
  EXPECT_EQ(upstream_.state(), UpstreamState::kGone);
  EXPECT_EQ(told_, (std::vector{UpstreamState::kJoining, UpstreamState::kServing,
                                UpstreamState::kLeaving, UpstreamState::kGone}));
}

// Guards against an upstream that stopped renewing and still gets work.
TEST_F(LocalUpstreamTest, LeavesWhenItsLeaseEnds) {
  Serve();
  now_ += seconds(9);
  ASSERT_EQ(Announce(), AnnounceRefusal::kNone);
  now_ += seconds(9);
  upstream_.Tick(now_);
  EXPECT_TRUE(upstream_.is_accepting());
  now_ += seconds(1);
  upstream_.Tick(now_);
  EXPECT_EQ(upstream_.state(), UpstreamState::kGone);
}

// Guards against two upstreams that overwrite each other on one node.
TEST_F(LocalUpstreamTest, RefusesContradictions) {
  Serve();
  EXPECT_EQ(Announce("painel"), AnnounceRefusal::kOtherService);
  EXPECT_EQ(Announce("archivo", "10.0.0.8:8080"), AnnounceRefusal::kOtherAddress);
  upstream_.BeginWork();
  upstream_.Leave(now_);
  EXPECT_EQ(Announce(), AnnounceRefusal::kStillLeaving);
  upstream_.EndWork(now_);
  EXPECT_EQ(Announce("painel"), AnnounceRefusal::kNone);
  EXPECT_EQ(upstream_.data()->announcement, 2U);
  upstream_.BeginNodeStop(now_);
  EXPECT_EQ(Announce("painel"), AnnounceRefusal::kNodeStopping);
}

// Guards against announcements that would give others unusable numbers or names.
TEST_F(LocalUpstreamTest, RefusesWhatIsOutOfBounds) {
  EXPECT_EQ(Announce(""), AnnounceRefusal::kServiceInvalid);
  EXPECT_EQ(Announce("Archivo/1"), AnnounceRefusal::kServiceInvalid);
  EXPECT_EQ(Announce("archivo", ""), AnnounceRefusal::kAddressInvalid);
  EXPECT_EQ(Announce("archivo", "10.0.0.7:8080", 0), AnnounceRefusal::kSlotsInvalid);
  EXPECT_EQ(upstream_.Announce({"archivo", "a", 1, 0, seconds(10)}, now_),
            AnnounceRefusal::kConnectionsInvalid);
  EXPECT_EQ(upstream_.Announce({"archivo", "a", 1, 1, seconds(0)}, now_),
            AnnounceRefusal::kLeaseInvalid);
  EXPECT_EQ(upstream_.state(), UpstreamState::kAbsent);
}

// Guards against an upstream that ignores the release note, or that stays out after the next one.
TEST_F(LocalUpstreamTest, FollowsTheReleaseNote) {
  upstream_.ApplyNote(NoteInstruction::kJoining, now_);
  ASSERT_EQ(Announce(), AnnounceRefusal::kNone);
  upstream_.ConfirmReachable(now_);
  EXPECT_EQ(upstream_.state(), UpstreamState::kJoining);
  upstream_.ApplyNote(NoteInstruction::kServing, now_);
  EXPECT_EQ(upstream_.state(), UpstreamState::kServing);
  upstream_.ApplyNote(NoteInstruction::kLeaving, now_);
  EXPECT_EQ(upstream_.state(), UpstreamState::kGone);
  EXPECT_EQ(Announce(), AnnounceRefusal::kLeavingByNote);
  upstream_.ApplyNote(NoteInstruction::kUnnamed, now_);
  EXPECT_EQ(upstream_.state(), UpstreamState::kGone);
  EXPECT_EQ(Announce(), AnnounceRefusal::kNone);
}

// Guards against an incarnation that repeats after a clock that stands still or was set back.
TEST(IncarnationTest, RisesWhateverTheClockDoes) {
  base::WallTime wall{std::chrono::hours(100)};
  Incarnation incarnation([&] { return wall; });
  const std::uint64_t first = incarnation.Next();
  EXPECT_GT(incarnation.Next(), first);
  wall -= std::chrono::hours(50);
  const std::uint64_t third = incarnation.Next();
  EXPECT_GT(third, first + 1);
  EXPECT_TRUE(incarnation.RaiseAbove(third + 100));
  EXPECT_EQ(incarnation.Next(), third + 101);
  EXPECT_FALSE(incarnation.RaiseAbove(~0ULL));
}

// Guards against a repeated incarnation after a restart with a clock set back, and against the use
// of a number that was not stored.
TEST(IncarnationTest, ContinuesFromDisk) {
  std::optional<std::uint64_t> stored;
  bool is_failing = false;
  const IncarnationStore store{[&] { return stored; },
                               [&](std::uint64_t number) {
                                 if (is_failing) {
                                   throw std::runtime_error("disk full");
                                 }
                                 stored = number;
                               }};
  base::WallTime wall{std::chrono::hours(100)};
  const std::uint64_t first = Incarnation([&] { return wall; }, store).Next();
  wall -= std::chrono::hours(99);
  Incarnation restarted([&] { return wall; }, store);
  EXPECT_EQ(restarted.Next(), first + 1);
  is_failing = true;
  EXPECT_THROW(restarted.Next(), Error);
  EXPECT_EQ(restarted.current(), first + 1);
}

}  // namespace
}  // namespace borageloft::membership
