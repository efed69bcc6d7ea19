#include "review/harness-3/deployment.h"

#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace review {

namespace {

constexpr const char* kProgram = "target/services/borageloftd/borageloftd";
constexpr std::uint16_t kAppPort = 28301;
constexpr std::uint16_t kReadyPort = 28302;
constexpr std::uint16_t kOutboundPort = 28304;
constexpr std::uint16_t kControlPort = 28306;
constexpr std::uint16_t kPeerPort = 27620;
constexpr std::uint16_t kMetricsPort = 27635;
constexpr int kNetworks = 200;
constexpr std::size_t kCores = 5;
constexpr std::size_t kSeeds = 3;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

bool IsFree(const Address& address) {
  const int descriptor = Listen(address);
  if (descriptor < 0) {
    return false;
  }
  close(descriptor);
  return true;
}

// Removes the sections of one kind, or keeps their contents, by their value.
std::string ResolveSections(std::string text, const std::map<std::string, std::string>& values,
                            char kind) {
  const std::string opening = std::string("{{") + kind;
  for (std::size_t begin = text.find(opening); begin != std::string::npos;
       begin = text.find(opening)) {
    const std::size_t name_end = text.find("}}", begin);
    const std::string name = text.substr(begin + 3, name_end - begin - 3);
    const std::string closing = "{{/" + name + "}}";
    const std::size_t end = text.find(closing, name_end);
    const auto value = values.find(name);
    const bool is_set = value != values.end() && value->second != "false";
    const std::string inner = text.substr(name_end + 2, end - name_end - 2);
    const bool is_kept = is_set == (kind == '#');
    text = text.substr(0, begin) + (is_kept ? inner : "") + text.substr(end + closing.size());
  }
  return text;
}

}  // namespace

std::string FillTemplate(std::string text, const std::map<std::string, std::string>& values) {
  text = ResolveSections(std::move(text), values, '#');
  text = ResolveSections(std::move(text), values, '^');
  for (std::size_t begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{")) {
    const std::size_t end = text.find("}}", begin);
    const auto value = values.find(text.substr(begin + 2, end - begin - 2));
    text.replace(begin, end + 2 - begin, value == values.end() ? "" : value->second);
  }
  return text;
}

std::string MakeConfiguration(std::uint64_t version, const std::string& routes,
                              const std::vector<std::string>& services) {
  std::string listed;
  for (const std::string& service : services) {
    listed += (listed.empty() ? "" : ",") + ("{\"name\":\"" + service) +
              "\",\"health_path\":\"/health\",\"max_conns\":600,\"protocol\":\"h1\",\"tls\":false}";
  }
  return "{\"version\":\"r" + std::to_string(version) + "\",\"services\":[" + listed +
         "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"hosts\":[{\"host\":"
         "\"shop.example\",\"paths\":[" +
         routes + "]}]}";
}

Deployment::Deployment(Record& record, std::string folder, const std::vector<std::string>& services,
                       std::size_t spares)
    : record_(record), folder_(std::move(folder)) {
  const char* const zones[] = {"zone-a", "zone-b", "zone-c"};
  for (std::size_t i = 0; i < kCores + spares; ++i) {
    Machine& machine = cores_.emplace_back();
    machine.name = "core-" + std::to_string(i + 1);
    machine.zone = zones[i % 3];
  }
  for (std::size_t i = 0; i < services.size(); ++i) {
    Machine& machine = sidecars_.emplace_back();
    machine.name = "sidecar-" + std::to_string(i + 1);
    machine.zone = "zone-a";
    machine.service = services[i];
  }
}

bool Deployment::ChooseAddresses() {
  for (int attempt = 0; attempt < kNetworks; ++attempt) {
    const std::string network =
        "127." + std::to_string(20 + (getpid() + attempt) % kNetworks) + ".";
    bool is_free = true;
    int number = 0;
    for (auto* machines : {&cores_, &sidecars_}) {
      for (Machine& machine : *machines) {
        const std::string ip = network + "1." + std::to_string(++number);
        machine.outbound = {ip, kOutboundPort};
        machine.ready = {ip, kReadyPort};
        machine.control = {ip, kControlPort};
        machine.app = {ip, kAppPort};
        for (const std::uint16_t port :
             {kAppPort, kReadyPort, kOutboundPort, kControlPort, kPeerPort, kMetricsPort}) {
          is_free = is_free && IsFree({ip, port});
        }
      }
    }
    if (is_free) {
      return true;
    }
  }
  return false;
}

void Deployment::WriteSettings(const Machine& machine, bool is_first_start) const {
  std::string seeds;
  for (std::size_t i = 0; i < kSeeds; ++i) {
    seeds += (i == 0 ? "" : ",") + cores_[i].control.Text();
  }
  const std::map<std::string, std::string> values = {
      {"node", machine.name},
      {"zone", machine.zone},
      {"listen.outbound", machine.outbound.Text()},
      {"listen.ready", machine.ready.Text()},
      {"listen.control", machine.control.Text()},
      {"ip", machine.control.ip},
      {"internal_ports.0", std::to_string(kPeerPort)},
      {"internal_ports.1", std::to_string(kMetricsPort)},
      {"app_addr", machine.app.Text()},
      {"service", machine.service},
      {"heartbeat_interval_ms", "1500"},
      {"seeds", seeds},
      {"bootstrap", is_first_start ? "true" : "false"},
      {"tolerate.machines", "2"},
      {"data_dir", folder_ + "/" + machine.name + "-disk"},
      {"bounds.grace_s", "6"},
      {"bounds.retry_budget_ratio", "0.2"},
      {"bounds.budget_window_s", "10"},
      {"bounds.budget_min_retries", "50"}};
  const bool is_core = machine.service.empty();
  std::ofstream(machine.settings_file)
      << FillTemplate(ReadFile(is_core ? "deploy/control.ini" : "deploy/node.ini"), values);
}

bool Deployment::Start() {
  if (access(kProgram, X_OK) != 0 || !ChooseAddresses()) {
    record_.Write("the program or free addresses are missing");
    return false;
  }
  for (std::size_t i = 0; i < kCores; ++i) {
    StartProcess(cores_[i], true);
  }
  for (Machine& machine : sidecars_) {
    StartProcess(machine, true);
  }
  return true;
}

void Deployment::StartProcess(Machine& machine, bool is_first_start) {
  mkdir((folder_ + "/" + machine.name + "-disk").c_str(), 0755);
  machine.settings_file = folder_ + "/" + machine.name + ".ini";
  WriteSettings(machine, is_first_start);
  machine.process = std::make_unique<Process>(
      std::vector<std::string>{kProgram, "--settings", machine.settings_file},
      folder_ + "/" + machine.name + ".log");
  machine.process->Start();
}

void Deployment::StartSpare(Machine& machine) {
  StartProcess(machine, false);
  record_.Write(machine.name + " starts with an empty disk");
}

void Deployment::Remove(Machine& machine) {
  machine.process.reset();
  record_.Write(machine.name + " is removed for good");
}

void Deployment::LoseDisk(Machine& machine) {
  machine.process->Kill();
  std::filesystem::remove_all(folder_ + "/" + machine.name + "-disk");
  record_.Write(machine.name + " is killed and loses its disk");
}

void Deployment::StartAgain(Machine& machine) {
  StartProcess(machine, false);
  record_.Write(machine.name + " starts again with an empty disk");
}

Machine* Deployment::FindLeader() {
  for (Machine& machine : cores_) {
    if (machine.process == nullptr || !machine.process->IsRunning()) {
      continue;
    }
    const auto answer = Call(
        machine.control,
        RequestBytes("POST", "/borageloft/rpc?call=config.get", machine.control.Text(), {}, "{}"),
        milliseconds(300));
    if (answer && answer->status == 200) {
      return &machine;
    }
  }
  return nullptr;
}

std::string Deployment::Read(milliseconds limit) {
  const Clock::time_point end = Clock::now() + limit;
  std::map<int, int> statuses;
  while (Clock::now() < end) {
    for (const Machine& machine : cores_) {
      if (machine.process == nullptr) {
        continue;
      }
      const auto answer = Call(
          machine.control,
          RequestBytes("POST", "/borageloft/rpc?call=config.get", machine.control.Text(), {}, "{}"),
          milliseconds(1000));
      ++statuses[answer ? answer->status : 0];
      if (answer && answer->status == 200) {
        return answer->body;
      }
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  for (const auto& [status, count] : statuses) {
    record_.Write("reads of the configuration answered " + std::to_string(status) + ": " +
                  std::to_string(count));
  }
  return "";
}

int Deployment::Put(std::uint64_t base, const std::string& text, milliseconds limit) {
  const Clock::time_point end = Clock::now() + limit;
  Address target = cores_[0].control;
  for (std::size_t attempt = 1; Clock::now() < end; ++attempt) {
    const std::string bytes = RequestBytes(
        "POST", "/borageloft/rpc?call=config.put", target.Text(),
        {{"Content-Type", "application/json"}, {"If-Match", "r" + std::to_string(base)}}, text);
    const auto answer = Call(target, bytes, milliseconds(1000));
    if (answer && answer->status == 307) {
      const std::string location = answer->Field("location");
      const std::size_t host = location.find("//") + 2;
      const std::size_t colon = location.find(':', host);
      target.ip = location.substr(host, colon - host);
      continue;
    }
    if (answer && answer->status != 408 && answer->status != 429 && answer->status < 500) {
      record_.Write("operator's configuration on r" + std::to_string(base) + " is answered " +
                    std::to_string(answer->status));
      return answer->status;
    }
    std::this_thread::sleep_for(milliseconds(100));
    target = cores_[attempt % kCores].control;
  }
  return 0;
}

bool Deployment::WaitReady(milliseconds limit) const {
  const Clock::time_point end = Clock::now() + limit;
  for (const Machine& machine : sidecars_) {
    while (true) {
      const auto answer = Call(
          machine.ready, RequestBytes("GET", "/borageloft/ready", machine.ready.Text(), {}, ""),
          milliseconds(500));
      if (answer && answer->status == 200) {
        break;
      }
      if (Clock::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
  }
  return true;
}

void Deployment::Restart(Machine& machine, milliseconds pause) {
  machine.process->Kill();
  record_.Write("process of " + machine.name + " is killed");
  WriteSettings(machine, false);
  std::this_thread::sleep_for(pause);
  machine.process->Start();
  record_.Write("process of " + machine.name + " is started again");
}

std::vector<std::string> Deployment::Ended() {
  std::vector<std::string> ended;
  for (auto* machines : {&cores_, &sidecars_}) {
    for (Machine& machine : *machines) {
      if (machine.process != nullptr && !machine.process->IsRunning()) {
        ended.push_back(machine.name);
      }
    }
  }
  return ended;
}

}  // namespace review
