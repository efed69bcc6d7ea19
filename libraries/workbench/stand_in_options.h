#ifndef BORAGELOFT_WORKBENCH_STAND_IN_OPTIONS_H_
#define BORAGELOFT_WORKBENCH_STAND_IN_OPTIONS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/workbench/address.h"
#include "libraries/workbench/service_time.h"

namespace borageloft::workbench {

/** Call that a stand-in makes through its node for each request it executes. */
struct DownstreamCall {
  std::string service = {};
  std::string method = "GET";
  std::string path = "/";
};

/** What a stand-in passes on to the services it calls besides the context headers. */
enum class KeyForwarding { kDrop, kPassOn };

/** What a stand-in does when the caller's deadline passes during an execution. */
enum class DeadlineHandling {
  kIgnore,  ///< Runs to the end; the work is counted as wasted.
  kStop,    ///< Stops and answers 504.
};

/** Options of a stand-in upstream. */
struct StandInOptions {
  std::string service = "stand-in";
  Address listen;
  /** Further address for commands and the record, which answers also when every thread of the main
   * address is held by a request. */
  Address command_listen;
  std::optional<Address> node;  ///< Local address of the node; without it nothing is announced.
  std::size_t slots = 16;
  std::size_t connections = 64;  ///< Announced to the node.
  std::size_t threads = 0;       ///< Connections served at once; 0 for twice `connections`.
  base::Duration lease = std::chrono::seconds(3);
  ServiceTimeOptions service_time;
  double contention = 0.1;         ///< Capacity lost for each `slots` executions above `slots`.
  std::size_t answer_bytes = 256;  ///< Padding of each answer.
  std::vector<DownstreamCall> downstream;                       ///< Called one after the other.
  base::Duration downstream_timeout = std::chrono::seconds(5);  ///< Without a caller's deadline.
  KeyForwarding key_forwarding = KeyForwarding::kDrop;
  DeadlineHandling deadline_handling = DeadlineHandling::kIgnore;
  base::Duration cold_start = base::Duration::zero();
  double cold_factor = 1.0;      ///< Service time is multiplied by this during the cold start.
  std::string record_path = {};  ///< File that each executed idempotency key is appended to.

  /** @throws Error If an option is out of range; the message names it. */
  void Check() const;
};

}  // namespace borageloft::workbench

#endif  // BORAGELOFT_WORKBENCH_STAND_IN_OPTIONS_H_
