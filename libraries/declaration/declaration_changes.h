#ifndef BORAGELOFT_DECLARATION_DECLARATION_CHANGES_H_
#define BORAGELOFT_DECLARATION_DECLARATION_CHANGES_H_

#include <cstddef>
#include <string>
#include <vector>

#include "libraries/declaration/routes.h"

namespace borageloft::declaration {

/** What a declaration changes against the one before it, for logs. */
struct DeclarationChanges {
  /** One text for each changed route, service or group of limits, up to the limit. */
  std::vector<std::string> entries;
  /** Number of all changes, also of those beyond the limit. */
  std::size_t count = 0;
};

/**
 * Compares two declarations. Routes are matched by host and path prefix, services by name.
 * @param max_entries Maximum number of entries in the result.
 */
DeclarationChanges FindChanges(const Declaration& before, const Declaration& after,
                               std::size_t max_entries);

}  // namespace borageloft::declaration

#endif  // BORAGELOFT_DECLARATION_DECLARATION_CHANGES_H_
