#include <gtest/gtest.h>

#include "libraries/dissemination/dissemination.h"

namespace borageloft::dissemination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class TreeNodeTest : public ::testing::Test {
 protected:
  TreeNodeTest() {
    TreeNodeSettings settings;
    settings.node = "n";
    settings.zone = "z";
    settings.control_hosts = {"c0"};
    TreeNodeHooks hooks;
    hooks.send = [this](const std::string& to, const Message& message) {
      sent_.emplace_back(to, message);
      if (const auto* status = std::get_if<StatusUp>(&message)) {
        last_sequence_[to] = status->sequence;
      }
    };
    hooks.random = base::SeededRandom(1);
    hooks.apply = [this](const ReleaseNote& note) {
      applied_.push_back(note.number);
      return !is_failing_;
    };
    hooks.install = [](const ReleaseNote&) { return true; };
    node_ = std::make_unique<TreeNode>(settings, hooks, 1, 0, now_);
    node_->Tick(now_);
  }

  /** Answers the last status that the node sent to @p parent. */
  void Answer(const std::string& parent, std::uint32_t root_age_ms = 0) {
    node_->Receive(parent, StatusDown{parent, last_sequence_[parent], 0, 0, root_age_ms, true},
                   now_);
  }

  bool HasSentDetach(const std::string& to) const {
    return std::any_of(sent_.begin(), sent_.end(), [&](const auto& item) {
      return item.first == to && std::holds_alternative<Detach>(item.second);
    });
  }

  base::TimePoint now_ = base::TimePoint() + std::chrono::hours(1);
  std::vector<std::pair<std::string, Message>> sent_;
  std::map<std::string, std::uint64_t> last_sequence_;
  std::vector<std::uint64_t> applied_;
  bool is_failing_ = false;
  std::unique_ptr<TreeNode> node_;
};

// Guards against a node that counts twice for long, or loses its old parent before the new one
// has answered.
TEST_F(TreeNodeTest, MovesOnlyAfterTheNewParentAnswers) {
  Answer("c0");
  EXPECT_EQ(node_->parent(), "c0");
  node_->Receive("c0", Position{1, {"p", "g", "c0"}}, now_);
  EXPECT_EQ(node_->parent(), "c0");
  EXPECT_FALSE(HasSentDetach("c0"));
  Answer("p");
  EXPECT_EQ(node_->parent(), "p");
  EXPECT_TRUE(HasSentDetach("c0"));
  // An older position changes nothing.
  node_->Receive("c0", Position{1, {"q", "c0"}}, now_);
  EXPECT_EQ(last_sequence_.count("q"), 0U);
}

// Guards against a group of nodes that keep each other as ancestors without any control host.
TEST_F(TreeNodeTest, LeavesAParentThatIsCutOffFromTheRoot) {
  node_->Receive("c0", Position{1, {"p", "c0"}}, now_);
  Answer("p");
  for (int second = 0; second < 12 && node_->parent() == "p"; ++second) {
    now_ += seconds(1);
    node_->Tick(now_);
    Answer("p", static_cast<std::uint32_t>(1000 * (second + 1)));
  }
  EXPECT_NE(node_->parent(), "p");
  EXPECT_TRUE(HasSentDetach("p"));
}

// Guards against two nodes with outdated positions that become each other's parents.
TEST_F(TreeNodeTest, RefusesItsParentAsChild) {
  node_->Receive("c0", Position{1, {"p", "c0"}}, now_);
  Answer("p");
  node_->Receive("p", StatusUp{"p", "z", 1, 1, 0, false, {}}, now_);
  EXPECT_EQ(node_->child_count(), 0U);
  EXPECT_FALSE(std::get<StatusDown>(sent_.back().second).is_accepted);
  node_->Receive("q", StatusUp{"q", "z", 1, 1, 0, false, {}}, now_);
  EXPECT_EQ(node_->child_count(), 1U);
  EXPECT_TRUE(std::get<StatusDown>(sent_.back().second).is_accepted);
}

// Guards against notes out of order, twice or backwards, and against a number that is reported
// although the note could not be persisted.
TEST_F(TreeNodeTest, AppliesEachNoteOnceAndInOrder) {
  const auto note = [](std::uint64_t number) {
    return NoteMessage{{number, "digest-" + std::to_string(number), ""}};
  };
  node_->Receive("c0", note(2), now_);
  EXPECT_TRUE(applied_.empty());
  node_->Receive("c0", note(1), now_);
  node_->Receive("c0", note(1), now_);
  EXPECT_EQ(applied_, (std::vector<std::uint64_t>{1, 2}));
  EXPECT_EQ(node_->counts().duplicates, 1U);
  is_failing_ = true;
  node_->Receive("c0", note(3), now_);
  EXPECT_EQ(node_->number(), 2U);
  node_->Receive("c0", NoteMessage{{2, "other", ""}}, now_);
  EXPECT_EQ(node_->counts().conflicts, 1U);
  node_->Receive("c0", SnapshotMessage{{1, "digest-1", ""}}, now_);
  EXPECT_EQ(node_->number(), 2U);
}

// Guards against a child that never gets a note whose packet or confirmation was lost.
TEST_F(TreeNodeTest, ResendsWhatAChildHasNotConfirmed) {
  node_->Receive("q", StatusUp{"q", "z", 1, 1, 0, false, {}}, now_);
  node_->Receive("c0", NoteMessage{{1, "digest", "text"}}, now_);
  const auto count_sent = [this] {
    return std::count_if(sent_.begin(), sent_.end(), [](const auto& item) {
      return item.first == "q" && std::holds_alternative<NoteMessage>(item.second);
    });
  };
  EXPECT_EQ(count_sent(), 1);
  now_ += milliseconds(100);
  node_->Tick(now_);
  EXPECT_EQ(count_sent(), 2);
  node_->Receive("q", StatusUp{"q", "z", 1, 2, 1, false, {}}, now_);
  now_ += seconds(1);
  node_->Tick(now_);
  EXPECT_EQ(count_sent(), 2);
}

}  // namespace
}  // namespace borageloft::dissemination
