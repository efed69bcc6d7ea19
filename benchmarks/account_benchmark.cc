#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "libraries/quota/quota.h"
#include "libraries/request_path/request_path.h"

namespace borageloft {
namespace {

constexpr int kAccounts = 1000;
constexpr int kKeysOfAccount = 10;
constexpr int kUpstreams = 6400;

std::vector<declaration::ClientAccount> MakeAccounts() {
  std::vector<declaration::ClientAccount> accounts;
  for (int i = 0; i < kAccounts; ++i) {
    declaration::ClientAccount account;
    account.name = fmt::format("account-{}", i);
    for (int key = 0; key < kKeysOfAccount; ++key) {
      account.keys.push_back(fmt::format("key-of-twenty-{:04}-{}", i, key));
    }
    account.quota = {1e6, 1e6};
    accounts.push_back(std::move(account));
  }
  return accounts;
}

/** The account that holds a key, among 10,000 keys. */
void BM_FindByKey(benchmark::State& state) {
  const declaration::AccountTable table(MakeAccounts());
  std::size_t next = 0;
  for (auto step : state) {
    next = (next + 7919) % kAccounts;
    benchmark::DoNotOptimize(table.FindByKey(table.accounts()[next].keys[next % kKeysOfAccount]));
  }
}
BENCHMARK(BM_FindByKey);

/** The decision of the owner of the quotas on one request of a node. */
void BM_OwnerGrants(benchmark::State& state) {
  quota::QuotaOwner owner{quota::QuotaOptions{}};
  base::TimePoint now{std::chrono::seconds(100)};
  owner.BeginTerm(now);
  owner.SetAccounts(MakeAccounts(), now);
  directory::QuotaRequest request;
  request.node = "10.0.0.1:7620";
  request.nodes = 90;
  request.uses = {{"account-500", 1, 1, 0, 0}};
  for (auto step : state) {
    now += std::chrono::microseconds(50);
    benchmark::DoNotOptimize(owner.Handle(request, now));
  }
}
BENCHMARK(BM_OwnerGrants);

/** The place of a root in the order of shedding, among 1,000 accounts. */
void BM_FairKey(benchmark::State& state) {
  admission::FairShare fair_share;
  base::TimePoint now{std::chrono::seconds(100)};
  const std::vector<declaration::ClientAccount> accounts = MakeAccounts();
  for (std::size_t i = 0; i < accounts.size(); ++i) {
    fair_share.ReportDemand(accounts[i].name, 1 + static_cast<double>(i), now);
  }
  std::uint64_t hash = 1;
  for (auto step : state) {
    hash = hash * 6364136223846793005ULL + 1442695040888963407ULL;
    benchmark::DoNotOptimize(fair_share.KeyOf(accounts[hash % kAccounts].name, hash, now));
  }
}
BENCHMARK(BM_FairKey);

/** The choice of an upstream of a service with 18 of them, the mean at 6,400 in 360 services. */
void BM_ChooseInstance(benchmark::State& state) {
  request_path::InstanceChooser chooser("z0");
  for (int i = 0; i < kUpstreams; ++i) {
    directory::InstanceRecord record;
    record.node = fmt::format("10.{}.{}.1:7620", i / 256, i % 256);
    record.zone = fmt::format("z{}", i % 11);
    record.service = fmt::format("service-{}", i % 360);
    record.instance = fmt::format("i-{}", i);
    record.slots = 70;
    chooser.Set(record);
  }
  const base::Random random = base::SeededRandom(1);
  const base::TimePoint now{std::chrono::seconds(100)};
  for (auto step : state) {
    benchmark::DoNotOptimize(chooser.Choose("service-7", wire::RequestOrigin::kCaller, {},
                                            request_path::CandidateFilter::kExcludeTried, now,
                                            random));
  }
}
BENCHMARK(BM_ChooseInstance);

}  // namespace
}  // namespace borageloft
