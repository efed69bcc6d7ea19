#ifndef BORAGELOFT_STORAGE_STORAGE_HEALTH_H_
#define BORAGELOFT_STORAGE_STORAGE_HEALTH_H_

#include <functional>
#include <string>
#include <utility>

#include "libraries/storage/storage_error.h"

namespace borageloft::storage {

/** Whether a store can be used. */
enum class StorageState {
  kUsable,
  kStorageFailed,  ///< A write failed; only opening the store again ends this state.
};

/** State shared by the parts of one store, so that a failure in one stops the others. */
class StorageHealth {
 public:
  /** @param name Name of the store in log lines and errors. */
  explicit StorageHealth(std::string name) : name_(std::move(name)) {}

  /** @return The state. */
  StorageState state() const { return state_; }
  /** @return The first failure, or an empty text. */
  const std::string& cause() const { return cause_; }

  /**
   * Runs an operation that changes files.
   * @throws StorageFailedError when the store has failed, or fails in this operation.
   */
  void Run(const std::function<void()>& operation);

  /** @throws StorageFailedError when the store has failed. */
  void RequireUsable() const;

 private:
  std::string name_;
  StorageState state_ = StorageState::kUsable;
  std::string cause_;
};

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_STORAGE_HEALTH_H_
