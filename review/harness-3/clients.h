#ifndef BORAGELOFT_REVIEW_HARNESS_3_CLIENTS_H_
#define BORAGELOFT_REVIEW_HARNESS_3_CLIENTS_H_

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "review/harness-3/http.h"
#include "review/harness-3/record.h"

namespace review {

/** What the clients got. */
struct ClientCounts {
  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  std::atomic<int> failed{0};
};

/** Clients that send unsafe requests to `/claims/`, each one after the other, while switched on. */
class Clients {
 public:
  /** @param target Address to which they send. @param count Number of clients. */
  Clients(Record& record, Address target, int count);
  ~Clients() { Stop(); }
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  void set_on(bool is_on) { is_on_ = is_on; }
  /** Waits for the last answers and ends. */
  void Stop();
  const ClientCounts& counts() const { return counts_; }

 private:
  void Run(int number);

  Record& record_;
  const Address target_;
  ClientCounts counts_;
  std::atomic<bool> is_on_{false};
  std::atomic<bool> is_ended_{false};
  std::vector<std::thread> threads_;
};

}  // namespace review

#endif  // BORAGELOFT_REVIEW_HARNESS_3_CLIENTS_H_
