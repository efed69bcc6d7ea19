#ifndef BORAGELOFT_WORKBENCH_IDEMPOTENCY_KEY_SOURCE_H_
#define BORAGELOFT_WORKBENCH_IDEMPOTENCY_KEY_SOURCE_H_

#include <string>

#include "libraries/base/base.h"

namespace borageloft::workbench {

/** Makes UUIDv7 keys as RFC 9562 defines them. Not thread-safe. */
class IdempotencyKeySource {
 public:
  /**
   * @param clock Source of the time in the key.
   * @param random Source of the random part.
   */
  IdempotencyKeySource(base::WallClock clock, base::Random random)
      : clock_(std::move(clock)), random_(std::move(random)) {}

  /** @return A fresh key in canonical lower-case form. */
  std::string Next();

 private:
  base::WallClock clock_;
  base::Random random_;
};

}  // namespace borageloft::workbench

#endif  // BORAGELOFT_WORKBENCH_IDEMPOTENCY_KEY_SOURCE_H_
