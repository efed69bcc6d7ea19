#ifndef BORAGELOFT_WORKBENCH_LOAD_OPTIONS_H_
#define BORAGELOFT_WORKBENCH_LOAD_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/workbench/address.h"

namespace borageloft::workbench {

/** Distribution of the gaps between arrivals. */
enum class ArrivalProcess { kPoisson, kUniform };

/** Whether requests of a kind carry an Idempotency-Key. */
enum class KeyUse { kNone, kFreshUuid };

/** One kind of request in the mix. */
struct RequestKind {
  std::string label = {};    ///< Name in the report, usually the class.
  double weight = 1.0;       ///< Share of arrivals, relative to the other kinds.
  std::string service = {};  ///< Sent as Borageloft-Service if set; also expected in the answer.
  std::string method = "GET";
  std::string path = "/";
  KeyUse key = KeyUse::kNone;
  base::Duration timeout = std::chrono::seconds(1);  ///< The caller's patience.
  std::size_t body_bytes = 0;                        ///< Used by methods other than GET.
};

/** Time window of the disturbance, from the start of the run. */
struct TriggerWindow {
  base::Duration begin{0};
  base::Duration end{0};
};

/** Request that the generator posts at a given time, for example a command to a stand-in. */
struct CommandHook {
  base::Duration at{0};
  Address target;
  std::string path = "/stand-in/command";
  std::string body = {};
};

/** Options of a load run. */
struct LoadOptions {
  std::vector<Address> targets;  ///< Used in turn.
  std::vector<RequestKind> kinds;
  double rate_per_second = 100;
  ArrivalProcess arrivals = ArrivalProcess::kPoisson;
  base::Duration duration = std::chrono::seconds(10);
  std::uint64_t most_requests = 10'000'000;  ///< Ends the run early.
  std::size_t senders = 64;  ///< Threads; at most this many connections to each target.
  std::uint64_t seed = 1;
  unsigned retries = 0;  ///< Immediate further attempts after an answer that is not whole.
  std::optional<TriggerWindow> trigger;
  double surge_multiplier = 1.0;  ///< Rate multiplier during the trigger.
  std::vector<CommandHook> commands;
  base::Duration recovery_window = std::chrono::milliseconds(250);
  double recovery_level = 0.95;
  /** File that gets one line "key outcome" for each keyed request, for comparison with the
   * record files of stand-ins; empty for none. */
  std::string record_path = {};

  /** @throws Error If an option is out of range; the message names it. */
  void Check() const;
};

}  // namespace borageloft::workbench

#endif  // BORAGELOFT_WORKBENCH_LOAD_OPTIONS_H_
