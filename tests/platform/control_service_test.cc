#include <gtest/gtest.h>

#include "libraries/mesh/mesh.h"
#include "libraries/storage/storage.h"
#include "platform/platform_dialect.h"
#include "tests/storage/faulty_file_system.h"

namespace borageloft::platform {
namespace {

// Guards against a message that is for nodes and ends a control host: such a message of another
// control host, itself included, was taken for records.
TEST(ControlServiceTest, BearsEveryKindOfMessage) {
  base::ReplaceLogSink([](std::string_view) {});
  const base::Clock clock = [] { return base::TimePoint(std::chrono::seconds(1000)); };
  storage::FaultyFileSystem disk(1);
  const storage::FileSystem file_system = disk.Hooks();
  const storage::DataFolder folder(file_system, "/data");
  timer::TimerService timers(clock);
  const std::string other = "10.0.0.2:7620";
  const mesh::MeshSettings settings = mesh::ParseMeshSettings(
      "[mesh]\nname = c\nzone = z\nrole = control\n[listen]\ncalls = 10.0.0.1:8306\n"
      "peers = 10.0.0.1:7620\n[control]\nseeds = 10.0.0.1:8306, 10.0.0.2:8306\nfirst_start = yes\n"
      "data_folder = /data\n",
      "test");
  mesh::ControlServiceHooks hooks;
  hooks.clock = clock;
  hooks.suspension_aware_clock = clock;
  hooks.random = base::SeededRandom(1);
  hooks.send = [](const std::string&, wire::Channel, const std::string&) {};
  mesh::ControlService service(settings, MakePlatformDialect(), std::move(hooks), folder, timers);
  service.Start();
  directory::QuotaRequest quota_request;
  quota_request.node = other;
  const std::vector<directory::Message> messages = {directory::SyncRequest{},
                                                    directory::SyncAnswer{},
                                                    directory::DepartureRequest{},
                                                    directory::DepartureAnswer{},
                                                    directory::FreshnessRequest{},
                                                    directory::FreshnessAnswer{},
                                                    quota_request,
                                                    directory::QuotaAnswer{}};
  for (const std::string& from : {other, std::string("10.0.0.9:7620")}) {
    for (const directory::Message& message : messages) {
      EXPECT_NO_THROW(
          service.HandleControl(from, wire::Channel::kMembership, directory::Encode(message)))
          << message.index();
    }
  }
  base::ReplaceLogSink({});
}

}  // namespace
}  // namespace borageloft::platform
