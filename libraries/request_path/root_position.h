#ifndef BORAGELOFT_REQUEST_PATH_ROOT_POSITION_H_
#define BORAGELOFT_REQUEST_PATH_ROOT_POSITION_H_

#include <cstdint>

#include "libraries/admission/admission.h"

namespace borageloft::request_path {

/** Root request to which a retry or an attempt belongs. */
struct RootPosition {
  /** 0 is the most important. */
  std::uint32_t priority = 0;
  /** Position of the root within its priority; the same at every node. */
  admission::ShedKey key;
};

}  // namespace borageloft::request_path

#endif  // BORAGELOFT_REQUEST_PATH_ROOT_POSITION_H_
