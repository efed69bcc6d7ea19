#ifndef BORAGELOFT_REPLICATION_GROUP_STORAGE_H_
#define BORAGELOFT_REPLICATION_GROUP_STORAGE_H_

#include <optional>
#include <string>
#include <vector>

#include "libraries/replication/replica_storage.h"
#include "libraries/storage/storage.h"

namespace borageloft::replication {

/**
 * Stores the state of a replica in a storage::GroupStore. Each log entry is a record of its log,
 * the term and the vote are its metadata, and each snapshot also contains the id of the replica
 * that owns the folder. Not thread-safe; ReplicaHost calls the hooks from one thread at a time.
 */
class GroupStorage {
 public:
  /**
   * @param folder Data folder; it must outlive this object.
   * @param name Name of the group.
   * @param options Settings of the log.
   */
  GroupStorage(const storage::DataFolder& folder, std::string name,
               storage::LogOptions options = {});

  /**
   * @return Hooks for ReplicaHost; this object must outlive them. Each call of `load` reopens the
   * store, which clears its failed state. Errors are thrown as ReplicationError.
   */
  ReplicaStorage Hooks();

 private:
  std::optional<consensus::PersistedState> Load();
  std::vector<consensus::Entry> ReadEntries();
  void SaveHardState(const consensus::HardState& state);
  void Append(const std::vector<consensus::Entry>& entries);
  std::string EncodeContent(const consensus::Snapshot& snapshot) const;

  const storage::DataFolder& folder_;
  std::string name_;
  storage::LogOptions options_;
  std::optional<storage::GroupStore> store_;
  consensus::ReplicaId replica_ = consensus::kNoReplica;
};

}  // namespace borageloft::replication

#endif  // BORAGELOFT_REPLICATION_GROUP_STORAGE_H_
