// A configuration takes the key of the last tenant away.

#include "review/stand_ins_2/deployment.h"

namespace borageloft::review {
namespace {

constexpr Milliseconds kDeadline{2000};
constexpr int kRequests = 20;

bool Run(Record& record) {
  Bounds bounds;
  bounds.revoke = Milliseconds(5000);
  Deployment deployment(bounds, {"catalog-front", "claims-ledger"}, record);
  std::vector<Machine>& sidecars = deployment.sidecars();
  const auto handler = [&record](const Message& request) {
    record.Write(request.Find("X-Borageloft-Request-Id").value_or("") + " came for the tenant '" +
                 request.Find("X-Borageloft-Tenant").value_or("") + "'");
    return Reply{200, {}, "taken", Milliseconds(5)};
  };
  BackEnd catalog(deployment.BackEndOn(sidecars[0], "i-catalog-1"), record, handler);
  BackEnd claims(deployment.BackEndOn(sidecars[1], "i-claims-1"), record, handler);
  const std::vector<std::string> services = {"catalog-front", "claims-ledger"};
  const std::vector<RouteText> routes = {{"/browse/", "catalog-front"},
                                         {"/claim/", "claims-ledger", "unsafe"}};
  const char* kWithKey = R"([{"name":"swap-meet","api_keys":["key-1"],"rate_per_s":0,"burst":0}])";
  const char* kOther = R"([{"name":"resellers","api_keys":["key-2"],"rate_per_s":0,"burst":0}])";
  if (deployment.Put("r0", ConfigurationText("r1", services, routes, kWithKey)) != 200) {
    throw CannotRun("the first configuration was refused");
  }
  deployment.WaitUntilReady();
  std::this_thread::sleep_for(std::chrono::seconds(4));

  int ran = 0;
  const auto claim = [&](const std::string& key) {
    const std::string id = NextRequestId();
    record.Write("client sends " + id + " with " + key);
    Connection connection(sidecars[0].address, Deployment::kOutboundPort);
    connection.Send(
        RequestText("POST", "/claim/set-1", id, kDeadline, {{"X-Borageloft-Key", key}}));
    const Message answer = connection.Receive(kDeadline);
    record.Write("client with " + key + " of " + id + ": " + answer.start_line);
    ran += claims.RunsOf(id);
  };
  claim("key-1");
  if (ran == 0) {
    throw CannotRun("a request with a key that is held was not run");
  }
  ran = 0;
  claim("key-9");
  if (ran > 0) {
    record.Write("a request ran whose key no configuration ever held");
    return false;
  }
  // Without the trouble, another tenant is left when the key is taken away.
  const std::string next =
      ConfigurationText("r2", services, routes, IsWithoutTrouble() ? kOther : "[]");
  if (deployment.Put("r1", next) != 200) {
    throw CannotRun("the second configuration was refused");
  }
  std::this_thread::sleep_for(*bounds.revoke + std::chrono::seconds(1));
  for (int i = 0; i < kRequests; ++i) {
    claim("key-1");
    std::this_thread::sleep_for(Milliseconds(50));
  }
  const int ran_with_taken_key = ran;
  claim("key-9");
  record.Write(std::to_string(ran - ran_with_taken_key) +
               " request ran with a key that no configuration ever held");
  record.Write(std::to_string(ran_with_taken_key) +
               " requests ran with a key that was taken away over " +
               std::to_string(bounds.revoke->count()) + " ms before");
  return ran == 0;
}

}  // namespace
}  // namespace borageloft::review

int main(int argument_count, char** arguments) {
  return borageloft::review::RunCase(argument_count > 1 ? arguments[1] : "record.txt",
                                     borageloft::review::Run);
}
