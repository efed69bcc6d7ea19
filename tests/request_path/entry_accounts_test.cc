#include <gtest/gtest.h>

#include <deque>
#include <optional>

#include "libraries/request_path/request_path.h"

namespace borageloft::request_path {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** An entry under a declaration with two client accounts, with one instance and a manual clock. */
class EntryAccountsTest : public ::testing::Test {
 protected:
  void SetUp() override {
    base::ReplaceLogSink([this](std::string_view line) { lines_.emplace_back(line); });
    EntryOptions options;
    options.service = "front";
    EntryHooks hooks;
    hooks.clock = [this] { return now_; };
    hooks.random = base::SeededRandom(5);
    hooks.send = [this](const directory::InstanceRecord&, wire::Request request,
                        ResponseHandler handler) -> CancelHook {
      sent_.push_back({std::move(request), std::move(handler)});
      return [] {};
    };
    hooks.find_running = [this](const std::string& id) -> const wire::Placement* {
      return id == "parent" ? &parent_ : nullptr;
    };
    hooks.take_quota = [this](const std::string& account,
                              const std::function<void(const QuotaDecision&)>& handler) {
      taken_.push_back(account);
      if (decision_) {
        handler(*decision_);
      } else {
        waiting_.push_back(handler);
      }
    };
    hooks.return_quota = [this](const std::string& account) { returned_.push_back(account); };
    hooks.are_keys_fresh = [this] { return are_keys_fresh_; };
    entry_ = std::make_unique<Entry>(std::move(options), "z", std::move(hooks), timers_, log_);
    directory::InstanceRecord record;
    record.node = "n1";
    record.zone = "z";
    record.service = "parts";
    record.instance = "i-1";
    record.slots = 10;
    entry_->chooser().Set(record);
    Declare();
  }
  void TearDown() override {
    entry_.reset();
    base::ReplaceLogSink({});
  }

  void Declare() {
    declaration::Declaration declaration = RoutesOf(1);
    declaration.accounts = {{"school", {"key-1", "key-2"}, 0, {5, 5}},
                            {"village", {"key-3"}, std::nullopt, {}}};
    entry_->SetDeclaration(declaration);
  }

  /** @return A declaration that says nothing about client accounts. */
  static declaration::Declaration RoutesOf(declaration::Version version) {
    declaration::Declaration declaration;
    declaration.version = version;
    declaration.services = {{"parts", 10}};
    declaration::Route route;
    route.host = "h";
    route.timeout = seconds(1);
    route.attempts = 1;
    route.priority = 3;
    route.targets = {{"parts", 1}};
    route.path_prefix = "/p/";
    declaration.routes.push_back(route);
    route.path_prefix = "/open/";
    route.is_public = true;
    declaration.routes.push_back(route);
    return declaration;
  }

  std::shared_ptr<std::optional<http_stream::ResponseMessage>> Ask(
      http_stream::Fields extra = {}, const std::string& target = "/p/1",
      const std::string& id = "r1") {
    http_stream::RequestMessage message;
    message.method = "GET";
    message.target = target;
    message.fields = {{"Host", "h"}, {"Borageloft-Request-Id", id}};
    message.fields.insert(message.fields.end(), extra.begin(), extra.end());
    auto answer = std::make_shared<std::optional<http_stream::ResponseMessage>>();
    abandon_ = entry_->Handle(
        std::move(message), now_,
        [answer](http_stream::ResponseMessage response) { *answer = std::move(response); });
    return answer;
  }

  static http_stream::Fields Key(const std::string& key) {
    return {{"Borageloft-Account-Key", key}};
  }

  struct Sent {
    wire::Request request;
    ResponseHandler handler;
  };

  base::TimePoint now_{seconds(100)};
  timer::TimerService timers_{[this] { return now_; }};
  DecisionLog log_{[this] { return now_; }};
  std::deque<Sent> sent_;
  wire::Placement parent_;
  std::optional<QuotaDecision> decision_ = QuotaDecision{};
  std::deque<std::function<void(const QuotaDecision&)>> waiting_;
  std::vector<std::string> taken_;
  std::vector<std::string> returned_;
  bool are_keys_fresh_ = true;
  CancelHook abandon_;
  std::vector<std::string> lines_;
  std::unique_ptr<Entry> entry_;
};

// Guards against a request that runs without a key of a client account.
TEST_F(EntryAccountsTest, RefusesUnknownKeys) {
  EXPECT_EQ((*Ask())->status, 401U);
  EXPECT_EQ((*Ask(Key("key-9")))->status, 401U);
  EXPECT_EQ((*Ask(Key("")))->status, 401U);
  EXPECT_TRUE(sent_.empty());
  EXPECT_TRUE(taken_.empty());
  Ask({}, "/open/1");
  EXPECT_EQ(sent_.size(), 1U) << "a public route needs no key";
}

// Guards against an empty list of accounts that is read as if keys were not required.
TEST_F(EntryAccountsTest, NoKeyIsValidAfterTheLastAccountWasWithdrawn) {
  declaration::Declaration declaration = RoutesOf(2);
  declaration.accounts = std::vector<declaration::ClientAccount>{};
  entry_->SetDeclaration(declaration);
  for (const http_stream::Fields& fields :
       {Key("key-1"), Key("key-9"), Key(""), http_stream::Fields{}}) {
    const auto answer = Ask(fields);
    ASSERT_TRUE(*answer);
    EXPECT_EQ((*answer)->status, 401U);
  }
  EXPECT_TRUE(sent_.empty());
  Ask(Key("key-1"), "/open/1");
  EXPECT_EQ(sent_.size(), 1U) << "a public route needs no key";
}

// Guards against keys that are valid again once a declaration says nothing about accounts.
TEST_F(EntryAccountsTest, ADeclarationWithoutAccountsAcceptsNoKey) {
  entry_->SetDeclaration(RoutesOf(2));
  for (const char* key : {"key-1", "key-9"}) {
    const auto answer = Ask(Key(key));
    ASSERT_TRUE(*answer) << key;
    EXPECT_EQ((*answer)->status, 401U) << key;
  }
  EXPECT_TRUE(sent_.empty());
  Ask();
  Ask(Key(""));
  Ask({}, "/p/1", "gone.1");
  EXPECT_EQ(sent_.size(), 3U) << "requests without a key need none";
}

// Guards against a key that reaches an upstream or a log, and against a caller that names an
// account itself.
TEST_F(EntryAccountsTest, ReplacesTheKeyByTheAccount) {
  Ask({{"Borageloft-Account-Key", "key-2"}, {"borageloft-account", "village"}});
  ASSERT_EQ(sent_.size(), 1U);
  const http_stream::Fields& fields = sent_[0].request.headers;
  EXPECT_EQ(http_stream::FindField(fields, "Borageloft-Account-Key"), nullptr);
  ASSERT_NE(http_stream::FindField(fields, "Borageloft-Account"), nullptr);
  EXPECT_EQ(*http_stream::FindField(fields, "Borageloft-Account"), "school");
  Ask({{"Borageloft-Account-Key", "key-9"}, {"Borageloft-Account", "village"}}, "/open/1");
  EXPECT_EQ(http_stream::FindField(sent_[1].request.headers, "Borageloft-Account"), nullptr);
  Ask(Key("key-9"));
  for (const std::string& line : lines_) {
    EXPECT_EQ(line.find("key-"), std::string::npos) << line;
  }
}

// Guards against an account's priority that is ignored, and against routes that are all alike for
// accounts of equal priority.
TEST_F(EntryAccountsTest, RanksByAccountAndThenByRoute) {
  Ask(Key("key-1"));
  Ask(Key("key-3"));
  EXPECT_LT(sent_[0].request.placement.priority, sent_[1].request.placement.priority);
}

// Guards against calls that are refused for want of a key, and against those of a request that no
// longer runs being told that their key is wrong.
TEST_F(EntryAccountsTest, CallsInheritTheAccount) {
  parent_.account = "school";
  Ask({}, "/p/1", "parent.1");
  ASSERT_EQ(sent_.size(), 1U);
  EXPECT_EQ(sent_[0].request.placement.account, "school");
  EXPECT_EQ(http_stream::FindField(sent_[0].request.headers, "Borageloft-Account"), nullptr);
  EXPECT_TRUE(taken_.empty()) << "the quota was taken by the root";
  EXPECT_EQ((*Ask({}, "/p/1", "gone.1"))->status, 503U);
}

// Guards against a node that is cut off and goes on accepting keys that were withdrawn.
TEST_F(EntryAccountsTest, RefusesKeysThatMayHaveBeenWithdrawn) {
  are_keys_fresh_ = false;
  const auto answer = Ask(Key("key-1"));
  EXPECT_EQ((*answer)->status, 503U);
  EXPECT_NE(http_stream::FindField((*answer)->fields, "Retry-After"), nullptr);
  EXPECT_EQ((*Ask(Key("key-9")))->status, 503U) << "the key may have been added meanwhile";
  Ask({}, "/open/1");
  EXPECT_EQ(sent_.size(), 1U);
}

// Guards against a refusal for the quota that does not say when to come back.
TEST_F(EntryAccountsTest, RefusesBeyondTheQuota) {
  decision_ = QuotaDecision{Refusal::kQuotaExceeded, milliseconds(250)};
  const auto answer = Ask(Key("key-1"));
  EXPECT_EQ((*answer)->status, 429U);
  EXPECT_EQ(*http_stream::FindField((*answer)->fields, "Retry-After"), "0.250");
  decision_ = QuotaDecision{Refusal::kQuotaUnknown, {}};
  EXPECT_EQ((*Ask(Key("key-1")))->status, 503U);
  EXPECT_TRUE(sent_.empty());
}

// Guards against a quota that is used up by requests that no upstream ran.
TEST_F(EntryAccountsTest, GivesBackTheQuotaOfRequestsThatHaveNotRun) {
  const auto answer = Ask(Key("key-1"));
  wire::Response response;
  response.outcome = wire::Outcome::kNotRun;
  response.reason = std::string(TextOf(Refusal::kQueueFull));
  sent_[0].handler(response);
  EXPECT_EQ((*answer)->status, 503U);
  EXPECT_EQ(returned_, std::vector<std::string>{"school"});
  Ask(Key("key-1"));
  response.outcome = wire::Outcome::kRan;
  response.status = 200;
  sent_[1].handler(response);
  EXPECT_EQ(returned_.size(), 1U);
}

// Guards against a request that is sent after its caller has left while it waited for its quota.
TEST_F(EntryAccountsTest, ACallerMayLeaveWhileTheQuotaIsAsked) {
  decision_.reset();
  Ask(Key("key-1"));
  ASSERT_EQ(waiting_.size(), 1U);
  abandon_();
  waiting_[0]({});
  EXPECT_TRUE(sent_.empty());
  EXPECT_EQ(returned_.size(), 1U);
}

}  // namespace
}  // namespace borageloft::request_path
