#ifndef BORAGELOFT_NOTES_PATH_PATTERN_H_
#define BORAGELOFT_NOTES_PATH_PATTERN_H_

#include <string_view>

namespace borageloft::notes {

/**
 * Matches a path against a pattern in which '*' stands for any run of characters.
 * Takes time linear in the product of the lengths, whatever the pattern.
 * @return Whether the whole path matches.
 */
bool MatchesPattern(std::string_view pattern, std::string_view path);

}  // namespace borageloft::notes

#endif  // BORAGELOFT_NOTES_PATH_PATTERN_H_
