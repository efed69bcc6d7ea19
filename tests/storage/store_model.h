#ifndef BORAGELOFT_STORAGE_STORE_MODEL_H_
#define BORAGELOFT_STORAGE_STORE_MODEL_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libraries/storage/storage.h"

namespace borageloft::storage {

/** State that a reopened group must have. */
struct ExpectedState {
  std::map<std::uint64_t, std::string> records;
  std::uint64_t last_index = 0;
  std::uint64_t dropped = 0;
  std::optional<Snapshot> snapshot;
  Metadata metadata;

  /** @return The first difference, or an empty string. */
  std::string DifferenceTo(GroupStore& store) const;
};

/**
 * Applies random operations to a group and tracks the states that it may have after a crash. While
 * an operation runs, the states before and after it are both allowed.
 */
class StoreModel {
 public:
  explicit StoreModel(std::uint64_t seed) : random_(base::SeededRandom(seed)) {}

  /** Runs one operation. @throws StorageFailedError from the store. */
  void Step(GroupStore& store);
  /**
   * Compares a reopened group with the allowed states and continues from the one that matches.
   * @return An empty string, or the differences to each allowed state if none matches.
   */
  std::string Adopt(GroupStore& store);

 private:
  void Append(GroupStore& store, ExpectedState& next);

  base::Random random_;
  std::vector<ExpectedState> allowed_ = {ExpectedState{}};
  std::uint64_t record_number_ = 0;
};

}  // namespace borageloft::storage

#endif  // BORAGELOFT_STORAGE_STORE_MODEL_H_
