// A control machine rejoins with an empty disk while most of the other control processes are
// killed. Some time later, as many machines as the deployment tolerates lose their disks.

#include "review/stand_ins/case.h"

namespace borageloft::review {
namespace {

using std::chrono::milliseconds;

// The machine that lost its disk counts as lost for catch_up_s (4 s) after it is back; recover_s is
// 15 s.
constexpr milliseconds kRest{20000};
// The killed processes are back within a second.
constexpr milliseconds kDown{700};

Verdict Run(const CaseInput& input) {
  asio::io_context context{1};
  Deployment deployment(context, input.record, {});
  deployment.StartAll();
  std::uint64_t version = 1;
  const auto change = [&](milliseconds limit) {
    const int status =
        deployment.Put(version, MakeConfiguration(version + 2, "alpha", milliseconds(1000)), limit);
    version += status == 200 ? 2 : 0;
    return status;
  };
  if (deployment.Put(0, MakeConfiguration(1, "alpha", milliseconds(1000)), milliseconds(20000)) !=
      200) {
    throw CannotRun("the first configuration was not acknowledged");
  }
  deployment.RunFor(milliseconds(3000));
  Machine* leader = deployment.FindLeader(milliseconds(5000));
  if (leader == nullptr || change(milliseconds(5000)) != 200) {
    throw CannotRun("the control machines do not work before the disruption");
  }
  std::vector<Machine*> others;
  for (const auto& machine : deployment.controls()) {
    if (machine.get() != leader) {
      others.push_back(machine.get());
    }
  }
  // The last machine is no seed, unless it leads.
  Machine& returning = *others.back();
  others.pop_back();
  returning.Kill();
  input.record.Write("process of " + returning.name() + " is killed");
  deployment.LoseDisk(returning);
  deployment.RunFor(milliseconds(1000));
  if (input.has_trouble) {
    for (Machine* machine : others) {
      machine->Kill();
      input.record.Write("process of " + machine->name() + " is killed");
    }
  }
  deployment.Start(returning);
  deployment.RunFor(kDown);
  if (input.has_trouble) {
    for (Machine* machine : others) {
      deployment.Start(*machine);
    }
  }
  deployment.RunFor(kRest);
  if (change(milliseconds(15000)) != 200) {
    throw CannotRun("no change was acknowledged after all processes were back");
  }
  // The machine that returned and the leader keep their disks.
  for (std::size_t i = 0; i < 2; ++i) {
    others[i]->Kill();
    input.record.Write("process of " + others[i]->name() + " is killed");
    deployment.LoseDisk(*others[i]);
  }
  deployment.RunFor(milliseconds(1000));
  for (std::size_t i = 0; i < 2; ++i) {
    deployment.Start(*others[i]);
  }
  deployment.RunFor(kRest);
  const std::string read = deployment.Get(milliseconds(20000));
  const std::string expected = "{\"version\":\"r" + std::to_string(version) + "\"";
  return read.starts_with(expected) ? Verdict::kHeld : Verdict::kBroken;
}

}  // namespace
}  // namespace borageloft::review

int main(int argument_count, char** arguments) {
  return borageloft::review::RunCase(argument_count, arguments, borageloft::review::Run);
}
