#ifndef BORAGELOFT_DECLARATION_DECLARATION_REGISTER_H_
#define BORAGELOFT_DECLARATION_DECLARATION_REGISTER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/declaration/routes.h"

namespace borageloft::declaration {

/** A stored or received declaration or command cannot be decoded. */
class DeclarationError : public base::Error {
 public:
  using Error::Error;
};

/** Command to replace the declaration in force. */
struct ReplaceCommand {
  Version base = 0;     ///< Version that the new declaration is based on.
  Version version = 0;  ///< Version of the new declaration.
  std::string text;     ///< The declaration as the operator submitted it.
};

/** @return @p command as an entry of the replicated log; a long text is compressed. */
std::string EncodeCommand(const ReplaceCommand& command);

/** @throws DeclarationError If @p bytes are not a valid command. */
ReplaceCommand DecodeCommand(std::string_view bytes);

/** Result of a command. */
enum class ReplaceOutcome : std::uint8_t {
  kAccepted,         // The declaration is in force.
  kAcceptedEarlier,  // The same command was accepted before.
  kWrongBase,        // The version in force is not the base.
  kNotAbove,         // The version is not higher than the one in force.
};

/**
 * Replicated state machine that holds the declaration in force and replaces it by compare-and-set
 * on its version. It keeps the digests of accepted commands, so that a command that is retried
 * after its acknowledgement was lost is acknowledged again. Deterministic; not thread-safe.
 */
class DeclarationRegister {
 public:
  /** Replaces the declaration in force if @p command is accepted. @return Result of the command. */
  ReplaceOutcome Apply(const ReplaceCommand& command);

  /** @return The result that Apply() would return, without changing the state. */
  ReplaceOutcome Preview(const ReplaceCommand& command) const;

  /** @return The serialized state. */
  std::string Snapshot() const;

  /**
   * Replaces the state by a snapshot. Empty @p data stands for the state before the first command.
   * @throws DeclarationError If @p data is not a valid snapshot.
   */
  void Restore(std::string_view data);

  /** @return Version in force, or 0 before the first declaration. */
  Version version() const { return version_; }
  /** @return The declaration in force as the operator submitted it. */
  const std::string& text() const { return text_; }

 private:
  struct Accepted {
    Version base = 0;
    Version version = 0;
    std::uint64_t digest = 0;
  };

  // Number of accepted commands whose retries are recognized. Operators retry for minutes at most.
  static constexpr std::size_t kMaxHistoryEntries = 4096;

  Version version_ = 0;
  std::string text_;
  std::deque<Accepted> history_;
};

}  // namespace borageloft::declaration

#endif  // BORAGELOFT_DECLARATION_DECLARATION_REGISTER_H_
