#ifndef BORAGELOFT_BASE_BUFFER_H_
#define BORAGELOFT_BASE_BUFFER_H_

#include <cstddef>
#include <string>

namespace borageloft::base {

/**
 * Empties a buffer and frees its memory. To clear a string, or to assign an empty one to it, keeps
 * the memory that its longest content took.
 * @param kept_bytes Memory of up to this size is kept, for a buffer that is filled again soon.
 */
inline void ReleaseBuffer(std::string& buffer, std::size_t kept_bytes = 0) {
  if (buffer.capacity() <= kept_bytes) {
    buffer.clear();
  } else {
    std::string().swap(buffer);
  }
}

}  // namespace borageloft::base

#endif  // BORAGELOFT_BASE_BUFFER_H_
