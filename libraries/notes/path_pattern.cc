#include "libraries/notes/path_pattern.h"

#include <cstddef>

namespace borageloft::notes {

bool MatchesPattern(std::string_view pattern, std::string_view path) {
  std::size_t at = 0;
  std::size_t position = 0;
  std::size_t star = std::string_view::npos;
  std::size_t resume = 0;
  while (position < path.size()) {
    if (at < pattern.size() && pattern[at] == '*') {
      star = at++;
      resume = position;
    } else if (at < pattern.size() && pattern[at] == path[position]) {
      ++at;
      ++position;
    } else if (star != std::string_view::npos) {
      at = star + 1;
      position = ++resume;
    } else {
      return false;
    }
  }
  while (at < pattern.size() && pattern[at] == '*') {
    ++at;
  }
  return at == pattern.size();
}

}  // namespace borageloft::notes
