#ifndef BORAGELOFT_LEDGER_LEDGER_COMMAND_H_
#define BORAGELOFT_LEDGER_LEDGER_COMMAND_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/ledger/idempotency_key.h"

namespace borageloft::ledger {

/** Largest answer that the ledger stores, in bytes. */
inline constexpr std::size_t kMaximumAnswerBytes = std::size_t{64} << 10U;
/** Most commands in one batch. */
inline constexpr std::size_t kMaximumBatchCommands = 4096;
/** Largest encoded batch in bytes; it must fit one log record. */
inline constexpr std::size_t kMaximumBatchBytes = std::size_t{4} << 20U;

/** Identifies a node; the owner derives it from the node's name, for example by hash. */
enum class NodeId : std::uint64_t {};

/** Hash over method, path, relevant headers and body of a request. */
enum class RequestDigest : std::uint64_t {};

/** @return The digest of @p request, the canonical bytes of a request. */
inline RequestDigest DigestOf(std::string_view request) {
  return RequestDigest{base::Hash(request)};
}

/**
 * Names one attempt to run a key. The number is never used twice by one incarnation, so a grant
 * request that is sent again can be told from a new one by a gate that has forgotten the first.
 */
struct PermitId {
  IdempotencyKey key;
  NodeId node{};
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  bool operator==(const PermitId&) const = default;
};

/** Asks for the only grant of a key. */
struct GrantCommand {
  PermitId permit;
  RequestDigest digest{};
  base::WallTime deadline;  ///< Resolution of one millisecond.
};

/** Reports that the request ran. */
struct FinishCommand {
  PermitId permit;
  std::optional<std::string> answer;  ///< Nothing if it exceeds kMaximumAnswerBytes.
};

/** States that the gate did not run the permit and never will. */
struct ReleaseCommand {
  PermitId permit;
  RequestDigest digest{};
};

/** Advances the time of the ledger, so that old keys are forgotten while no grants come. */
struct ExpireCommand {};

/** A command to the ledger. */
using Command = std::variant<GrantCommand, FinishCommand, ReleaseCommand, ExpireCommand>;

/** Commands that are proposed as one log entry. */
struct CommandBatch {
  base::WallTime proposed_at;  ///< Wall time of the proposer; resolution of one millisecond.
  std::vector<Command> commands;
};

/** Which command a result answers. */
enum class CommandKind : std::uint8_t { kGrant, kFinish, kRelease, kExpire };

/** What a key's state is after a command. */
enum class ResultCode : std::uint8_t {
  kGranted,      ///< The permit of the command holds the grant.
  kFinished,     ///< The request ran; the answer follows if it is stored.
  kNotRun,       ///< The request did not run and never will under this key.
  kHeldByOther,  ///< Another permit holds the grant; whether it ran is not known.
  kOtherDigest,  ///< The key was used for another request.
  kExpired,      ///< The key is outside the window; whether it ran is not known.
  kFull,         ///< No room for the key; nothing was recorded.
  kAdvanced,     ///< Answer to ExpireCommand.
};

/** Result of one command. */
struct CommandResult {
  CommandKind kind = CommandKind::kExpire;
  ResultCode code = ResultCode::kAdvanced;
  PermitId permit;                    ///< Permit named by the command.
  RequestDigest digest{};             ///< Digest of the grant, with kGranted.
  base::WallTime deadline;            ///< Deadline of the grant, with kGranted.
  std::optional<std::string> answer;  ///< Stored answer, with kFinished.
};

/**
 * Encodes a batch as msgpack.
 * @throws LedgerError if the batch, or an answer in it, exceeds its bound.
 */
std::string EncodeBatch(const CommandBatch& batch);
/** @throws LedgerError if the bytes are no batch or exceed a bound. */
CommandBatch DecodeBatch(std::string_view bytes);

/** Encodes results as msgpack, in the order of the commands. */
std::string EncodeResults(const std::vector<CommandResult>& results);
/** @throws LedgerError if the bytes are no results or exceed a bound. */
std::vector<CommandResult> DecodeResults(std::string_view bytes);

/** @return Upper bound of the encoded size of a command, in bytes. */
std::size_t EncodedSizeBound(const Command& command);

}  // namespace borageloft::ledger

#endif  // BORAGELOFT_LEDGER_LEDGER_COMMAND_H_
