#ifndef BORAGELOFT_WORKBENCH_STAND_IN_COMMAND_H_
#define BORAGELOFT_WORKBENCH_STAND_IN_COMMAND_H_

#include <cstdint>
#include <string_view>

namespace borageloft::workbench {

/** Which connections of a stand-in get no answers. */
enum class SilenceScope { kNone, kOpenConnections, kAll };

/**
 * Command to a running stand-in, as a JSON object with the member "command":
 *
 * - {"command": "slow_down", "factor": 10}: execution takes this many times as long; 1 ends it.
 * - {"command": "fail_fast", "share": 0.5}: this share of requests gets 500 at once; 0 ends it.
 * - {"command": "silent", "scope": "all" | "open" | "none"}: accepts requests and never answers
 *   them; "open" applies to connections that have carried a request before the command.
 * - {"command": "truncate", "share": 0.1}: this share of answers is cut short; 0 ends it.
 * - {"command": "report_load", "in_flight": 0, "limit": 1000}: reports a false load.
 * - {"command": "report_true_load"}
 * - {"command": "leave"}: withdraws the announcement and goes on serving.
 * - {"command": "join"}: announces again.
 * - {"command": "cold_start"}: begins the cold start again.
 * - {"command": "stop"}: leaves and ends the process's Run().
 */
struct StandInCommand {
  enum class Kind {
    kSlowDown,
    kFailFast,
    kSilent,
    kTruncate,
    kReportLoad,
    kReportTrueLoad,
    kLeave,
    kJoin,
    kColdStart,
    kStop,
  };

  Kind kind = Kind::kReportTrueLoad;
  double number = 0;  ///< Factor or share.
  SilenceScope scope = SilenceScope::kNone;
  std::uint64_t in_flight = 0;
  std::uint64_t limit = 0;

  /**
   * @param text JSON object.
   * @throws Error If the text is no such object, or a member is missing or out of range.
   */
  static StandInCommand Parse(std::string_view text);
};

}  // namespace borageloft::workbench

#endif  // BORAGELOFT_WORKBENCH_STAND_IN_COMMAND_H_
