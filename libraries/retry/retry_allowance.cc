#include "libraries/retry/retry_allowance.h"

#include <algorithm>

#include "libraries/retry/retry_error.h"

namespace borageloft::retry {

bool RetryAllowance::TrySpend() {
  if (unspent_ == 0) {
    return false;
  }
  --unspent_;
  ++spent_;
  CheckBalance();
  return true;
}

AllowanceLoan RetryAllowance::Lend(std::uint32_t wanted) {
  const AllowanceLoan loan{LoanId{next_loan_++}, std::min(wanted, unspent_)};
  unspent_ -= loan.amount;
  lent_ += loan.amount;
  loans_.emplace(loan.id, loan.amount);
  CheckBalance();
  return loan;
}

std::uint32_t RetryAllowance::PartForNextOf(std::uint32_t children) const {
  // Rounded up, so that an allowance of 1 goes to a child call instead of staying unused here.
  return children <= 1 ? unspent_ : (unspent_ + children - 1) / children;
}

bool RetryAllowance::SettleAnswered(LoanId id, std::uint32_t unspent) {
  const std::uint32_t amount = CloseLoan(id);
  const bool is_valid = unspent <= amount;
  const std::uint32_t returned = is_valid ? unspent : 0;
  unspent_ += returned;
  spent_ += amount - returned;
  CheckBalance();
  return is_valid;
}

void RetryAllowance::SettleLost(LoanId id) {
  spent_ += CloseLoan(id);
  CheckBalance();
}

std::uint32_t RetryAllowance::Close() {
  spent_ += lent_;
  lent_ = 0;
  loans_.clear();
  CheckBalance();
  return std::exchange(unspent_, 0);
}

std::uint32_t RetryAllowance::CloseLoan(LoanId id) {
  const auto found = loans_.find(id);
  if (found == loans_.end()) {
    throw RetryError("no loan with this id is open");
  }
  const std::uint32_t amount = found->second;
  loans_.erase(found);
  lent_ -= amount;
  return amount;
}

void RetryAllowance::CheckBalance() const { VERIFY(unspent_ + lent_ + spent_ == granted_); }

}  // namespace borageloft::retry
