#include "libraries/ledger/ledger.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "tests/ledger/ledger_command_fuzz.h"
#include "tests/ledger/ledger_run.h"

namespace borageloft::ledger {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const base::WallTime kNow = base::WallTime(hours(490'000));
constexpr RequestDigest kDigest{11};
constexpr NodeId kNode{1};

class LedgerTest : public ::testing::Test {
 protected:
  IdempotencyKey NewKey(base::Duration offset = {}) {
    return IdempotencyKey::Generate(kNow + offset, random_);
  }
  PermitId NewPermit(const IdempotencyKey& key, std::uint64_t number = 1,
                     std::uint64_t incarnation = 1) {
    return {.key = key, .node = kNode, .incarnation = incarnation, .number = number};
  }
  GrantCommand NewGrant(const PermitId& permit, RequestDigest digest = kDigest) {
    return {permit, digest, kNow + seconds(1)};
  }
  CommandResult Apply(LedgerState& state, const Command& command, base::Duration offset = {}) {
    return DecodeResults(state.Apply(EncodeBatch({kNow + offset, {command}}))).front();
  }

  base::Random random_ = base::SeededRandom(5);
  LedgerState state_;
};

// Guards against accepting a key whose time cannot bound the ledger's memory of it.
TEST_F(LedgerTest, ParsesOnlyUuidVersion7) {
  // Example of RFC 9562, appendix A.6.
  const std::string text = "017F22E2-79B0-7CC3-98C4-DC0C0C07398F";
  const IdempotencyKey key = IdempotencyKey::Parse(text);
  EXPECT_EQ(key.timestamp(), milliseconds(1'645'557'742'000));
  EXPECT_EQ(key.ToString(), "017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
  EXPECT_EQ(IdempotencyKey::FromBytes(key.ToBytes()), key);
  for (const char* bad :
       {"", "017F22E2-79B0-4CC3-98C4-DC0C0C07398F", "017F22E2-79B0-7CC3-58C4-DC0C0C07398F",
        "017F22E2079B0-7CC3-98C4-DC0C0C07398F", "017F22E2-79B0-7CC3-98C4-DC0C0C07398G",
        "017F22E2-79B0-7CC3-98C4-DC0C0C07398F0", "{17F22E2-79B0-7CC3-98C4-DC0C0C07398}"}) {
    EXPECT_THROW(IdempotencyKey::Parse(bad), LedgerError) << bad;
  }
}

// Guards against an edge of the window at which a forgotten key could be granted again.
TEST_F(LedgerTest, WindowHasExactEdges) {
  EXPECT_EQ(NewKey(-kKeyWindow).AgeAt(kNow), KeyAge::kWithinWindow);
  EXPECT_EQ(NewKey(-kKeyWindow - milliseconds(1)).AgeAt(kNow), KeyAge::kExpired);
  EXPECT_EQ(NewKey(kClockSkew).AgeAt(kNow), KeyAge::kWithinWindow);
  EXPECT_EQ(NewKey(kClockSkew + milliseconds(1)).AgeAt(kNow), KeyAge::kTooNew);
  const IdempotencyKey latest = IdempotencyKey::Parse("ffffffff-ffff-7fff-bfff-ffffffffffff");
  EXPECT_EQ(latest.AgeAt(kNow), KeyAge::kTooNew);
  EXPECT_EQ(Apply(state_, FinishCommand{NewPermit(latest), {}}).code, ResultCode::kExpired);
}

// Guards against a second grant, and against an answer given to another request.
TEST_F(LedgerTest, GrantsKeyOnce) {
  const IdempotencyKey key = NewKey();
  EXPECT_EQ(Apply(state_, NewGrant(NewPermit(key))).code, ResultCode::kGranted);
  EXPECT_EQ(Apply(state_, NewGrant(NewPermit(key))).code, ResultCode::kGranted);
  EXPECT_EQ(Apply(state_, NewGrant(NewPermit(key, 2))).code, ResultCode::kHeldByOther);
  EXPECT_EQ(Apply(state_, NewGrant(NewPermit(key, 1, 2))).code, ResultCode::kHeldByOther);
  EXPECT_EQ(Apply(state_, ReleaseCommand{NewPermit(key, 1, 2), kDigest}).code,
            ResultCode::kHeldByOther);
  EXPECT_EQ(Apply(state_, FinishCommand{NewPermit(key), "done"}).code, ResultCode::kFinished);
  const CommandResult again = Apply(state_, NewGrant(NewPermit(key, 2)));
  EXPECT_EQ(again.code, ResultCode::kFinished);
  EXPECT_EQ(again.answer, "done");
  const CommandResult other = Apply(state_, NewGrant(NewPermit(key, 3), RequestDigest{12}));
  EXPECT_EQ(other.code, ResultCode::kOtherDigest);
  EXPECT_FALSE(other.answer.has_value());
  const CommandResult released =
      Apply(state_, ReleaseCommand{NewPermit(key, 3), RequestDigest{12}});
  EXPECT_EQ(released.code, ResultCode::kOtherDigest);
  EXPECT_FALSE(released.answer.has_value());
}

// Guards against a grant that arrives after its own release, or after a refusal that a caller has
// already heard of.
TEST_F(LedgerTest, NotRunIsFinal) {
  const IdempotencyKey overtaken = NewKey();
  EXPECT_EQ(Apply(state_, ReleaseCommand{NewPermit(overtaken), kDigest}).code, ResultCode::kNotRun);
  EXPECT_EQ(Apply(state_, NewGrant(NewPermit(overtaken))).code, ResultCode::kNotRun);
  const IdempotencyKey late = NewKey();
  EXPECT_EQ(Apply(state_, GrantCommand{NewPermit(late), kDigest, kNow - kClockSkew}).code,
            ResultCode::kNotRun);
  EXPECT_EQ(Apply(state_, NewGrant(NewPermit(late, 2))).code, ResultCode::kNotRun);
}

// Guards against a time that goes back and admits a key that was forgotten.
TEST_F(LedgerTest, ForgetsOutsideWindowForGood) {
  const IdempotencyKey key = NewKey();
  Apply(state_, NewGrant(NewPermit(key)));
  Apply(state_, FinishCommand{NewPermit(key), std::string(kMaximumAnswerBytes, 'a')});
  Apply(state_, ExpireCommand{}, kKeyWindow + seconds(20));
  EXPECT_EQ(state_.key_count(), 0U);
  EXPECT_EQ(state_.answer_bytes(), 0U);
  EXPECT_EQ(Apply(state_, NewGrant(NewPermit(key))).code, ResultCode::kExpired);
}

// Guards against unbounded memory, and against "not run" for a key that could not be recorded.
TEST_F(LedgerTest, FullLedgerClosesKeysWhileItCan) {
  LedgerState state({.maximum_keys = 8});
  std::vector<IdempotencyKey> keys;
  for (int i = 0; i < 8; ++i) {
    keys.push_back(NewKey());
    EXPECT_EQ(Apply(state, NewGrant(NewPermit(keys.back()))).code, ResultCode::kGranted);
  }
  EXPECT_EQ(Apply(state, NewGrant(NewPermit(NewKey()))).code, ResultCode::kNotRun);
  EXPECT_EQ(Apply(state, NewGrant(NewPermit(NewKey()))).code, ResultCode::kFull);
  EXPECT_EQ(Apply(state, ReleaseCommand{NewPermit(keys[0]), kDigest}).code, ResultCode::kNotRun);
}

// Guards against unbounded answers, and against the newest ones being those that are missing.
TEST_F(LedgerTest, DropsOldestAnswersFirst) {
  LedgerState state({.maximum_keys = 8, .maximum_answer_bytes = 5});
  const std::vector<IdempotencyKey> keys = {NewKey(-seconds(20)), NewKey(-seconds(10)), NewKey()};
  for (const IdempotencyKey& key : keys) {
    Apply(state, NewGrant(NewPermit(key)));
  }
  Apply(state, FinishCommand{NewPermit(keys[1]), "22"});
  Apply(state, FinishCommand{NewPermit(keys[0]), "11"});
  Apply(state, FinishCommand{NewPermit(keys[2]), "333"});
  EXPECT_EQ(state.answer_bytes(), 5U);
  const CommandResult oldest = Apply(state, NewGrant(NewPermit(keys[0], 2)));
  EXPECT_EQ(oldest.code, ResultCode::kFinished);
  EXPECT_FALSE(oldest.answer.has_value());
  EXPECT_EQ(Apply(state, NewGrant(NewPermit(keys[1], 2))).answer, "22");
  EXPECT_EQ(Apply(state, NewGrant(NewPermit(keys[2], 2))).answer, "333");
}

// Guards against a damaged or foreign message changing a replica, and against a partial restore.
TEST_F(LedgerTest, RefusesEveryTruncatedMessage) {
  const IdempotencyKey key = NewKey();
  const std::string batch =
      EncodeBatch({kNow,
                   {NewGrant(NewPermit(key)), FinishCommand{NewPermit(key), "done"},
                    NewGrant(NewPermit(NewKey())), ExpireCommand{}}});
  state_.Apply(batch);
  const std::string snapshot = state_.Snapshot();
  for (std::size_t size = 0; size < batch.size(); ++size) {
    EXPECT_THROW(state_.Apply(std::string_view(batch).substr(0, size)), LedgerError) << size;
  }
  for (std::size_t size = 0; size < snapshot.size(); ++size) {
    EXPECT_THROW(state_.Restore(std::string_view(snapshot).substr(0, size)), LedgerError) << size;
  }
  EXPECT_THROW(state_.Apply(batch + "x"), LedgerError);
  EXPECT_THROW(LedgerState({.maximum_keys = 9}).Restore(snapshot), LedgerError);
  EXPECT_EQ(state_.Snapshot(), snapshot);
  const std::string large(kMaximumAnswerBytes + 1, 'x');
  EXPECT_THROW(EncodeBatch({kNow, {FinishCommand{NewPermit(key), large}}}), LedgerError);
}

class PermitGateTest : public LedgerTest {
 protected:
  // Offers a key and applies its grant.
  Permit Obtain(PermitGate& gate, const IdempotencyKey& key) {
    const Offer offer = gate.OfferRequest(key, kDigest, kNow + seconds(1), kNow);
    EXPECT_EQ(offer.decision, OfferDecision::kAskGrant);
    const GateEvent event = gate.HandleResult(Apply(state_, *offer.grant), kNow);
    EXPECT_EQ(event.decision, GateDecision::kPermitted);
    return *event.permit;
  }
  OfferDecision OfferAgain(PermitGate& gate, const IdempotencyKey& key,
                           RequestDigest digest = kDigest) {
    return gate.OfferRequest(key, digest, kNow + seconds(1), kNow).decision;
  }

  PermitGate gate_{kNode, 1};
  IdempotencyKey key_ = NewKey();
};

// Guards against a permit that lets a request run a second time, late, or in place of another.
TEST_F(PermitGateTest, FencesPermits) {
  const Permit permit = Obtain(gate_, key_);
  PermitGate later(kNode, 2);
  PermitGate other(NodeId{2}, 1);
  EXPECT_EQ(later.Begin(permit, kDigest, kNow), PermitRefusal::kOtherIncarnation);
  EXPECT_EQ(other.Begin(permit, kDigest, kNow), PermitRefusal::kOtherNode);
  EXPECT_EQ(gate_.Begin(permit, RequestDigest{12}, kNow), PermitRefusal::kOtherDigest);
  Permit renumbered = permit;
  ++renumbered.id.number;
  EXPECT_EQ(gate_.Begin(renumbered, kDigest, kNow), PermitRefusal::kUnknownKey);
  EXPECT_EQ(gate_.Begin(permit, kDigest, kNow), PermitRefusal::kNone);
  EXPECT_EQ(gate_.Begin(permit, kDigest, kNow), PermitRefusal::kUsed);

  const Permit late = Obtain(gate_, NewKey());
  EXPECT_EQ(gate_.Begin(late, kDigest, kNow + seconds(1)), PermitRefusal::kLate);
  EXPECT_EQ(gate_.Begin(late, kDigest, kNow), PermitRefusal::kUsed);
}

// Guards against a resend that runs again or gets the answer of another request.
TEST_F(PermitGateTest, ResendNeverRunsAgain) {
  const Permit permit = Obtain(gate_, key_);
  EXPECT_EQ(OfferAgain(gate_, key_), OfferDecision::kJoin);
  gate_.Begin(permit, kDigest, kNow);
  EXPECT_EQ(OfferAgain(gate_, key_), OfferDecision::kJoin);
  EXPECT_EQ(OfferAgain(gate_, key_, RequestDigest{12}), OfferDecision::kOtherDigest);
  const auto finish = gate_.Finish(key_, RunEnd::kAnswered, "done", kNow);
  const Offer again = gate_.OfferRequest(key_, kDigest, kNow + seconds(1), kNow);
  EXPECT_EQ(again.decision, OfferDecision::kAnswer);
  EXPECT_EQ(again.answer, "done");
  // The finish is sent until the ledger confirms it; only then may the gate forget the key.
  gate_.Expire(kNow + hours(1));
  EXPECT_EQ(gate_.PendingCommands().size(), 1U);
  gate_.HandleResult(Apply(state_, *finish), kNow);
  EXPECT_TRUE(gate_.PendingCommands().empty());
  gate_.Expire(kNow + hours(1));
  EXPECT_EQ(gate_.key_count(), 0U);
}

// Guards against "not run" being told before it is durable, and after an uncertain run.
TEST_F(PermitGateTest, TellsNotRunOnlyAfterConfirmation) {
  gate_.OfferRequest(key_, kDigest, kNow + seconds(1), kNow);
  const std::vector<Command> releases = gate_.Expire(kNow + seconds(1));
  ASSERT_EQ(releases.size(), 1U);
  EXPECT_EQ(OfferAgain(gate_, key_), OfferDecision::kJoin);
  EXPECT_EQ(gate_.HandleResult(Apply(state_, releases[0]), kNow).decision, GateDecision::kNotRun);
  EXPECT_EQ(OfferAgain(gate_, key_), OfferDecision::kNotRun);

  const IdempotencyKey uncertain = NewKey();
  gate_.Begin(Obtain(gate_, uncertain), kDigest, kNow);
  EXPECT_FALSE(gate_.Finish(uncertain, RunEnd::kUncertain, "", kNow).has_value());
  EXPECT_EQ(OfferAgain(gate_, uncertain), OfferDecision::kUnknown);
  PermitGate later(kNode, 2);
  const Offer offer = later.OfferRequest(uncertain, kDigest, kNow + seconds(1), kNow);
  EXPECT_EQ(later.HandleResult(Apply(state_, *offer.grant), kNow).decision, GateDecision::kUnknown);
}

// Guards against "not run" for a withdrawn attempt whose grant was asked for, and against its use.
TEST_F(PermitGateTest, WithdrawsOnlyUnsentRequests) {
  const Offer unsent = gate_.OfferRequest(key_, kDigest, kNow + seconds(1), kNow);
  EXPECT_EQ(gate_.Withdraw(unsent.grant->permit), WithdrawDecision::kWithdrawn);
  EXPECT_EQ(gate_.Withdraw(unsent.grant->permit), WithdrawDecision::kTooLate);
  const Offer resent = gate_.OfferRequest(key_, kDigest, kNow + seconds(1), kNow);
  EXPECT_EQ(gate_.HandleResult(Apply(state_, *unsent.grant), kNow).decision,
            GateDecision::kIgnored);
  EXPECT_EQ(gate_.PendingCommands().size(), 1U);
  EXPECT_EQ(gate_.Withdraw(resent.grant->permit), WithdrawDecision::kTooLate);
  EXPECT_EQ(gate_.HandleResult(Apply(state_, *resent.grant), kNow).decision,
            GateDecision::kUnknown);
}

// Guards against unbounded gate memory, and against forgetting a key that is running.
TEST_F(PermitGateTest, HoldsBoundedKeys) {
  PermitGate gate(kNode, 1, {.maximum_keys = 1, .retention = seconds(1)});
  gate.Begin(Obtain(gate, key_), kDigest, kNow);
  EXPECT_EQ(OfferAgain(gate, NewKey()), OfferDecision::kFull);
  gate.Expire(kNow + hours(100));
  EXPECT_EQ(gate.StateOf(key_), PermitState::kRunning);
}

// Guards against batches above their bound, lost order and commands that wait too long.
TEST_F(LedgerTest, BatcherBoundsSizeAndWait) {
  GrantBatcher batcher({.maximum_commands = 2,
                        .maximum_bytes = 2 * kMaximumAnswerBytes,
                        .maximum_queued = 4,
                        .linger = milliseconds(2)});
  const base::TimePoint start{};
  EXPECT_FALSE(batcher.NextDue().has_value());
  const PermitId first = NewPermit(NewKey());
  batcher.Add(NewGrant(first), start);
  EXPECT_FALSE(batcher.TakeReady(start + milliseconds(1), kNow).has_value());
  EXPECT_EQ(batcher.TakeReady(start + milliseconds(2), kNow)->commands.size(), 1U);
  const std::string large(kMaximumAnswerBytes, 'x');
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(batcher.Add(FinishCommand{first, large}, start), AddDecision::kQueued);
  }
  EXPECT_EQ(batcher.Add(ExpireCommand{}, start), AddDecision::kFull);
  const auto batch = batcher.TakeReady(start, kNow);
  ASSERT_TRUE(batch.has_value());
  EXPECT_EQ(batch->commands.size(), 1U) << "two answers of 64 KiB exceed the bound";
  EXPECT_LE(EncodeBatch(*batch).size(), 2 * kMaximumAnswerBytes);
  EXPECT_THROW(GrantBatcher({.maximum_commands = kMaximumBatchCommands + 1}), LedgerError);
}

// Guards against a key that moves to another group, where it could be granted again.
TEST_F(LedgerTest, KeyNeverMovesBetweenGroups) {
  LedgerGroups groups;
  std::vector<LedgerGroup> set = {{"a", "north"}, {"b", "north"}, {"c", "north"}, {"d", "south"}};
  groups.SetGroups(set, kNow, kNow);
  groups.SetHome("claims", "north", kNow, kNow);
  std::map<std::string, int> load;
  std::map<IdempotencyKey, std::string> before;
  for (int i = 0; i < 3000; ++i) {
    const IdempotencyKey key = NewKey(milliseconds(i));
    before[key] = groups.GroupOf(key, "claims").name;
    ++load[before[key]];
  }
  EXPECT_EQ(load.size(), 3U);
  for (const auto& [name, count] : load) {
    EXPECT_NEAR(count, 1000, 150) << name;
  }
  set.push_back({"e", "north"});
  EXPECT_THROW(groups.SetGroups(set, kNow + seconds(80), kNow), LedgerError);
  groups.SetGroups(set, kNow + seconds(90), kNow);
  groups.SetHome("claims", "south", kNow + seconds(100), kNow);
  groups.ForgetOld(kNow + hours(24));
  for (const auto& [key, name] : before) {
    EXPECT_EQ(groups.GroupOf(key, "claims").name, name);
  }
  EXPECT_EQ(groups.GroupOf(NewKey(seconds(100)), "claims").name, "d");
  EXPECT_THROW(groups.GroupOf(NewKey(), "unknown"), LedgerError);
}

// Guards against double runs, false "not run" and second grants under loss, repetition, reordering
// and restarts. LEDGER_SEEDS sets the number of seeds, LEDGER_SEED runs a single one.
TEST(LedgerRunTest, HoldsRulesUnderFaults) {
  constexpr int kSteps = 60'000;
  base::ReplaceVerifyHandler([](const char* expression, const char*, int) {
    throw RunFailure(std::string("VERIFY ") + expression);
  });
  const char* count = std::getenv("LEDGER_SEEDS");
  const char* single = std::getenv("LEDGER_SEED");
  const std::uint64_t first = single != nullptr ? std::strtoull(single, nullptr, 10) : 1;
  const std::uint64_t seeds = single != nullptr  ? 1
                              : count != nullptr ? std::strtoull(count, nullptr, 10)
                                                 : 18;
  RunCounts sum;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    LedgerRun run(seed);
    int step = 0;
    try {
      for (; step < kSteps; ++step) {
        run.Step();
      }
      run.CheckReplica();
    } catch (const RunFailure& failure) {
      ADD_FAILURE() << "seed " << seed << " fails after " << step + 1
                    << " steps: " << failure.what();
    }
    sum.granted += run.counts().granted;
    sum.ran += run.counts().ran;
    sum.not_run += run.counts().not_run;
    sum.unknown += run.counts().unknown;
    sum.answered_again += run.counts().answered_again;
    sum.refused_permits += run.counts().refused_permits;
    sum.expired += run.counts().expired;
  }
  base::ReplaceVerifyHandler({});
  std::cout << "granted " << sum.granted << " ran " << sum.ran << " not run " << sum.not_run
            << " unknown " << sum.unknown << " answered again " << sum.answered_again
            << " refused permits " << sum.refused_permits << " expiries " << sum.expired << "\n";
  // A run that never reaches these cases proves nothing about them.
  for (const std::uint64_t reached : {sum.granted, sum.ran, sum.not_run, sum.unknown,
                                      sum.answered_again, sum.refused_permits, sum.expired}) {
    EXPECT_GE(reached, seeds);
  }
}

// Guards against a decoder fault that the fuzzer once found.
TEST(LedgerCorpusTest, ReplaysCorpus) {
  std::size_t count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(LEDGER_CORPUS)) {
    std::ifstream stream(entry.path(), std::ios::binary);
    std::stringstream content;
    content << stream.rdbuf();
    CheckCommandInput(content.str());
    ++count;
  }
  EXPECT_GE(count, 3U);
}

}  // namespace
}  // namespace borageloft::ledger
