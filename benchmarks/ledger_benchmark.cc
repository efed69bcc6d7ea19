#include <benchmark/benchmark.h>
#include <malloc.h>

#include <vector>

#include "libraries/ledger/ledger.h"

namespace borageloft::ledger {
namespace {

constexpr std::uint64_t kKeysPerSecond = 17'000;
constexpr LedgerLimits kLimits{.maximum_keys = 100'000'000,
                               .maximum_answer_bytes = std::uint64_t{4} << 30U};

// Bytes in use, with the large blocks that the allocator maps on their own.
std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Makes keys at the rate that the ledger is sized for.
class KeySource {
 public:
  PermitId Next() {
    ++count_;
    time_ = base::WallTime(std::chrono::hours(490'000)) +
            std::chrono::nanoseconds(1'000'000'000 / kKeysPerSecond * count_);
    return {.key = IdempotencyKey::Generate(time_, random_),
            .node = NodeId{count_ % 6400},
            .incarnation = 1,
            .number = count_};
  }
  base::WallTime time() const { return time_; }

 private:
  base::Random random_ = base::SeededRandom(1);
  std::uint64_t count_ = 0;
  base::WallTime time_;
};

std::vector<Command> GrantsFor(const std::vector<PermitId>& permits, base::WallTime time) {
  std::vector<Command> commands;
  commands.reserve(permits.size());
  for (const PermitId& permit : permits) {
    commands.emplace_back(
        GrantCommand{permit, RequestDigest{permit.number}, time + std::chrono::seconds(1)});
  }
  return commands;
}

std::vector<Command> FinishesFor(const std::vector<PermitId>& permits, const std::string& answer) {
  std::vector<Command> commands;
  commands.reserve(permits.size());
  for (const PermitId& permit : permits) {
    commands.emplace_back(FinishCommand{permit, answer});
  }
  return commands;
}

std::vector<PermitId> NextPermits(KeySource& source, std::size_t count) {
  std::vector<PermitId> permits;
  for (std::size_t i = 0; i < count; ++i) {
    permits.push_back(source.Next());
  }
  return permits;
}

// Cost of one key, granted and finished, by batch size and size of its answer; includes decoding
// of commands and encoding of results.
void ApplyKey(benchmark::State& state) {
  KeySource source;
  LedgerState ledger(kLimits);
  const std::string answer(static_cast<std::size_t>(state.range(1)), 'a');
  std::int64_t keys = 0;
  while (state.KeepRunning()) {
    state.PauseTiming();
    const auto permits = NextPermits(source, static_cast<std::size_t>(state.range(0)));
    const std::string grants = EncodeBatch({source.time(), GrantsFor(permits, source.time())});
    const std::string finishes = EncodeBatch({source.time(), FinishesFor(permits, answer)});
    state.ResumeTiming();
    benchmark::DoNotOptimize(ledger.Apply(grants));
    benchmark::DoNotOptimize(ledger.Apply(finishes));
    keys += state.range(0);
  }
  state.SetItemsProcessed(keys);
}
BENCHMARK(ApplyKey)->Args({1, 256})->Args({32, 256})->Args({512, 256})->Args({32, 16384});

// Heap bytes for each key held: open, or finished with an answer of the given size (-1: none).
void MemoryPerKey(benchmark::State& state) {
  constexpr std::size_t kBatches = 2000;
  constexpr std::size_t kBatch = 500;
  const bool is_open = state.range(0) == 0;
  double bytes = 0;
  while (state.KeepRunning()) {
    KeySource source;
    LedgerState ledger(kLimits);
    const std::size_t before = HeapBytes();
    for (std::size_t i = 0; i < kBatches; ++i) {
      const auto permits = NextPermits(source, kBatch);
      ledger.Apply(CommandBatch{source.time(), GrantsFor(permits, source.time())});
      if (!is_open) {
        const std::string answer(
            static_cast<std::size_t>(std::max<std::int64_t>(state.range(1), 0)), 'a');
        auto finishes = FinishesFor(permits, answer);
        if (state.range(1) < 0) {
          for (Command& command : finishes) {
            std::get<FinishCommand>(command).answer.reset();
          }
        }
        ledger.Apply(CommandBatch{source.time(), std::move(finishes)});
      }
    }
    bytes = static_cast<double>(HeapBytes() - before) / static_cast<double>(ledger.key_count());
  }
  state.counters["bytes_per_key"] = bytes;
}
BENCHMARK(MemoryPerKey)
    ->ArgNames({"finished", "answer"})
    ->Args({0, -1})
    ->Args({1, -1})
    ->Args({1, 256})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// Cost of a snapshot and of its restore, for each key.
void SnapshotAndRestore(benchmark::State& state) {
  KeySource source;
  LedgerState ledger(kLimits);
  for (int i = 0; i < 200; ++i) {
    const auto permits = NextPermits(source, 500);
    ledger.Apply(CommandBatch{source.time(), GrantsFor(permits, source.time())});
    ledger.Apply(CommandBatch{source.time(), FinishesFor(permits, std::string(256, 'a'))});
  }
  std::size_t size = 0;
  while (state.KeepRunning()) {
    const std::string snapshot = ledger.Snapshot();
    LedgerState restored(kLimits);
    restored.Restore(snapshot);
    size = snapshot.size();
  }
  state.SetItemsProcessed(state.iterations() * static_cast<std::int64_t>(ledger.key_count()));
  state.counters["snapshot_bytes_per_key"] =
      static_cast<double>(size) / static_cast<double>(ledger.key_count());
}
BENCHMARK(SnapshotAndRestore)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace borageloft::ledger
