#include "tests/platform/operators.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <utility>

#include "platform/configuration_codec.h"

namespace borageloft::platform {

namespace {

// Bounds that the platform states.
constexpr std::chrono::milliseconds kInForceWithin{2000};
constexpr std::chrono::milliseconds kStabilityWindow{3000};
constexpr std::chrono::milliseconds kMaximumStretch{5000};
constexpr std::chrono::milliseconds kRevokedWithin{5000};
// An operator gives up on an order without a clear answer after so many attempts.
constexpr int kMaximumAttempts = 12;

http_stream::RequestMessage MakeCall(const std::string& call, declaration::Version base,
                                     std::string body) {
  http_stream::RequestMessage message;
  message.method = "POST";
  message.target = "/borageloft/rpc?call=" + call;
  message.fields.push_back({"If-Match", fmt::format("r{}", base)});
  message.body = std::move(body);
  return message;
}

// A clear refusal ends an order; every other answer is followed by another attempt.
bool IsRefusal(unsigned status) {
  return status >= 400 && status < 500 && status != 408 && status != 429;
}

}  // namespace

Operators::Operators(Deployment& deployment) : deployment_(deployment) {
  for (int i = 0; i < 4; ++i) {
    routes_.push_back({fmt::format("h{}.example", i), fmt::format("r{}", i), 1000, 50});
  }
}

std::string Operators::Text(declaration::Version version, const std::vector<Route>& routes) const {
  std::string text = fmt::format(
      R"({{"version":"r{}","services":[{{"name":"parts","health_path":"/health"}},{{"name":"other"}}],)"
      R"("limits":{{"max_header_bytes":16384,"idle_timeout_ms":15000}},)"
      R"("tenants":[{{"name":"a","api_keys":["key-of-{}"],"rate_per_s":10,"burst":10}}],"hosts":[)",
      version, version);
  const char* separator = "";
  for (const Route& route : routes) {
    text += fmt::format(
        R"({}{{"host":"{}","paths":[{{"name":"{}","path_prefix":"/x/","kind":"safe","timeout_ms":{},)"
        R"("split":[{{"service":"parts","weight":{}}},{{"service":"other","weight":{}}}],"attempts":2}}]}})",
        separator, route.host, route.name, route.timeout_ms, route.first_weight,
        100 - route.first_weight);
    separator = ",";
  }
  return text + "]}";
}

std::vector<Operators::Route> Operators::ChangedRoutes() {
  Route& route = routes_[base::DrawBelow(deployment_.random, routes_.size())];
  route.timeout_ms = 500 + static_cast<int>(base::DrawBelow(deployment_.random, 1000));
  route.first_weight = static_cast<int>(base::DrawBelow(deployment_.random, 100));
  for (; growth_ > 0; --growth_) {
    routes_.push_back(
        {fmt::format("h{}.example", routes_.size()), fmt::format("r{}", routes_.size()), 900, 10});
  }
  return routes_;
}

std::string Operators::PickHost() const {
  const std::vector<std::string> listed = deployment_.ListedControlHosts();
  return listed[base::DrawBelow(deployment_.random, listed.size())];
}

declaration::Version Operators::newest() const {
  return acknowledged_.empty() ? 0 : acknowledged_.rbegin()->first;
}

bool Operators::HasOpenOrders() const {
  return std::any_of(orders_.begin(), orders_.end(), [&](const Order& order) {
    const bool may_take_effect_later = !order.is_acknowledged && !order.is_refused &&
                                       order.verdict == Verdict::kValid && order.version > newest();
    return order.is_open || may_take_effect_later;
  });
}

std::size_t Operators::Add(Order order) {
  order.may_be_refused |= HasOpenOrders();
  for (Order& other : orders_) {
    other.may_be_refused |= other.is_open;
  }
  orders_.push_back(std::move(order));
  return orders_.size() - 1;
}

void Operators::Found() {
  last_version_ = 7;
  Send(Add({0, last_version_, Text(last_version_, routes_), Verdict::kValid, "first"}), 0);
}

void Operators::Change() {
  last_version_ += 1 + base::DrawBelow(deployment_.random, 4);
  Send(Add({newest(), last_version_, Text(last_version_, ChangedRoutes()), Verdict::kValid,
            "change"}),
       0);
}

void Operators::Race() {
  last_version_ += 2;
  const declaration::Version base = newest();
  const bool has_same_number = base::DrawBelow(deployment_.random, 2) == 0;
  const declaration::Version second = has_same_number ? last_version_ : last_version_ - 1;
  const std::size_t one =
      Add({base, last_version_, Text(last_version_, ChangedRoutes()), Verdict::kValid, "race"});
  const std::size_t other =
      Add({base, second, Text(second, ChangedRoutes()), Verdict::kValid, "race"});
  Send(one, 0);
  Send(other, 0);
}

void Operators::Resend() {
  std::vector<std::size_t> acknowledged;
  for (std::size_t i = 0; i < orders_.size(); ++i) {
    if (orders_[i].is_acknowledged) {
      acknowledged.push_back(i);
    }
  }
  if (!acknowledged.empty()) {
    Send(acknowledged[base::DrawBelow(deployment_.random, acknowledged.size())], 0);
  }
}

void Operators::SendInvalid() {
  // A fault in the text of an order: what stands there, and what is sent in its place.
  struct TextFault {
    const char* kind;
    int first_weight;  // Of the first route, so that the weights of `from` stand in the text.
    const char* from;
    const char* to;
  };
  static constexpr std::array<TextFault, 5> kTextFaults = {{
      {"unknown service", 50, R"("service":"other")", R"("service":"nobody")"},
      {"weights of 0", 0, R"("service":"other","weight":100)", R"("service":"other","weight":0)"},
      {"weight below 0", 100, R"("service":"other","weight":0)",
       R"("service":"other","weight":-1)"},
      {"empty host", 50, R"("host":"h0.example")", R"("host":"")"},
      {"empty host without routes", 50, R"("hosts":[)", R"("hosts":[{"host":"","paths":[]},)"},
  }};
  constexpr std::uint64_t kOtherFaults = 5;
  std::vector<Route> routes = routes_;
  // A changed timeout, so that the text is not that of an order that was accepted.
  routes.back().timeout_ms = 2000 + static_cast<int>(base::DrawBelow(deployment_.random, 1000));
  Order order;
  order.base = newest();
  order.version = last_version_ + 1;
  order.verdict = Verdict::kInvalid;
  const std::uint64_t drawn =
      base::DrawBelow(deployment_.random, kTextFaults.size() + kOtherFaults);
  if (drawn < kTextFaults.size()) {
    const TextFault& fault = kTextFaults[drawn];
    order.kind = fault.kind;
    routes.front().first_weight = fault.first_weight;
    order.text = Text(order.version, routes);
    const std::size_t position = order.text.find(fault.from);
    ASSERT_NE(position, std::string::npos) << fault.kind;
    order.text.replace(position, std::string(fault.from).size(), fault.to);
    Send(Add(std::move(order)), 0);
    return;
  }
  switch (drawn - kTextFaults.size()) {
    case 0:
      order.kind = "same version";
      order.version = newest();
      break;
    case 1:
      order.kind = "old version";
      order.version = newest() - 1;
      break;
    case 2:
      order.kind = "stale base";
      order.base = newest() - 1;
      break;
    case 3:
      order.kind = "cut short";
      break;
    default:
      order.kind = "trailing bytes";
      break;
  }
  order.text = Text(order.version, routes);
  if (order.kind == "cut short") {
    order.text.resize(base::DrawBelow(deployment_.random, order.text.size()));
  } else if (order.kind == "trailing bytes") {
    order.text += "]}";
  }
  Send(Add(std::move(order)), 0);
}

void Operators::Send(std::size_t index, int attempt) {
  const Order& order = orders_[index];
  deployment_.Call(PickHost(), MakeCall("config.put", order.base, order.text),
                   [this, index, attempt](const http_stream::ResponseMessage& response) {
                     Judge(index, response, attempt);
                   });
}

void Operators::Judge(std::size_t index, const http_stream::ResponseMessage& response,
                      int attempt) {
  Order& order = orders_[index];
  const std::string what = fmt::format("{} r{} on r{}: {} {}", order.kind, order.version,
                                       order.base, response.status, response.body);
  if (response.status == 200) {
    EXPECT_EQ(order.verdict, Verdict::kValid) << "an invalid order was acknowledged: " << what;
    EXPECT_FALSE(order.is_refused) << "acknowledged after it was refused: " << what;
    for (const Order& other : orders_) {
      const bool is_rival = &other != &order && other.is_acknowledged && other.base == order.base;
      EXPECT_FALSE(is_rival) << "two orders on one version were acknowledged: " << what;
    }
    order.is_open = false;
    if (!std::exchange(order.is_acknowledged, true)) {
      acknowledged_.emplace(order.version, deployment_.now());
    }
    return;
  }
  if (IsRefusal(response.status)) {
    EXPECT_FALSE(order.is_acknowledged) << "refused after it was acknowledged: " << what;
    if (order.verdict == Verdict::kValid) {
      EXPECT_TRUE(order.may_be_refused && response.status == 412)
          << "a valid order on the newest version was refused: " << what;
    }
    order.is_open = false;
    order.is_refused = true;
    ++refused_;
    return;
  }
  if (attempt + 1 >= kMaximumAttempts && order.base != 0) {
    order.is_open = false;
    return;
  }
  const int backoff = std::min(100 << std::min(attempt, 5), 2000);
  deployment_.Schedule(std::chrono::milliseconds(backoff),
                       [this, index, attempt] { Send(index, attempt + 1); });
}

bool Operators::MayBeInForce(declaration::Version version) const {
  return version == 0 || std::any_of(orders_.begin(), orders_.end(), [&](const Order& order) {
           return order.version == version && order.verdict == Verdict::kValid && !order.is_refused;
         });
}

void Operators::Read() {
  const base::TimePoint begun = deployment_.now();
  deployment_.Call(PickHost(), MakeCall("config.get", 0, ""),
                   [this, begun](const http_stream::ResponseMessage& response) {
                     if (response.status == 200) {
                       JudgeRead(response.body, begun);
                     }
                   });
}

void Operators::JudgeRead(const std::string& body, base::TimePoint begun) {
  ++reads_;
  const declaration::Version version = DecodeConfiguration(body).version;
  const bool was_sent = std::any_of(orders_.begin(), orders_.end(), [&](const Order& order) {
    return order.version == version && order.text == body && order.verdict == Verdict::kValid &&
           !order.is_refused;
  });
  EXPECT_TRUE(was_sent) << "read what was not sent, or was refused, as version " << version;
  for (const auto& [acknowledged, at] : acknowledged_) {
    if (begun - at >= kInForceWithin) {
      EXPECT_GE(version, acknowledged) << "an older version was read";
    }
  }
  if (version >= newest()) {
    last_read_begun_ = std::max(last_read_begun_, begun);
  }
}

void Operators::CheckNodes() {
  const base::TimePoint now = deployment_.now();
  for (const std::string& node : deployment_.nodes()) {
    if (!deployment_.IsRunning(node)) {
      seen_.erase(node);
      continue;
    }
    const Deployment::NodeView view = deployment_.ViewOf(node);
    const declaration::Version version = view.version;
    EXPECT_GE(version, seen_[node]) << node << " went back to an older version";
    seen_[node] = version;
    EXPECT_TRUE(MayBeInForce(version)) << node << " uses version " << version;
    // In the sense of the platform, a machine that was not disturbed is in touch again after the
    // stability window, and an unstable core stretches the bound.
    const base::TimePoint disturbed = std::max(disturbed_until_, node_disturbed_until_[node]);
    for (const auto& [acknowledged, at] : acknowledged_) {
      // Each version withdraws the key of the one before. This holds on any machine, in touch or
      // not.
      if (version > 0 && view.are_keys_fresh && now - at > kRevokedWithin) {
        EXPECT_GE(version, acknowledged) << node << " accepts a key that was withdrawn";
      }
      if (now - disturbed > kStabilityWindow + kInForceWithin &&
          now - at > kInForceWithin + kMaximumStretch) {
        EXPECT_GE(version, acknowledged) << node << " has not put an acknowledged version in force";
        EXPECT_TRUE(view.are_keys_fresh) << node << " accepts no keys";
      } else if (now - disturbed > kStabilityWindow + (now - at) && now - at > kInForceWithin) {
        EXPECT_GE(version, acknowledged) << node << " is late with an acknowledged version";
      }
    }
  }
}

}  // namespace borageloft::platform
