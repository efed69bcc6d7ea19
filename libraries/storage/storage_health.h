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

/** Health state shared by the parts of one store: a failure in one disables all of them. */
class StorageHealth {
 public:
  /** @param name Name of the store in log lines and errors. */
  explicit StorageHealth(std::string name) : name_(std::move(name)) {}

  /** @return The state. */
  StorageState state() const { return state_; }
  /** @return Message of the first failure, or an empty string. */
  const std::string& cause() const { return cause_; }

  /**
   * Runs an operation that modifies files; a FileError in it marks the store as failed.
   * @throws StorageFailedError if the store has failed, or fails in this operation.
   */
  void Run(const std::function<void()>& operation);

  /** @throws StorageFailedError if the store has failed. */
  void RequireUsable() const;

 private:
  std::string name_;
  StorageState state_ = StorageState::kUsable;
  std::string cause_;
};

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_STORAGE_HEALTH_H_
