#ifndef BORAGELOFT_WIRE_REQUEST_CONTEXT_H_
#define BORAGELOFT_WIRE_REQUEST_CONTEXT_H_

#include <cstdint>
#include <string>

#include "libraries/base/base.h"

namespace borageloft::wire {

/** What every hop of one root request knows about it. */
struct RequestContext {
  std::string root;             // Identifier of the root request, the same at every hop.
  std::string class_name;       // Class that the entry assigned.
  std::string traceparent;      // W3C trace context of the calling span.
  base::WallTime begun;         // When the root request arrived.
  std::uint32_t allowance = 0;  // Extra attempts that this subtree may still spend.
  std::uint32_t depth = 0;      // 0 at the root.

  friend bool operator==(const RequestContext&, const RequestContext&) = default;
};

}  // namespace borageloft::wire

#endif  // BORAGELOFT_WIRE_REQUEST_CONTEXT_H_
