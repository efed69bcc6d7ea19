#ifndef BORAGELOFT_RETRY_RETRY_ALLOWANCE_H_
#define BORAGELOFT_RETRY_RETRY_ALLOWANCE_H_

#include <cstdint>
#include <unordered_map>

#include "libraries/base/base.h"

namespace borageloft::retry {

/** Identifies a part of an allowance that was lent to a child call. */
enum class LoanId : std::uint64_t {};

/** A part of an allowance that is lent to a child call. */
struct AllowanceLoan {
  LoanId id{};
  std::uint32_t amount = 0;  ///< Passed in the child's context as the child's own allowance.
};

/**
 * Extra attempts that one request may still make, at this hop and at the hops below. The allowance
 * of the root is split among child calls by loans, and the part that a child did not spend returns
 * with its answer, so the extra attempts of all hops together never exceed the allowance of the
 * root. Not thread-safe.
 */
class RetryAllowance {
 public:
  /** @param granted Extra attempts for this request and all calls below it. */
  explicit RetryAllowance(std::uint32_t granted) : granted_(granted), unspent_(granted) {}

  /** Takes one extra attempt at this hop. @return Whether one was left. */
  bool TrySpend();

  /**
   * Lends a part to a child call.
   * @param wanted Extra attempts that the child may be given.
   * @return The loan, of less than @p wanted if less is left. Every loan must be settled.
   */
  AllowanceLoan Lend(std::uint32_t wanted);

  /**
   * @param children Child calls that are still expected, the next one included; at least 1.
   * @return An equal part for the next child, rounded up; the parts of its siblings stay here.
   */
  std::uint32_t PartForNextOf(std::uint32_t children) const;

  /**
   * Settles a loan with the count that the child's answer reports.
   * @param id The loan.
   * @param unspent Extra attempts that the child did not make.
   * @return Whether the report is valid. If a child reports more than it was lent, the whole loan
   *     counts as spent, since its report cannot be trusted.
   * @throws RetryError if no such loan is open.
   */
  bool SettleAnswered(LoanId id, std::uint32_t unspent);

  /** Settles a loan whose answer was lost: it counts as spent. @throws RetryError if not open. */
  void SettleLost(LoanId id);

  /** Settles all open loans as lost. @return The unspent part, to report to the calling hop. */
  std::uint32_t Close();

  /** @return Extra attempts that are neither spent nor lent. */
  std::uint32_t unspent() const { return unspent_; }

  /** @return Extra attempts lent to children that have not answered. */
  std::uint32_t lent() const { return lent_; }

  /** @return Extra attempts made here, spent by children or lost with an answer. */
  std::uint32_t spent() const { return spent_; }

  /** @return Extra attempts that this request was granted. */
  std::uint32_t granted() const { return granted_; }

 private:
  std::uint32_t CloseLoan(LoanId id);
  void CheckBalance() const;

  std::uint32_t granted_;
  std::uint32_t unspent_;
  std::uint32_t lent_ = 0;
  std::uint32_t spent_ = 0;
  std::uint64_t next_loan_ = 1;
  std::unordered_map<LoanId, std::uint32_t> loans_;
};

}  // namespace borageloft::retry

#endif  // BORAGELOFT_RETRY_RETRY_ALLOWANCE_H_
