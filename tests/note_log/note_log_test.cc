#include "libraries/note_log/note_log.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace borageloft::note_log {
namespace {

class VerifyFailure : public std::exception {};

class NoteLogTest : public ::testing::Test {
 protected:
  void SetUp() override {
    base::ReplaceVerifyHandler([](const char*, const char*, int) { throw VerifyFailure(); });
    options_.validate = [](const PolicyChain&, const Note& note) {
      return note.text == "wrong" ? std::vector<std::string>{"line 1: wrong", "line 2: wrong"}
                                  : std::vector<std::string>{};
    };
    options_.max_chain_notes = 10;
  }
  void TearDown() override { base::ReplaceVerifyHandler({}); }

  static Note MakeNote(NoteNumber number, const std::string& text, std::string author = "ana") {
    return {number, std::move(author), base::Digest(text), text};
  }

  static void Fill(NoteLogState& state, NoteNumber count) {
    for (NoteNumber number = state.latest() + 1; number <= count; ++number) {
      ASSERT_EQ(state.Apply(MakeNote(number, fmt::format("text {}", number))).kind,
                NoteOutcomeKind::kAccepted);
    }
  }

  ForwardOnlyNote MakeHolder() {
    return ForwardOnlyNote({[this] { return saved_; },
                            [this](const std::string& bytes) {
                              if (is_disk_full_) {
                                throw std::runtime_error("disk full");
                              }
                              saved_ = bytes;
                            }},
                           JoinTexts(), 10);
  }

  NoteLogOptions options_;
  std::optional<std::string> saved_;
  bool is_disk_full_ = false;
};

// Guards against two operators who both believe that their note has the number.
TEST_F(NoteLogTest, RacingNotesHaveOneWinner) {
  NoteLogState state(options_);
  EXPECT_EQ(state.Apply(MakeNote(1, "a", "ana")).kind, NoteOutcomeKind::kAccepted);
  EXPECT_EQ(state.Apply(MakeNote(1, "a", "ana")).kind, NoteOutcomeKind::kAlreadyAccepted);
  const NoteOutcome lost = state.Apply(MakeNote(1, "b", "bob"));
  EXPECT_EQ(lost.kind, NoteOutcomeKind::kConflict);
  EXPECT_EQ(lost.winner_author, "ana");
  EXPECT_EQ(lost.winner_digest, base::Digest("a"));
  const NoteOutcome gap = state.Apply(MakeNote(3, "c"));
  EXPECT_EQ(gap.kind, NoteOutcomeKind::kGap);
  EXPECT_EQ(gap.expected, 2U);
  EXPECT_EQ(state.latest(), 1U);
}

// Guards against a note that is accepted in part, and against errors reported one by one.
TEST_F(NoteLogTest, InvalidNoteIsRefusedWithAllErrors) {
  NoteLogState state(options_);
  const NoteOutcome outcome = state.Apply(MakeNote(1, "wrong"));
  EXPECT_EQ(outcome.kind, NoteOutcomeKind::kInvalid);
  EXPECT_EQ(outcome.errors.size(), 2U);
  EXPECT_EQ(state.latest(), 0U);
  EXPECT_EQ(state.ApplyEncoded("garbage").kind, NoteOutcomeKind::kMalformed);
  EXPECT_EQ(state.Apply(MakeNote(1, std::string(kMaxNoteBytes + 1, 'x'))).kind,
            NoteOutcomeKind::kInvalid);
}

// Guards against a wrong answer to a resend of a number that is no longer remembered.
TEST_F(NoteLogTest, ForgottenNumberIsNotCalledAccepted) {
  options_.remembered_notes = 10;
  NoteLogState state(options_);
  Fill(state, 30);
  EXPECT_EQ(state.Apply(MakeNote(20, "text 20")).kind, NoteOutcomeKind::kForgotten);
  EXPECT_EQ(state.Apply(MakeNote(21, "text 21")).kind, NoteOutcomeKind::kAlreadyAccepted);
  ASSERT_EQ(state.History(0, 3).size(), 3U);
  EXPECT_EQ(state.History(0, 3)[0].number, 21U);
}

// Guards against hosts that differ after one of them restored a snapshot.
TEST_F(NoteLogTest, RestoredStateEqualsAppliedState) {
  NoteLogState applied(options_);
  Fill(applied, 300);
  NoteLogState restored(options_);
  restored.Restore(applied.Snapshot());
  Fill(applied, 320);
  Fill(restored, 320);
  EXPECT_EQ(restored.Snapshot(), applied.Snapshot());
  EXPECT_EQ(restored.Apply(MakeNote(5, "text 5")).kind, NoteOutcomeKind::kAlreadyAccepted);
}

// Guards against a snapshot that takes accepted notes back.
TEST_F(NoteLogTest, RestoreMovesForwardOnly) {
  NoteLogState state(options_);
  Fill(state, 5);
  const std::string old = state.Snapshot();
  Fill(state, 6);
  EXPECT_THROW(state.Restore(old), VerifyFailure);
  EXPECT_THROW(state.Restore("garbage"), NoteLogError);
  EXPECT_EQ(state.latest(), 6U);
}

// Guards against a holder that misses a note or never catches up, whatever it starts from.
TEST_F(NoteLogTest, HolderCatchesUpFromAnyNumber) {
  NoteLogState state(options_);
  Fill(state, 300);
  for (const NoteNumber start : {0U, 1U, 289U, 290U, 291U, 300U}) {
    saved_.reset();
    ForwardOnlyNote holder = MakeHolder();
    NoteLogState earlier(options_);
    Fill(earlier, start);
    holder.Offer(earlier.DeltaSince(0, 1'000'000));
    ASSERT_EQ(holder.number(), start);
    int rounds = 0;
    while (holder.number() < state.latest()) {
      const NoteDelta delta = DecodeDelta(EncodeDelta(state.DeltaSince(holder.number(), 20)));
      ASSERT_EQ(holder.Offer(delta), OfferResult::kAdvanced);
      ASSERT_LT(++rounds, 11);
    }
    EXPECT_EQ(holder.chain(), state.chain());
  }
  EXPECT_TRUE(state.DeltaSince(400, 100).notes.empty());
}

// Guards against a number in force that falls, also over a restart or a full disk.
TEST_F(NoteLogTest, HolderMovesForwardOnly) {
  NoteLogState state(options_);
  Fill(state, 3);
  const NoteDelta three = state.DeltaSince(0, 1000);
  Fill(state, 5);
  ForwardOnlyNote holder = MakeHolder();
  EXPECT_EQ(holder.Offer(state.DeltaSince(4, 1000)), OfferResult::kGap);
  EXPECT_EQ(holder.Offer(three), OfferResult::kAdvanced);
  is_disk_full_ = true;
  EXPECT_THROW(holder.Offer(state.DeltaSince(3, 1000)), NoteLogError);
  EXPECT_EQ(holder.number(), 3U);
  is_disk_full_ = false;
  EXPECT_EQ(holder.Offer(state.DeltaSince(3, 1000)), OfferResult::kAdvanced);
  EXPECT_EQ(holder.Offer(three), OfferResult::kUnchanged);
  ForwardOnlyNote restarted = MakeHolder();
  EXPECT_EQ(restarted.number(), 5U);
  NoteDelta other;
  other.notes = {MakeNote(5, "other")};
  EXPECT_EQ(restarted.Offer(other), OfferResult::kConflict);
}

// Guards against crashes on cut input and against outcomes that lose a field.
TEST_F(NoteLogTest, CodecRefusesCutInput) {
  NoteLogState state(options_);
  Fill(state, 12);
  const std::string snapshot = state.Snapshot();
  for (std::size_t size = 0; size < snapshot.size(); ++size) {
    EXPECT_THROW(DecodeLogSnapshot(std::string_view(snapshot).substr(0, size)), NoteLogError);
  }
  const NoteOutcome outcome{NoteOutcomeKind::kConflict, 3, 7, "digest", "ana", {"one", "two"}};
  EXPECT_EQ(DecodeOutcome(EncodeOutcome(outcome)), outcome);
}

template <typename Decode>
bool Decodes(Decode decode, const std::string& bytes) {
  try {
    decode(bytes);
    return true;
  } catch (const NoteLogError&) {
    return false;
  }
}

// Guards against the return of inputs that once broke a decoder. Files named ok-* must decode as
// one of the types, all others as none.
TEST_F(NoteLogTest, CorpusIsReplayed) {
  std::size_t count = 0;
  for (const auto& file : std::filesystem::directory_iterator(BORAGELOFT_CORPUS)) {
    std::ifstream stream(file.path(), std::ios::binary);
    std::ostringstream content;
    content << stream.rdbuf();
    const std::string bytes = content.str();
    const bool decodes = Decodes(DecodeNote, bytes) || Decodes(DecodeOutcome, bytes) ||
                         Decodes(DecodeDelta, bytes) || Decodes(DecodeChain, bytes) ||
                         Decodes(DecodeLogSnapshot, bytes);
    EXPECT_EQ(decodes, file.path().filename().string().starts_with("ok-")) << file.path();
    ++count;
  }
  EXPECT_GE(count, 8U);
}

}  // namespace
}  // namespace borageloft::note_log
