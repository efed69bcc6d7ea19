// Prints grants_per_second and grant_p99_ms, with batching off and on, as JSON lines. Three control
// hosts with real storage and four gates share one process and exchange messages in memory.

#include <fmt/format.h>

#include <algorithm>

#include "libraries/node/ledger_table.h"
#include "tests/node/cluster.h"

namespace borageloft::node {
namespace {

constexpr std::size_t kGates = 4;
constexpr std::size_t kThreadsOfGate = 32;
constexpr std::chrono::seconds kDuration{5};
constexpr const char* kNote =
    "[note]\nnumber = 1\nauthor = bench\n[added service pay]\nidempotent = no\n";

/** Latencies of the grants that one thread got. */
using Latencies = std::vector<base::Duration>;

wire::Request MakeRequest(const base::Random& random) {
  wire::Request request;
  request.service = "pay";
  request.method = "POST";
  request.path = "/claims";
  request.idempotency_key =
      ledger::IdempotencyKey::Generate(base::SystemWallClock()(), random).ToString();
  return request;
}

wire::Response MakeAnswer() {
  wire::Response response;
  response.outcome = wire::Outcome::kRan;
  response.status = 200;
  response.body = std::string(200, 'a');
  return response;
}

Latencies RunThread(LedgerTable& table, std::uint64_t seed, base::TimePoint end) {
  const base::Clock clock = base::SystemClock();
  const base::Random random = base::SeededRandom(seed);
  Latencies latencies;
  while (clock() < end) {
    const wire::Request request = MakeRequest(random);
    const base::TimePoint begun = clock();
    if (!table.Acquire(request, begun + std::chrono::seconds(5))) {
      latencies.push_back(clock() - begun);
      table.Finish(request, MakeAnswer(), begun + std::chrono::seconds(5));
    }
  }
  return latencies;
}

struct Gate {
  Gate(MemoryNetwork& network, const std::string& name, const std::vector<std::string>& hosts,
       const LedgerTableOptions& options)
      : base(network, name, hosts), table(base.services(), base.hub(), 1, options) {
    std::vector<settings::Issue> issues;
    table.ApplyPolicy(notes::Policy().Apply(notes::ReleaseNote::Parse(kNote, "note"), issues));
    base.RunTicks([this] { table.Tick(); });
  }
  ~Gate() {
    table.Stop();
    base.Stop();
  }
  Gate(const Gate&) = delete;
  Gate& operator=(const Gate&) = delete;

  TestHost base;
  LedgerTable table;
};

struct Control {
  Control(MemoryNetwork& network, const storage::FileSystem& file_system, const std::string& name,
          const std::vector<std::string>& hosts, const std::string& path)
      : base(network, name, hosts),
        folder(file_system, path),
        ledger(std::make_unique<LedgerControl>(base.services(), folder, base.hub())) {
    ledger->Start();
    base.RunTicks([this] { ledger->Tick(); });
  }
  ~Control() { base.Stop(); }
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  TestHost base;
  storage::DataFolder folder;
  std::unique_ptr<LedgerControl> ledger;
};

void Measure(const char* label, const LedgerTableOptions& options, std::uint64_t seed) {
  const TemporaryFolder folder;
  const storage::FileSystem file_system = storage::PosixFileSystem();
  MemoryNetwork network;
  const std::vector<std::string> hosts = {"a", "b", "c"};
  std::vector<std::unique_ptr<Control>> controls;
  controls.reserve(hosts.size());
  for (const std::string& name : hosts) {
    controls.push_back(std::make_unique<Control>(network, file_system, name, hosts,
                                                 (folder.path() / name).string()));
  }
  std::vector<std::unique_ptr<Gate>> gates;
  gates.reserve(kGates);
  for (std::size_t gate = 0; gate < kGates; ++gate) {
    gates.push_back(std::make_unique<Gate>(network, fmt::format("n{}", gate), hosts, options));
  }
  const base::Random random = base::SeededRandom(seed);
  if (!Eventually([&] {
        return !gates[0]->table.Acquire(MakeRequest(random),
                                        base::SystemClock()() + std::chrono::seconds(1));
      })) {
    throw base::Error("no grant within the time for an election");
  }
  const base::TimePoint end = base::SystemClock()() + kDuration;
  std::vector<std::future<Latencies>> threads;
  threads.reserve(kGates * kThreadsOfGate);
  for (const auto& gate : gates) {
    for (std::size_t thread = 0; thread < kThreadsOfGate; ++thread) {
      threads.push_back(std::async(std::launch::async, [&gate, end, thread_seed = ++seed] {
        return RunThread(gate->table, thread_seed, end);
      }));
    }
  }
  Latencies all;
  for (auto& thread : threads) {
    const Latencies part = thread.get();
    all.insert(all.end(), part.begin(), part.end());
  }
  std::sort(all.begin(), all.end());
  const double seconds = std::chrono::duration<double>(kDuration).count();
  const double p99 =
      all.empty() ? 0
                  : std::chrono::duration<double, std::milli>(all[all.size() * 99 / 100]).count();
  fmt::print(R"({{"name":"grants_per_second","batching":"{}","value":{:.0f},"unit":"1/s"}})"
             "\n",
             label, static_cast<double>(all.size()) / seconds);
  fmt::print(R"({{"name":"grant_p99_ms","batching":"{}","value":{:.2f},"unit":"ms"}})"
             "\n",
             label, p99);
}

}  // namespace
}  // namespace borageloft::node

int main() {
  borageloft::base::SetLogLevel(borageloft::base::LogLevel::kError);
  borageloft::node::LedgerTableOptions options;
  options.gate.maximum_keys = 1'000'000;
  borageloft::node::LedgerTableOptions without = options;
  without.batcher.maximum_commands = 1;
  // Every grant is a proposal of its own and none waits for another.
  without.maximum_in_flight = 1024;
  borageloft::node::Measure("off", without, 1);
  borageloft::node::Measure("on", options, 1'000'000);
  return 0;
}
