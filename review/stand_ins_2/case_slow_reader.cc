// A planned stop of one sidecar machine while its clients read long answers slowly.

#include <signal.h>

#include <atomic>

#include "review/stand_ins_2/deployment.h"

namespace borageloft::review {
namespace {

constexpr Milliseconds kDeadline{6000};
constexpr std::size_t kAnswerBytes = 1'300'000;
constexpr std::size_t kReadBytesPerSecond = 230'000;
constexpr int kReceiveBufferBytes = 32 * 1024;
constexpr Milliseconds kBetweenRequests{250};
constexpr Milliseconds kBetweenQuestions{1000};

bool Run(Record& record) {
  const Bounds bounds;
  Deployment deployment(bounds, {"painel", "archivo", "liberacao"}, record);
  std::vector<Machine>& sidecars = deployment.sidecars();
  Machine& stopped = sidecars[0];
  const auto answer_at_length = [](const Message&) {
    return Reply{200, {}, std::string(kAnswerBytes, 'a'), Milliseconds(20)};
  };
  BackEnd panel(deployment.BackEndOn(stopped, "i-painel-1"), record,
                [](const Message&) { return Reply{}; });
  BackEnd archive(deployment.BackEndOn(sidecars[1], "i-archivo-1"), record, answer_at_length);
  BackEnd releases(deployment.BackEndOn(sidecars[2], "i-liberacao-1"), record, answer_at_length);
  const std::string text = ConfigurationText("r1", {"painel", "archivo", "liberacao"},
                                             {{"/history/", "archivo", "safe", kDeadline},
                                              {"/release/", "liberacao", "unsafe", kDeadline}});
  if (deployment.Put("r0", text) != 200) {
    throw CannotRun("the first configuration was refused");
  }
  deployment.WaitUntilReady();
  std::this_thread::sleep_for(std::chrono::seconds(4));

  std::atomic<int> whole{0};
  std::atomic<int> cut{0};
  const auto send = [&](bool is_release) {
    const std::string id = NextRequestId();
    const Clock::time_point sent = Clock::now();
    Connection connection(stopped.address, Deployment::kOutboundPort, kReceiveBufferBytes);
    record.Write("client sends " + id);
    connection.Send(is_release ? RequestText("POST", "/release/lot-1", id, kDeadline)
                               : RequestText("GET", "/history/charge-1", id, kDeadline));
    const Message answer = connection.Receive(kDeadline, kReadBytesPerSecond);
    const auto took = std::chrono::duration_cast<Milliseconds>(Clock::now() - sent);
    const bool is_lost =
        !answer.is_complete && took < kDeadline && archive.RunsOf(id) + releases.RunsOf(id) > 0;
    record.Write("client of " + id + ": " +
                 (answer.start_line.empty() ? "no answer" : answer.start_line) + ", " +
                 std::to_string(answer.body.size()) + " bytes, " +
                 (answer.is_complete ? "whole" : "not whole") + ", after " +
                 std::to_string(took.count()) + " ms" + (is_lost ? ", LOST" : ""));
    ++(is_lost ? cut : whole);
  };

  // The platform asks once a second; after two misses the clients send nothing more.
  if (!deployment.IsReady(stopped)) {
    throw CannotRun("the machine to be stopped is not ready");
  }
  std::this_thread::sleep_for(Milliseconds(50));
  if (!IsWithoutTrouble()) {
    deployment.Signal(stopped, SIGTERM);
  }
  const Clock::time_point stop = Clock::now();
  Clock::time_point next_question = stop + kBetweenQuestions - Milliseconds(50);
  int misses = 0;
  std::vector<std::thread> clients;
  while (misses < 2 && Clock::now() < stop + std::chrono::seconds(3)) {
    clients.emplace_back(send, /*is_release=*/true);
    clients.emplace_back(send, /*is_release=*/false);
    std::this_thread::sleep_for(kBetweenRequests);
    if (Clock::now() >= next_question) {
      next_question += kBetweenQuestions;
      misses = deployment.IsReady(stopped) ? 0 : misses + 1;
      record.Write("the platform asks for readiness, misses in a row: " + std::to_string(misses));
    }
  }
  const Clock::time_point grace_end = stop + bounds.grace;
  while (deployment.IsRunning(stopped) && Clock::now() < grace_end) {
    std::this_thread::sleep_for(Milliseconds(10));
  }
  if (!IsWithoutTrouble()) {
    deployment.Kill(stopped);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  record.Write(std::to_string(whole) + " answers whole or excused, " + std::to_string(cut) +
               " lost");
  return cut == 0;
}

}  // namespace
}  // namespace borageloft::review

int main(int argument_count, char** arguments) {
  return borageloft::review::RunCase(argument_count > 1 ? arguments[1] : "record.txt",
                                     borageloft::review::Run);
}
