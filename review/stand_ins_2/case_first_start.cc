// One of the five core machines, not a seed, goes dark as the system starts for the first time.

#include "review/stand_ins_2/deployment.h"

namespace borageloft::review {
namespace {

constexpr Milliseconds kDeadline{2000};
// Ten times ack_ms, from the moment at which the core has been stable for the stability window.
constexpr Milliseconds kOperatorLimit{43000};

bool Run(Record& record) {
  Deployment deployment({}, {"catalog-front"}, record);
  if (!IsWithoutTrouble()) {
    deployment.Kill(deployment.core().back());
    record.Write("core-5 goes dark; the other four core machines run and are connected");
  }
  const Machine& sidecar = deployment.sidecars().front();
  BackEnd catalog(deployment.BackEndOn(sidecar, "i-catalog-1"), record, [](const Message&) {
    return Reply{200, {}, "page", Milliseconds(20)};
  });
  const std::string text = ConfigurationText("r1", {"catalog-front"}, {{"/b/", "catalog-front"}});
  const int status = deployment.Put("r0", text, kOperatorLimit);
  record.Write(status == 200 ? "the first configuration was acknowledged"
                             : "the first configuration was never acknowledged");
  std::this_thread::sleep_for(std::chrono::seconds(3));
  record.Write(std::string("the node beside the back end is ") +
               (deployment.IsReady(sidecar) ? "ready" : "not ready"));
  const std::string id = NextRequestId();
  record.Write("client sends " + id);
  Connection connection(sidecar.address, Deployment::kOutboundPort);
  connection.Send(RequestText("GET", "/b/1", id, kDeadline));
  record.Write("client of " + id + ": " + connection.Receive(kDeadline).start_line);
  return status == 200;
}

}  // namespace
}  // namespace borageloft::review

int main(int argument_count, char** arguments) {
  return borageloft::review::RunCase(argument_count > 1 ? arguments[1] : "record.txt",
                                     borageloft::review::Run);
}
