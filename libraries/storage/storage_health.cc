#include "libraries/storage/storage_health.h"

namespace borageloft::storage {

void StorageHealth::Run(const std::function<void()>& operation) {
  RequireUsable();
  try {
    operation();
  } catch (const FileError& error) {
    state_ = StorageState::kStorageFailed;
    cause_ = error.what();
    base::Log(base::LogLevel::kError, "storage_failed", {{"store", name_}, {"cause", cause_}});
    RequireUsable();
  }
}

void StorageHealth::RequireUsable() const {
  if (state_ == StorageState::kStorageFailed) {
    throw StorageFailedError("store " + name_ + " is unusable until it is reopened: " + cause_);
  }
}

}  // namespace borageloft::storage
