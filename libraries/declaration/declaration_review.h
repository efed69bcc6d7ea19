#ifndef BORAGELOFT_DECLARATION_DECLARATION_REVIEW_H_
#define BORAGELOFT_DECLARATION_DECLARATION_REVIEW_H_

#include <string>
#include <vector>

#include "libraries/declaration/routes.h"

namespace borageloft::declaration {

/** Something in a valid declaration that its author hardly meant. */
struct Remark {
  std::string entry;  ///< Name of the route, service or account.
  std::string text;
};

/**
 * Finds entries of a valid declaration that can never match, and limits that contradict each other.
 * @param declaration Valid, see FindFault().
 */
std::vector<Remark> FindRemarks(const Declaration& declaration);

}  // namespace borageloft::declaration

#endif  // BORAGELOFT_DECLARATION_DECLARATION_REVIEW_H_
