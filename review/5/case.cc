// A backend leaves, the node beside it is killed and started again, and a heartbeat that the
// backend sent before the leave arrives some seconds late.

#include "review/stand_ins/case.h"

#include <algorithm>
#include <map>

#include "review/stand_ins/backend.h"

namespace borageloft::review {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDrain{2000};
constexpr milliseconds kLate{4500};
// The leaving backend serves for drain_ms and some seconds more, then it exits.
constexpr milliseconds kServesOn{8500};
constexpr milliseconds kWork{500};
// Between two requests of the clients on a machine.
constexpr milliseconds kRequestInterval{100};
// The clients pause around the leave, so that no request is at work at the backend.
constexpr milliseconds kPause{1500};

// A killed process is started again after a short delay.
constexpr milliseconds kRestartDelay{500};
// stability_window_ms: the machine is in touch again after this time.
constexpr milliseconds kStability{3000};

Verdict RunRestart(const CaseInput& input) {
  asio::io_context context{1};
  Runs runs;
  Deployment deployment(context, input.record, {"alpha", "alpha"});
  std::vector<std::unique_ptr<Backend>> backends;
  deployment.StartAll();
  for (const auto& machine : deployment.nodes()) {
    backends.push_back(
        std::make_unique<Backend>(context, deployment, *machine, input.record, runs, kWork));
  }
  if (deployment.Put(0, MakeConfiguration(1, "alpha", milliseconds(2000)), milliseconds(20000)) !=
      200) {
    throw CannotRun("the first configuration was not acknowledged");
  }
  deployment.RunFor(milliseconds(6000));

  std::map<std::string, int> answers;
  int sent = 0;
  const auto send_until = [&](std::chrono::steady_clock::time_point until) {
    while (Clock::now() < until) {
      for (const auto& machine : deployment.nodes()) {
        Message request;
        const std::string id = "q" + std::to_string(++sent);
        request.method = "POST";
        request.target = "/once/" + id;
        request.fields = {{"Host", "shop.example"},
                          {"X-Borageloft-Request-Id", id},
                          {"X-Borageloft-Deadline-Ms", "3000"}};
        input.record.Write("request " + id + " is sent to " + machine->name());
        Send(context, machine->At(deployment.ports().outbound), request, milliseconds(3500),
             [&answers, &input, id](const std::optional<Message>& answer) {
               answers[id] = answer ? answer->status : 0;
               input.record.Write("request " + id + " is answered: status " +
                                  std::to_string(answers[id]));
             });
      }
      deployment.RunFor(kRequestInterval);
    }
  };
  send_until(Clock::now() + milliseconds(2000));
  deployment.RunFor(kPause);
  Backend& leaving = *backends.front();
  leaving.Beat(input.has_trouble ? kLate : milliseconds(0));
  deployment.RunFor(milliseconds(50));
  leaving.Leave();
  if (!deployment.RunUntil(
          [&] { return leaving.leave_acknowledged() != std::chrono::steady_clock::time_point{}; },
          milliseconds(3000))) {
    throw CannotRun("the leave was not acknowledged");
  }
  const auto acknowledged = leaving.leave_acknowledged();
  const std::string left = leaving.id();
  Machine& machine = *deployment.nodes().front();
  if (input.has_trouble) {
    deployment.RunFor(milliseconds(100));
    machine.Kill();
    input.record.Write("process of " + machine.name() + " is killed");
    deployment.RunFor(kRestartDelay);
    deployment.Start(machine);
  }
  const auto in_touch = Clock::now() + kStability;
  deployment.RunFor(kPause);
  send_until(acknowledged + kServesOn);
  backends.front().reset();
  input.record.Write("backend " + left + " exits");
  deployment.RunFor(milliseconds(4000));

  int late = 0;
  int lost = 0;
  for (const auto& [id, run] : runs) {
    const bool is_late = run.backend == left && run.reached > acknowledged + kDrain &&
                         run.reached > in_touch + kDrain / 4;
    late += is_late ? 1 : 0;
    lost += is_late && !run.has_ended ? 1 : 0;
  }
  input.record.Write(
      std::to_string(late) + " requests reached " + left +
      " later than drain_ms after the acknowledgement, with all machines in touch; " +
      std::to_string(lost) + " of them were at work when it exited");
  const int served = static_cast<int>(std::count_if(
      answers.begin(), answers.end(), [](const auto& answer) { return answer.second == 200; }));
  if (served < sent / 2) {
    throw CannotRun("only " + std::to_string(served) + " requests were served");
  }
  return late > 0 ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace
}  // namespace borageloft::review

int main(int argument_count, char** arguments) {
  return borageloft::review::RunCase(argument_count, arguments, borageloft::review::RunRestart);
}
