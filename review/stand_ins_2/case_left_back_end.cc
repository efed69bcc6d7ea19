// A node is killed right after it has acknowledged that its back end leaves, while the health
// answers of the back end lag behind.

#include <algorithm>
#include <map>

#include "review/stand_ins_2/deployment.h"

namespace borageloft::review {
namespace {

constexpr Milliseconds kDeadline{2000};
constexpr Milliseconds kBetweenRequests{20};
constexpr Milliseconds kStabilityWindow{3000};
constexpr std::chrono::seconds kWatched{9};

bool Run(Record& record) {
  const Bounds bounds;
  Deployment deployment(bounds, {"catalog-front", "claims-ledger", "claims-ledger"}, record);
  std::vector<Machine>& sidecars = deployment.sidecars();
  const auto handler = [](const Message&) { return Reply{200, {}, "taken", Milliseconds(20)}; };
  BackEnd catalog(deployment.BackEndOn(sidecars[0], "i-catalog-1"), record, handler);
  BackEnd leaving(deployment.BackEndOn(sidecars[1], "i-claims-1"), record, handler);
  BackEnd staying(deployment.BackEndOn(sidecars[2], "i-claims-2"), record, handler);
  const std::string text =
      ConfigurationText("r1", {"catalog-front", "claims-ledger"},
                        {{"/browse/", "catalog-front"}, {"/claim/", "claims-ledger", "unsafe"}});
  if (deployment.Put("r0", text) != 200) {
    throw CannotRun("the first configuration was refused");
  }
  deployment.WaitUntilReady();
  std::this_thread::sleep_for(std::chrono::seconds(4));

  leaving.set_health_lags(true);
  if (!leaving.Leave(std::chrono::seconds(4))) {
    throw CannotRun("the leave was not acknowledged");
  }
  const Clock::time_point acknowledged = Clock::now();
  Clock::time_point restarted = acknowledged - kStabilityWindow;
  if (!IsWithoutTrouble()) {
    deployment.Kill(sidecars[1]);
    record.Write("sidecar-2 was killed");
    std::this_thread::sleep_for(Milliseconds(300));
    deployment.Start(sidecars[1]);
    restarted = Clock::now();
  }

  std::map<std::string, Clock::time_point> sent_at;
  std::mutex mutex;
  std::vector<std::thread> clients;
  while (Clock::now() < acknowledged + kWatched) {
    const std::string id = NextRequestId();
    record.Write("client sends " + id);
    sent_at[id] = Clock::now();
    clients.emplace_back([&, id] {
      Connection connection(sidecars[0].address, Deployment::kOutboundPort);
      connection.Send(RequestText("POST", "/claim/set-1", id, kDeadline));
      const Message answer = connection.Receive(kDeadline);
      record.Write("client of " + id + ": " +
                   (answer.start_line.empty() ? "no answer" : answer.start_line));
    });
    std::this_thread::sleep_for(kBetweenRequests);
  }
  for (std::thread& client : clients) {
    client.join();
  }

  int late = 0;
  int late_in_touch = 0;
  for (const auto& [began, id] : leaving.runs()) {
    const auto sent = sent_at.find(id);
    const bool is_late = sent != sent_at.end() && sent->second > acknowledged + bounds.drain &&
                         began > acknowledged + bounds.drain;
    // Both machines are in touch again once the restarted one has run for the stability window.
    const bool is_in_touch = is_late && sent->second > restarted + kStabilityWindow;
    late += is_late ? 1 : 0;
    late_in_touch += is_in_touch ? 1 : 0;
    if (is_late) {
      const auto after = std::chrono::duration_cast<Milliseconds>(began - acknowledged).count();
      record.Write("LATE: " + id + " reached " + leaving.id() + " " + std::to_string(after) +
                   " ms after its leave was acknowledged" +
                   (is_in_touch ? ", all machines in touch" : ""));
    }
  }
  record.Write(std::to_string(late) + " requests reached the back end that had left, " +
               std::to_string(late_in_touch) + " of them with all machines in touch; " +
               std::to_string(staying.runs().size()) + " ran at the other one");
  return late_in_touch == 0;
}

}  // namespace
}  // namespace borageloft::review

int main(int argument_count, char** arguments) {
  return borageloft::review::RunCase(argument_count > 1 ? arguments[1] : "record.txt",
                                     borageloft::review::Run);
}
