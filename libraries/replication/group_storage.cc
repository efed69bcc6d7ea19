#include "libraries/replication/group_storage.h"

#include <fmt/format.h>

#include <charconv>
#include <limits>
#include <utility>

#include "libraries/replication/error.h"

namespace borageloft::replication {

using consensus::Entry;
using consensus::HardState;
using consensus::PersistedState;
using consensus::ReplicaId;
using consensus::Snapshot;

namespace {

// The stored content of a snapshot starts with the replica id as 16 hexadecimal digits.
constexpr std::size_t kIdDigits = 16;

ReplicaId ParseId(std::string_view digits, int base) {
  ReplicaId id = consensus::kNoReplica;
  const char* end = digits.data() + digits.size();
  const auto [stop, error] = std::from_chars(digits.data(), end, id, base);
  if (error != std::errc() || stop != end) {
    throw ReplicationError("data folder has an invalid replica id");
  }
  return id;
}

/** Runs a storage operation and rethrows its errors as ReplicationError. */
template <typename Operation>
auto TranslateErrors(const char* what, Operation operation) {
  try {
    return operation();
  } catch (const ReplicationError&) {
    throw;
  } catch (const base::Error& error) {
    throw ReplicationError(fmt::format("cannot {}: {}", what, error.what()));
  }
}

}  // namespace

GroupStorage::GroupStorage(const storage::DataFolder& folder, std::string name,
                           storage::LogOptions options)
    : folder_(folder), name_(std::move(name)), options_(options) {}

ReplicaStorage GroupStorage::Hooks() {
  ReplicaStorage hooks;
  hooks.load = [this] { return TranslateErrors("load the replica", [&] { return Load(); }); };
  hooks.save_hard_state = [this](const HardState& state) {
    TranslateErrors("save term and vote", [&] { SaveHardState(state); });
  };
  hooks.append = [this](const std::vector<Entry>& entries) {
    TranslateErrors("append entries", [&] { Append(entries); });
  };
  hooks.truncate = [this](consensus::Index first) {
    TranslateErrors("truncate the log", [&] { store_->log().TruncateSuffix(first); });
  };
  hooks.save_snapshot = [this](const Snapshot& snapshot) {
    TranslateErrors("save a snapshot", [&] {
      store_->SaveSnapshot({snapshot.index, snapshot.term}, EncodeContent(snapshot));
    });
  };
  hooks.install_snapshot = [this](const Snapshot& snapshot) {
    TranslateErrors("install a snapshot", [&] {
      store_->InstallSnapshot({snapshot.index, snapshot.term}, EncodeContent(snapshot));
    });
  };
  return hooks;
}

std::optional<PersistedState> GroupStorage::Load() {
  store_.reset();
  store_.emplace(folder_, name_, options_);
  const std::optional<storage::Snapshot> stored = store_->LoadSnapshot();
  const storage::Metadata& metadata = store_->metadata().metadata();
  if (!stored) {
    if (metadata.term > 0 || store_->log().last_index() > 0) {
      throw ReplicationError("data folder has a log or a term, but no valid snapshot");
    }
    return std::nullopt;
  }
  if (stored->content.size() < kIdDigits) {
    throw ReplicationError("stored snapshot has no replica id");
  }
  const std::string_view content = stored->content;
  replica_ = ParseId(content.substr(0, kIdDigits), 16);
  PersistedState state;
  state.hard_state.replica = replica_;
  state.hard_state.term = metadata.term;
  state.hard_state.vote =
      metadata.vote.empty() ? consensus::kNoReplica : ParseId(metadata.vote, 10);
  state.snapshot =
      std::make_shared<const Snapshot>(consensus::DecodeSnapshot(content.substr(kIdDigits)));
  state.entries = ReadEntries();
  return state;
}

std::vector<Entry> GroupStorage::ReadEntries() {
  storage::SegmentedLog& log = store_->log();
  std::vector<Entry> entries;
  for (std::uint64_t next = log.first_index(); next <= log.last_index();) {
    const storage::ReadResult read = log.Read(next, std::numeric_limits<std::size_t>::max());
    for (const std::string& record : read.records) {
      entries.push_back(consensus::DecodeEntry(record));
      if (entries.back().index != next) {
        throw ReplicationError(
            fmt::format("log record {} has an entry with a different index", next));
      }
      ++next;
    }
  }
  return entries;
}

void GroupStorage::SaveHardState(const HardState& state) {
  storage::Metadata metadata = store_->metadata().metadata();
  replica_ = state.replica;
  metadata.term = state.term;
  metadata.vote = state.vote == consensus::kNoReplica ? "" : std::to_string(state.vote);
  store_->metadata().Save(metadata);
}

void GroupStorage::Append(const std::vector<Entry>& entries) {
  std::vector<std::string> records;
  records.reserve(entries.size());
  for (const Entry& entry : entries) {
    records.push_back(consensus::EncodeEntry(entry));
  }
  VERIFY(entries.front().index == store_->log().last_index() + 1);
  store_->log().Append(records);
}

std::string GroupStorage::EncodeContent(const Snapshot& snapshot) const {
  return fmt::format("{:016x}", replica_) + consensus::EncodeSnapshot(snapshot);
}

}  // namespace borageloft::replication
