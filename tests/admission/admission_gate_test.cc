#include <gtest/gtest.h>

#include "libraries/admission/admission.h"

namespace borageloft::admission {
namespace {

using std::chrono::milliseconds;

class AdmissionGateTest : public ::testing::Test {
 protected:
  static GateLimits Limits(std::size_t slots) {
    GateLimits limits;
    limits.slots = slots;
    limits.cold_share = 1;
    return limits;
  }

  static std::vector<ClassLimits> Classes(std::size_t length = 4, double reserved = 0) {
    return {{"claims", 1, reserved, length}, {"browse", 2, 0, length}, {"crawl", 3, 0, length}};
  }

  Ticket Make(ClassRank rank, base::Duration remaining = milliseconds(1000)) {
    static const char* const kNames[] = {"claims", "browse", "crawl"};
    Ticket ticket;
    ticket.id = TicketId{next_id_++};
    ticket.request_class = {kNames[rank - 1], rank};
    ticket.deadline = now_ + remaining;
    ticket.begun = now_;
    return ticket;
  }

  Verdict Offer(AdmissionGate& gate, const Ticket& ticket) {
    return gate.Offer(ticket, now_).verdict;
  }

  base::TimePoint now_{std::chrono::seconds(100)};
  std::uint64_t next_id_ = 1;
};

// Guards against more running requests than the upstream announced slots.
TEST_F(AdmissionGateTest, RunsNoMoreThanTheSlots) {
  AdmissionGate gate(Limits(2), Classes());
  const Ticket first = Make(2);
  EXPECT_EQ(Offer(gate, first), Verdict::kRun);
  EXPECT_EQ(Offer(gate, Make(2)), Verdict::kRun);
  EXPECT_EQ(Offer(gate, Make(2)), Verdict::kQueued);
  EXPECT_EQ(gate.running(), 2U);
  const GateChanges changes = gate.Finish(first.id, Outcome::kSucceeded, milliseconds(5), now_);
  EXPECT_EQ(changes.run.size(), 1U);
  EXPECT_EQ(gate.running(), 2U);
}

// Guards against a slot being freed twice, which would overrun the upstream later.
TEST_F(AdmissionGateTest, RefusesToFinishTwice) {
  AdmissionGate gate(Limits(2), Classes());
  const Ticket ticket = Make(2);
  EXPECT_EQ(Offer(gate, ticket), Verdict::kRun);
  gate.Finish(ticket.id, Outcome::kSucceeded, milliseconds(5), now_);
  EXPECT_THROW(gate.Finish(ticket.id, Outcome::kSucceeded, milliseconds(5), now_), AdmissionError);
}

// Guards against an important request being refused while less important ones fill the queue.
TEST_F(AdmissionGateTest, FullQueueGivesWayToMoreImportant) {
  AdmissionGate gate(Limits(1), Classes(1));
  EXPECT_EQ(Offer(gate, Make(1)), Verdict::kRun);
  EXPECT_EQ(Offer(gate, Make(1)), Verdict::kQueued);
  const Ticket waiting = Make(3);
  EXPECT_EQ(Offer(gate, waiting), Verdict::kQueued);
  const Decision decision = gate.Offer(Make(1), now_);
  EXPECT_EQ(decision.verdict, Verdict::kQueued);
  ASSERT_EQ(decision.changes.dropped.size(), 1U);
  EXPECT_EQ(decision.changes.dropped[0].ticket.id, waiting.id);
  EXPECT_EQ(decision.changes.dropped[0].reason, Reason::kEvicted);
  EXPECT_EQ(gate.Offer(Make(1), now_).reason, Reason::kQueueFull);
}

// Guards against the most important class being refused while a less important request runs.
TEST_F(AdmissionGateTest, MostImportantWaitsForRunningLower) {
  AdmissionGate gate(Limits(1), Classes(0));
  EXPECT_EQ(Offer(gate, Make(3)), Verdict::kRun);
  EXPECT_EQ(Offer(gate, Make(1)), Verdict::kQueued);
  EXPECT_EQ(Offer(gate, Make(2)), Verdict::kRefused);
}

// Guards against running a request whose caller stops waiting before it can finish.
TEST_F(AdmissionGateTest, DropsHopelessAndExpired) {
  AdmissionGate gate(Limits(1), Classes());
  const Ticket first = Make(2);
  EXPECT_EQ(Offer(gate, first), Verdict::kRun);
  gate.Finish(first.id, Outcome::kSucceeded, milliseconds(50), now_);
  EXPECT_EQ(Offer(gate, Make(2)), Verdict::kRun);
  EXPECT_EQ(gate.Offer(Make(1, milliseconds(20)), now_).reason, Reason::kHopeless);
  EXPECT_EQ(Offer(gate, Make(1, milliseconds(60))), Verdict::kQueued);
  now_ += milliseconds(20);
  const GateChanges changes = gate.Expire(now_);
  ASSERT_EQ(changes.dropped.size(), 1U);
  EXPECT_EQ(changes.dropped[0].reason, Reason::kHopeless);
}

// Guards against a long service time estimate that refuses every request: with nothing running, no
// finished request would ever correct it.
TEST_F(AdmissionGateTest, IdleGateAdmitsDespiteLongEstimate) {
  AdmissionGate gate(Limits(1), Classes());
  const Ticket slow = Make(2);
  EXPECT_EQ(Offer(gate, slow), Verdict::kRun);
  gate.Finish(slow.id, Outcome::kSucceeded, std::chrono::seconds(9), now_);
  EXPECT_EQ(Offer(gate, Make(2, milliseconds(100))), Verdict::kRun);
}

// Guards against long requests of less important classes that hold every slot, and against reserved
// slots that stay idle while their class sends no requests.
TEST_F(AdmissionGateTest, ReservedSlotsFollowPresence) {
  AdmissionGate gate(Limits(4), Classes(4, 0.5));
  const Ticket claim = Make(1);
  EXPECT_EQ(Offer(gate, claim), Verdict::kRun);
  gate.Finish(claim.id, Outcome::kSucceeded, milliseconds(5), now_);
  EXPECT_EQ(Offer(gate, Make(2)), Verdict::kRun);
  EXPECT_EQ(Offer(gate, Make(2)), Verdict::kRun);
  EXPECT_EQ(Offer(gate, Make(2, std::chrono::seconds(9))), Verdict::kQueued);
  EXPECT_EQ(Offer(gate, Make(1)), Verdict::kRun);
  now_ += milliseconds(1500);
  EXPECT_EQ(gate.Expire(now_).run.size(), 1U);
  EXPECT_EQ(gate.running(), 4U);
}

// Guards against new requests at a leaving upstream, and against a drain that ends running ones.
TEST_F(AdmissionGateTest, LeavingDropsTheQueueAndKeepsRunning) {
  AdmissionGate gate(Limits(1), Classes());
  const Ticket running = Make(2);
  EXPECT_EQ(Offer(gate, running), Verdict::kRun);
  EXPECT_EQ(Offer(gate, Make(1)), Verdict::kQueued);
  const GateChanges changes = gate.BeginLeaving(now_);
  ASSERT_EQ(changes.dropped.size(), 1U);
  EXPECT_EQ(changes.dropped[0].reason, Reason::kLeaving);
  EXPECT_EQ(gate.Offer(Make(1), now_).reason, Reason::kLeaving);
  EXPECT_FALSE(gate.has_drained());
  EXPECT_TRUE(gate.Finish(running.id, Outcome::kSucceeded, milliseconds(5), now_).run.empty());
  EXPECT_TRUE(gate.has_drained());
}

// Guards against a cancelled request that takes a slot later.
TEST_F(AdmissionGateTest, CancelledRequestNeverRuns) {
  AdmissionGate gate(Limits(1), Classes());
  const Ticket running = Make(2);
  const Ticket waiting = Make(2);
  Offer(gate, running);
  Offer(gate, waiting);
  ASSERT_EQ(gate.Cancel(waiting.id, now_).dropped.size(), 1U);
  EXPECT_TRUE(gate.Cancel(running.id, now_).dropped.empty());
  EXPECT_EQ(gate.running(), 1U);
  EXPECT_TRUE(gate.Finish(running.id, Outcome::kCancelled, milliseconds(5), now_).run.empty());
}

// Guards against a gate that starts requests over the slots after a release note lowered them.
TEST_F(AdmissionGateTest, ReconfigureKeepsRunningAndStartsNoneOverTheSlots) {
  AdmissionGate gate(Limits(3), Classes());
  const Ticket first = Make(2);
  Offer(gate, first);
  Offer(gate, Make(2));
  Offer(gate, Make(2));
  gate.Reconfigure(Limits(2), Classes());
  EXPECT_EQ(Offer(gate, Make(2)), Verdict::kQueued);
  EXPECT_TRUE(gate.Finish(first.id, Outcome::kSucceeded, milliseconds(5), now_).run.empty());
  EXPECT_THROW(gate.Reconfigure(Limits(0), Classes()), AdmissionError);
}

// Guards against counters that do not account for every offered request.
TEST_F(AdmissionGateTest, CountersBalance) {
  AdmissionGate gate(Limits(1), Classes(1));
  for (int i = 0; i < 5; ++i) {
    gate.Offer(Make(2), now_);
  }
  const ClassCounters counters = gate.Snapshot().classes.at("browse");
  std::uint64_t refused = 0;
  for (const std::uint64_t count : counters.refused) {
    refused += count;
  }
  EXPECT_EQ(counters.offered, 5U);
  EXPECT_EQ(counters.started + counters.queued + refused, 5U);
}

}  // namespace
}  // namespace borageloft::admission
