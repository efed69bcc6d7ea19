#ifndef BORAGELOFT_TESTS_SOAK_STAND_IN_UPSTREAM_H_
#define BORAGELOFT_TESTS_SOAK_STAND_IN_UPSTREAM_H_

#include <asio.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "libraries/http_stream/http_stream.h"

namespace borageloft::soak {

/** What all stand-ins saw, by request id. */
struct ExecutionRecord {
  std::map<std::string, int> runs;
  /** Requests that reached an instance after its leave had been acknowledged for too long. */
  int late_after_leave = 0;
  /** Requests that reached an instance long after its answers said that it leaves. */
  int late_after_told = 0;
  /** Requests beyond the rate that an instance had named. */
  int beyond_rate = 0;
};

/** A stand-in back end: announces itself, runs each request for some milliseconds, and records it.
 */
class StandInUpstream {
 public:
  /** @param address Where it listens; @param announce_to Address of the node beside it. */
  StandInUpstream(asio::io_context& context, settings::Endpoint address,
                  asio::ip::tcp::endpoint announce_to, std::string service, base::Random random,
                  ExecutionRecord& record);

  /** Begins a new life with a new id. */
  void Restart();
  /** Ends the present life without a word. */
  void Crash();
  /** Says that it leaves, and goes on serving. */
  void Drain();
  /** Says in its answers only that it leaves. */
  void LeaveInAnswers();
  /** Names a rate in its answers for some time. */
  void NameRate(double per_second, base::Duration time);
  /** The node beside it has started and knows nothing of before. */
  void NoteNodeStart();

 private:
  struct NamedRate {
    double per_second = 0;
    base::TimePoint since;
    base::TimePoint until;
  };

  void CheckRate(base::TimePoint now);
  void AddWhatItSays(http_stream::Fields& fields, base::TimePoint now);

  void Handle(const http_stream::RequestMessage& message, const http_stream::Exchange& exchange);
  void Announce();

  asio::io_context& context_;
  settings::Endpoint address_;
  asio::ip::tcp::endpoint announce_to_;
  std::string service_;
  base::Random random_;
  ExecutionRecord& record_;
  std::unique_ptr<http_stream::Server> server_;
  asio::steady_timer timer_;
  std::string id_;
  std::uint64_t born_ = 1;
  std::uint64_t sequence_ = 0;
  bool is_draining_ = false;
  bool leaves_in_answers_ = false;
  base::TimePoint leave_acknowledged_{};
  base::TimePoint leave_told_{};
  NamedRate rate_;
  std::deque<base::TimePoint> arrivals_;
  std::deque<base::TimePoint> node_starts_;
};

}  // namespace borageloft::soak

#endif  // BORAGELOFT_TESTS_SOAK_STAND_IN_UPSTREAM_H_
