#include "libraries/storage/storage.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "tests/storage/faulty_file_system.h"
#include "tests/storage/record_fuzz.h"
#include "tests/storage/store_model.h"

namespace borageloft::storage {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;

constexpr LogOptions kSmallSegments{.segment_bytes = 400};
constexpr const char* kFirstSegment = "/data/group/log/00000000000000000001.log";

class StorageTest : public ::testing::Test {
 protected:
  void SetUp() override { base::SetLogLevel(static_cast<base::LogLevel>(4)); }
  void TearDown() override { base::SetLogLevel(base::LogLevel::kInfo); }

  // Opens the group and runs an action on it.
  void WithStore(const std::function<void(GroupStore&)>& action, LogOptions options = {}) {
    const DataFolder folder(hooks_, "/data");
    GroupStore store(folder, "group", options);
    action(store);
  }
  void AppendRecords(std::initializer_list<const char*> records) {
    WithStore([&](GroupStore& store) {
      for (const char* record : records) {
        store.log().Append(std::vector<std::string>{record});
      }
    });
  }
  void FlipByte(const std::string& path, std::size_t offset) {
    std::string content = disk_.ReadFile(path);
    content[offset] = static_cast<char>(content[offset] ^ 0x10);
    disk_.OverwriteFile(path, content);
  }

  FaultyFileSystem disk_{1};
  FileSystem hooks_ = disk_.Hooks();
};

enum class AfterFailure { kRestart, kLoseUnsynced, kTearUnsynced };

// Runs one workload with the failure of operation `failing`, then opens the group again.
// Returns false if the workload ended before that operation.
bool RunWithFailure(std::uint64_t failing, AfterFailure after, std::uint64_t seed) {
  FaultyFileSystem disk(seed);
  const FileSystem hooks = disk.Hooks();
  StoreModel model(seed);
  disk.FailAt(failing);
  try {
    const DataFolder folder(hooks, "/data");
    GroupStore store(folder, "group", kSmallSegments);
    try {
      for (int step = 0; step < 40; ++step) {
        model.Step(store);
      }
    } catch (const StorageFailedError&) {
      EXPECT_EQ(store.state(), StorageState::kStorageFailed);
      EXPECT_THROW(store.log().Append(std::vector<std::string>{"refused"}), StorageFailedError);
      EXPECT_THROW(store.metadata().RaiseIncarnation(), StorageFailedError);
    }
  } catch (const StorageError&) {
    EXPECT_TRUE(disk.has_failed());
  }
  const bool has_failed = disk.has_failed();
  disk.FailAt(0);
  if (after != AfterFailure::kRestart) {
    disk.LosePower(after == AfterFailure::kLoseUnsynced ? PowerLoss::kLoseUnsynced
                                                        : PowerLoss::kTearUnsynced);
  }
  // The first round loses power after opening, and the second checks that what the first one saw is
  // durable.
  for (int round = 0; round < 2; ++round) {
    const DataFolder folder(hooks, "/data");
    GroupStore store(folder, "group", kSmallSegments);
    EXPECT_EQ(model.Adopt(store), "") << "operation " << failing << " round " << round;
    disk.LosePower(PowerLoss::kLoseUnsynced);
  }
  return has_failed;
}

// Guards against losing acknowledged records and returning ones that were never appended, for a
// failure of any operation and any outcome for unsynced bytes.
TEST_F(StorageTest, SurvivesFailureOfEachOperation) {
  for (const AfterFailure after :
       {AfterFailure::kRestart, AfterFailure::kLoseUnsynced, AfterFailure::kTearUnsynced}) {
    std::uint64_t failing = 1;
    while (RunWithFailure(failing, after, 7)) {
      ++failing;
      ASSERT_FALSE(HasFailure());
    }
    EXPECT_GT(failing, 100U) << "the workload has too few operations to be meaningful";
  }
}

// Guards against faults that only appear after a series of failures and restarts, such as a failure
// during repair. STORAGE_SEEDS sets the number of seeds.
TEST_F(StorageTest, SurvivesRandomFailures) {
  const char* seeds = std::getenv("STORAGE_SEEDS");
  const std::uint64_t count = seeds == nullptr ? 40 : std::strtoull(seeds, nullptr, 10);
  for (std::uint64_t seed = 1; seed <= count; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    FaultyFileSystem disk(seed);
    const FileSystem hooks = disk.Hooks();
    const base::Random random = base::SeededRandom(seed + 1000);
    StoreModel model(seed);
    for (int run = 0; run < 40; ++run) {
      disk.FailAt(base::DrawBelow(random, 80));
      try {
        const DataFolder folder(hooks, "/data");
        GroupStore store(folder, "group", kSmallSegments);
        ASSERT_EQ(model.Adopt(store), "") << "run " << run;
        for (std::uint64_t steps = base::DrawBelow(random, 60); steps > 0; --steps) {
          model.Step(store);
        }
      } catch (const CorruptionError& error) {
        FAIL() << error.what() << " in run " << run;
      } catch (const StorageError&) {
        ASSERT_TRUE(disk.has_failed());
      }
      disk.FailAt(0);
      switch (base::DrawBelow(random, 3)) {
        case 0:
          break;
        case 1:
          disk.LosePower(PowerLoss::kLoseUnsynced);
          break;
        default:
          disk.LosePower(PowerLoss::kTearUnsynced);
      }
    }
  }
}

// Guards against a write interrupted by a crash being read as a record, or preventing a start.
TEST_F(StorageTest, CutsAndReportsTornTail) {
  AppendRecords({"one", "two"});
  const std::string content = disk_.ReadFile(kFirstSegment);
  const std::size_t last_frame = content.size() - kFrameHeaderBytes - 4 - 3;
  for (std::size_t size = last_frame + 1; size < content.size(); ++size) {
    disk_.OverwriteFile(kFirstSegment, content.substr(0, size));
    WithStore([&](GroupStore& store) {
      EXPECT_THAT(store.log().Read(1, 10).records, ElementsAre("one"));
      ASSERT_TRUE(store.log().torn_tail().has_value());
      EXPECT_EQ(store.log().torn_tail()->file, kFirstSegment);
      EXPECT_EQ(store.log().torn_tail()->offset, last_frame);
      EXPECT_EQ(store.log().torn_tail()->bytes, size - last_frame);
    });
  }
}

// Guards against skipping a damaged record: a flip of any byte before the last frame is rejected.
TEST_F(StorageTest, RefusesCorruptMiddle) {
  AppendRecords({"one", "two", "three"});
  const std::string content = disk_.ReadFile(kFirstSegment);
  const std::size_t last_frame = content.size() - kFrameHeaderBytes - 4 - 5;
  for (std::size_t offset = 0; offset < last_frame; ++offset) {
    disk_.OverwriteFile(kFirstSegment, content);
    FlipByte(kFirstSegment, offset);
    try {
      WithStore([](GroupStore&) {});
      ADD_FAILURE() << "byte " << offset << " was accepted";
    } catch (const CorruptionError& error) {
      EXPECT_EQ(error.file(), kFirstSegment);
      EXPECT_LE(error.offset(), offset);
      EXPECT_THAT(error.what(), HasSubstr("corrupt at offset"));
    }
  }
}

// Guards against cutting off synced records in a segment that must be complete because a later one
// exists, and against accepting a missing segment.
TEST_F(StorageTest, RefusesDamageBeforeLastSegment) {
  for (int i = 0; i < 3; ++i) {
    WithStore([](GroupStore& store) { store.log().Append(std::vector<std::string>{"record"}); },
              {.segment_bytes = 1});
  }
  const std::string second = "/data/group/log/00000000000000000002.log";
  const std::string content = disk_.ReadFile(second);
  disk_.OverwriteFile(second, content.substr(0, content.size() - 1));
  EXPECT_THROW(WithStore([](GroupStore&) {}), CorruptionError);
  disk_.RemoveFile(second);
  EXPECT_THROW(WithStore([](GroupStore&) {}), CorruptionError);
}

// Guards against reading a file of a later release as if it were of this one.
TEST_F(StorageTest, RefusesOtherFormatVersion) {
  AppendRecords({"one"});
  std::string content = disk_.ReadFile(kFirstSegment);
  content[8] = 2;
  const std::uint64_t hash = base::Hash(std::string_view(content).substr(0, 32));
  for (std::size_t i = 0; i < 8; ++i) {
    content[32 + i] = static_cast<char>(hash >> (8 * i));
  }
  disk_.OverwriteFile(kFirstSegment, content);
  try {
    WithStore([](GroupStore&) {});
    ADD_FAILURE() << "version 2 was accepted";
  } catch (const CorruptionError& error) {
    EXPECT_THAT(error.what(), HasSubstr("format version 2"));
  }
}

// Guards against returning a record that changed on disk after the log was opened.
TEST_F(StorageTest, ReadChecksRecord) {
  WithStore([&](GroupStore& store) {
    store.log().Append(std::vector<std::string>{"one"});
    const File file(hooks_, kFirstSegment, OpenMode::kUpdate);
    hooks_.write(hooks_.open(kFirstSegment, OpenMode::kUpdate), file.Size() - 1, "X");
    EXPECT_THROW(store.log().Read(1, 1), CorruptionError);
  });
}

// Guards against a sync per record, which would defeat group commit.
TEST_F(StorageTest, AppendsBatchWithOneSync) {
  int writes = 0;
  int syncs = 0;
  hooks_.write = [&, write = hooks_.write](FileHandle file, std::uint64_t offset,
                                           std::string_view data) {
    ++writes;
    write(file, offset, data);
  };
  hooks_.sync = [&, sync = hooks_.sync](FileHandle file) {
    ++syncs;
    sync(file);
  };
  WithStore([&](GroupStore& store) {
    writes = syncs = 0;
    store.log().Append(std::vector<std::string>(500, "record"));
    EXPECT_EQ(writes, 1);
    EXPECT_EQ(syncs, 1);
  });
}

// Guards against a record that is too large marking the store as failed.
TEST_F(StorageTest, RefusesTooLargeRecordAndStaysUsable) {
  WithStore([](GroupStore& store) {
    const std::vector<std::string> large(1, std::string(kMaximumRecordBytes + 1, 'x'));
    EXPECT_THROW(store.log().Append(large), StorageError);
    EXPECT_EQ(store.state(), StorageState::kUsable);
    EXPECT_EQ(store.log().Append(std::vector<std::string>{"one"}), 1U);
  });
}

// Guards against an older vote being used when the newest record is damaged.
TEST_F(StorageTest, RefusesDamagedMetadata) {
  WithStore([](GroupStore& store) { store.metadata().Save({3, "host-1", 9}); });
  const std::string path = "/data/group/metadata";
  const std::string content = disk_.ReadFile(path);
  for (std::size_t offset = 0; offset < content.size(); ++offset) {
    disk_.OverwriteFile(path, content);
    FlipByte(path, offset);
    EXPECT_THROW(WithStore([](GroupStore&) {}), CorruptionError) << "byte " << offset;
  }
}

// Guards against use of a damaged snapshot where an older valid one and its log are still there,
// and against a silent gap where they are not.
TEST_F(StorageTest, UsesNewestValidSnapshot) {
  AppendRecords({"one", "two", "three"});
  WithStore([](GroupStore& store) { store.SaveSnapshot({1, 1}, "first"); });
  const std::string bad = "/data/group/snapshots/snapshot-00000000000000000002";
  std::string damaged = EncodeSnapshot({2, 1}, "second");
  damaged.back() = 'X';
  disk_.OverwriteFile(bad, damaged);
  WithStore([](GroupStore& store) { EXPECT_EQ(store.LoadSnapshot()->content, "first"); });
  EXPECT_TRUE(CheckDataFolder("/data", hooks_).is_sound());

  WithStore([](GroupStore& store) { store.InstallSnapshot({9, 1}, "third"); });
  EXPECT_FALSE(disk_.HasFile(bad));
  disk_.RemoveFile("/data/group/snapshots/snapshot-00000000000000000009");
  EXPECT_THROW(WithStore([](GroupStore&) {}), CorruptionError);
  EXPECT_FALSE(CheckDataFolder("/data", hooks_).is_sound());
}

// Guards against a check that misses damage, modifies files, or reports an error for what a start
// repairs.
TEST_F(StorageTest, CheckReportsEachGroup) {
  EXPECT_EQ(CheckDataFolder("/none", hooks_).use, FolderUse::kMissing);
  AppendRecords({"one", "two"});
  disk_.OverwriteFile(kFirstSegment, disk_.ReadFile(kFirstSegment) + "tail");
  DataFolderReport report = CheckDataFolder("/data", hooks_);
  EXPECT_TRUE(report.is_sound());
  ASSERT_EQ(report.groups.size(), 1U);
  EXPECT_EQ(report.groups[0].last_index, 2U);
  EXPECT_EQ(report.groups[0].torn_tail->bytes, 4U);
  FlipByte(kFirstSegment, kSegmentHeaderBytes + 1);
  const std::string damaged = disk_.ReadFile(kFirstSegment);
  report = CheckDataFolder("/data", hooks_);
  EXPECT_FALSE(report.is_sound());
  EXPECT_EQ(report.findings[0].file, kFirstSegment);
  EXPECT_EQ(report.findings[0].offset, kSegmentHeaderBytes);
  EXPECT_EQ(disk_.ReadFile(kFirstSegment), damaged);
}

// Guards against two processes writing to one folder, and against storage code that works only on
// the in-memory file system.
TEST(PosixFileSystemTest, LocksFolderAndKeepsRecords) {
  std::string pattern = ::testing::TempDir() + "/borageloft-storage-XXXXXX";
  ASSERT_NE(::mkdtemp(pattern.data()), nullptr);
  const FileSystem hooks = PosixFileSystem();
  const std::string path = pattern + "/data";
  for (std::uint64_t run = 1; run <= 3; ++run) {
    const DataFolder folder(hooks, path);
    EXPECT_THROW(DataFolder(hooks, path), FolderLockedError);
    GroupStore store(folder, "notes", {.segment_bytes = 1});
    EXPECT_EQ(store.metadata().RaiseIncarnation(), run);
    EXPECT_EQ(store.log().Append(std::vector<std::string>{"one", "two"}), 2 * run);
    if (run == 3) {
      store.SaveSnapshot({5, 1}, "state");
      EXPECT_THAT(store.log().Read(6, 10).records, ElementsAre("two"));
    }
    EXPECT_EQ(CheckDataFolder(path, hooks).use, FolderUse::kInUse);
  }
  const DataFolderReport report = CheckDataFolder(path);
  EXPECT_EQ(report.use, FolderUse::kFree);
  EXPECT_TRUE(report.is_sound());
  EXPECT_EQ(report.groups[0].snapshot, (SnapshotId{5, 1}));
  std::filesystem::remove_all(pattern);
}

// Guards against regressions of decoder faults that the fuzzer found.
TEST(RecordCorpusTest, ReplaysCorpus) {
  std::size_t count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(STORAGE_CORPUS)) {
    std::ifstream stream(entry.path(), std::ios::binary);
    std::stringstream content;
    content << stream.rdbuf();
    CheckRecordInput(content.str());
    ++count;
  }
  EXPECT_GE(count, 5U);
}

}  // namespace
}  // namespace borageloft::storage
