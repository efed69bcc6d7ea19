#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "libraries/admission/admission.h"

namespace borageloft::admission {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kStart{seconds(1000)};

std::vector<ClassLimits> Classes() {
  return {{"claims", 1, 0.05, 128}, {"browse", 2, 0, 128}, {"crawl", 3, 0, 128}};
}

GateLimits Limits(std::size_t slots) {
  GateLimits limits;
  limits.slots = slots;
  limits.cold_share = 1;
  return limits;
}

Ticket MakeTicket(std::uint64_t id, ClassRank rank, base::TimePoint now) {
  Ticket ticket;
  ticket.id = TicketId{id};
  ticket.request_class = {rank == 1 ? "claims" : "browse", rank};
  ticket.key = ShedKey(id * 0x9E3779B97F4A7C15U);
  ticket.deadline = now + seconds(1);
  ticket.begun = now;
  return ticket;
}

// One request that is admitted at once and ends, at a gate of the given number of slots.
void AdmitAndFinish(benchmark::State& state) {
  AdmissionGate gate(Limits(static_cast<std::size_t>(state.range(0))), Classes());
  base::TimePoint now = kStart;
  std::uint64_t id = 0;
  while (state.KeepRunning()) {
    now += microseconds(20);
    const Ticket ticket = MakeTicket(++id, 2, now);
    benchmark::DoNotOptimize(gate.Offer(ticket, now));
    benchmark::DoNotOptimize(gate.Finish(ticket.id, Outcome::kSucceeded, microseconds(20), now));
  }
}
BENCHMARK(AdmitAndFinish)->Arg(1)->Arg(70)->Arg(500);

// One request that passes through a full queue: the one that ends lets a waiting one run.
void QueueAndFinish(benchmark::State& state) {
  AdmissionGate gate(Limits(1), Classes());
  const base::TimePoint now = kStart;
  std::uint64_t id = 0;
  std::uint64_t running = ++id;
  gate.Offer(MakeTicket(running, 2, now), now);
  while (gate.waiting() < 127) {
    gate.Offer(MakeTicket(++id, 2, now), now);
  }
  while (state.KeepRunning()) {
    gate.Offer(MakeTicket(++id, 2, now), now);
    const GateChanges changes =
        gate.Finish(TicketId{running}, Outcome::kSucceeded, microseconds(1), now);
    running = static_cast<std::uint64_t>(changes.run.front().id);
  }
}
BENCHMARK(QueueAndFinish);

// One request that is refused for a full queue.
void Refuse(benchmark::State& state) {
  AdmissionGate gate(Limits(1), Classes());
  const base::TimePoint now = kStart;
  std::uint64_t id = 0;
  while (gate.waiting() < 128) {
    gate.Offer(MakeTicket(++id, 1, now), now);
  }
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(gate.Offer(MakeTicket(++id, 1, now), now));
  }
}
BENCHMARK(Refuse);

// One decision at the entry, with reports from the given number of upstreams of the service.
void AdmitAtEntry(benchmark::State& state) {
  LoadLevelMap levels(milliseconds(300), milliseconds(500));
  const std::vector<std::string> path = {"catalog-front"};
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    levels.Report(path[0], static_cast<std::uint64_t>(i),
                  AdmissionLevel(2, static_cast<std::uint32_t>(i * 10)), kStart);
  }
  std::uint64_t id = 0;
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(
        levels.Admit(path, 2, ShedKey(++id * 0x9E3779B97F4A7C15U), kStart + milliseconds(1)));
  }
}
BENCHMARK(AdmitAtEntry)->Arg(1)->Arg(24)->Arg(6400);

}  // namespace
}  // namespace borageloft::admission
