#ifndef BORAGELOFT_TESTS_PLATFORM_OPERATORS_H_
#define BORAGELOFT_TESTS_PLATFORM_OPERATORS_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tests/platform/deployment.h"

namespace borageloft::platform {

/**
 * Operators who change the declaration of a Deployment and read it back. Every answer is judged by
 * the rules of the platform for orders; a broken one is a test failure.
 */
class Operators {
 public:
  explicit Operators(Deployment& deployment);

  /** Sends the first declaration until it is accepted. */
  void Found();
  /** Sends a valid change on the newest version that the operators know. */
  void Change();
  /** Sends two different changes on the same version at once. */
  void Race();
  /** Sends an order that must not be accepted. */
  void SendInvalid();
  /** Sends an order again that was acknowledged. */
  void Resend();
  /** Adds routes with the next change. */
  void Grow(std::size_t routes) { growth_ += routes; }
  /** Reads the declaration at a random control host. */
  void Read();

  /** Checks what is in force on the nodes. */
  void CheckNodes();
  /** Notes a disturbance of the control hosts, or of one node, that lasts until then. */
  void NoteDisturbance(base::TimePoint until) {
    disturbed_until_ = std::max(disturbed_until_, until);
  }
  void NoteDisturbance(const std::string& node, base::TimePoint until) {
    node_disturbed_until_[node] = std::max(node_disturbed_until_[node], until);
  }

  /** @return Newest version acknowledged, or 0. */
  declaration::Version newest() const;
  /** @return Number of reads answered with a declaration. */
  std::size_t reads() const { return reads_; }
  std::size_t accepted() const { return acknowledged_.size(); }
  std::size_t refused() const { return refused_; }
  /** @return Whether a read that begins after @p since has returned the newest declaration. */
  bool HasReadSince(base::TimePoint since) const { return last_read_begun_ >= since; }

 private:
  enum class Verdict { kValid, kInvalid };

  struct Order {
    declaration::Version base = 0;
    declaration::Version version = 0;
    std::string text;
    Verdict verdict = Verdict::kValid;
    std::string kind{};
    bool may_be_refused = false;  // Another order may be in force by now.
    bool is_acknowledged = false;
    bool is_refused = false;
    bool is_open = true;
  };

  struct Route {
    std::string host;
    std::string name;
    int timeout_ms = 1000;
    int first_weight = 50;
  };

  std::string Text(declaration::Version version, const std::vector<Route>& routes) const;
  std::vector<Route> ChangedRoutes();
  std::size_t Add(Order order);
  void Send(std::size_t index, int attempt);
  void Judge(std::size_t index, const http_stream::ResponseMessage& response, int attempt);
  void JudgeRead(const std::string& body, base::TimePoint begun);
  bool HasOpenOrders() const;
  bool MayBeInForce(declaration::Version version) const;
  std::string PickHost() const;

  Deployment& deployment_;
  std::vector<Order> orders_;
  std::map<declaration::Version, base::TimePoint> acknowledged_;
  std::vector<Route> routes_;
  std::size_t growth_ = 0;
  declaration::Version last_version_ = 0;
  std::size_t reads_ = 0;
  std::size_t refused_ = 0;
  base::TimePoint last_read_begun_{};
  base::TimePoint disturbed_until_{};
  std::map<std::string, base::TimePoint> node_disturbed_until_;
  std::map<std::string, declaration::Version> seen_;  // By node, in its present process.
};

}  // namespace borageloft::platform

#endif  // BORAGELOFT_TESTS_PLATFORM_OPERATORS_H_
