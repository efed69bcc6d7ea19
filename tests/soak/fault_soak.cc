// Runs real processes of the system on loopback addresses, injects faults from outside them by a
// seed, and checks what callers, back ends and the operator see.

#include <fmt/format.h>
#include <signal.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <filesystem>
#include <fstream>

#include "tests/soak/loopback_proxy.h"
#include "tests/soak/soak_client.h"
#include "tests/soak/soak_process.h"
#include "tests/soak/stand_in_upstream.h"

namespace borageloft::soak {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr int kControlHosts = 5;
constexpr int kNodes = 6;
constexpr std::uint16_t kCallers = 18304;
constexpr std::uint16_t kReadiness = 18302;
constexpr std::uint16_t kCalls = 18306;
constexpr std::uint16_t kPeers = 17620;
constexpr std::uint16_t kUpstream = 18301;
constexpr std::uint16_t kUpstreamProxy = 18401;
constexpr std::size_t kLeastServed = 20;

tcp::endpoint At(const std::string& address, std::uint16_t port) {
  return {asio::ip::make_address(address), port};
}

/** One host of the deployment: its process and, beside a node, its back end behind a proxy. */
struct Host {
  std::string address;
  std::string data_folder;  // Of control hosts only.
  std::unique_ptr<SoakProcess> process;
  std::unique_ptr<StandInUpstream> upstream;
  std::unique_ptr<LoopbackProxy> proxy;
  base::TimePoint restart_at{};
};

class FaultSoak {
 public:
  /** @param network Second part of the loopback addresses, so that several soaks run at once. */
  FaultSoak(std::string program, std::uint64_t seed, const std::string& folder, int network)
      : program_(std::move(program)),
        folder_(folder),
        network_(network),
        random_(base::SeededRandom(seed)),
        need_random_(base::SeededRandom(~seed)) {}

  int Run(std::chrono::seconds length) {
    std::filesystem::create_directories(folder_);
    for (int i = 0; i < kControlHosts + kNodes; ++i) {
      AddHost(i);
    }
    if (!WaitForFirstDeclaration()) {
      Report("the first declaration was not acknowledged within 30 s");
      return 1;
    }
    RunFor(milliseconds(3000));
    const base::TimePoint end = Now() + length;
    while (Now() < end) {
      for (int i = 0; i < 6; ++i) {
        SendRequest();
      }
      if (base::DrawBelow(random_, 25) == 0) {
        InjectFault();
      }
      if (base::DrawBelow(need_random_, 80) == 0) {
        InjectNeed();
      }
      if (base::DrawBelow(random_, 40) == 0) {
        OrderDeclaration();
      }
      RunFor(milliseconds(20));
      Restart();
    }
    Heal();
    RunFor(milliseconds(6000));
    const std::size_t served_before = served_;
    for (int i = 0; i < 200; ++i) {
      SendRequest();
      RunFor(milliseconds(10));
    }
    RunFor(milliseconds(3000));
    CheckEnd(served_ - served_before);
    fmt::print("served {} refused {} failed {} faults {} declarations {} problems {}\n", served_,
               refused_, failed_, faults_, acknowledged_, problems_);
    return problems_ == 0 ? 0 : 1;
  }

 private:
  static base::TimePoint Now() { return base::SystemClock()(); }

  void Report(const std::string& problem) {
    ++problems_;
    fmt::print("PROBLEM: {}\n", problem);
  }

  void AddHost(int index) {
    auto host = std::make_unique<Host>();
    const bool is_control = index < kControlHosts;
    host->address = fmt::format("127.{}.0.{}", network_, index + 1);
    const std::string name = fmt::format("h{}", index + 1);
    std::string text = fmt::format("[mesh]\nname = {}\nzone = z{}\nrole = {}\n", name, index % 3,
                                   is_control ? "control" : "node");
    text +=
        fmt::format("[listen]\ncalls = {0}:{1}\npeers = {0}:{2}\n", host->address, kCalls, kPeers);
    const std::string service = index % 2 == 0 ? "even" : "odd";
    if (is_control) {
      host->data_folder = folder_ + "/" + name;
    } else {
      text += fmt::format("callers = {0}:{1}\nreadiness = {0}:{2}\n", host->address, kCallers,
                          kReadiness);
      text += fmt::format("[upstream]\naddress = {}:{}\nservice = {}\nheartbeat_interval = 300ms\n",
                          host->address, kUpstreamProxy, service);
    }
    text += fmt::format(
        "[control]\nseeds = 127.{1}.0.1:{0}, 127.{1}.0.2:{0}, 127.{1}.0.3:{0}\n"
        "tolerated_losses = 2\nfirst_start = yes\n",
        kCalls, network_);
    if (is_control) {
      text += "data_folder = " + host->data_folder + "\n";
    }
    const std::string file = folder_ + "/" + name + ".ini";
    std::ofstream(file) << text;
    host->process = std::make_unique<SoakProcess>(program_, file, folder_ + "/" + name + ".log");
    host->process->Start();
    if (!is_control) {
      host->proxy = std::make_unique<LoopbackProxy>(context_, At(host->address, kUpstreamProxy),
                                                    At(host->address, kUpstream));
      host->upstream = std::make_unique<StandInUpstream>(
          context_, settings::Endpoint{host->address, kUpstream}, At(host->address, kCalls),
          service, base::SeededRandom(random_()), record_);
    }
    hosts_.push_back(std::move(host));
  }

  void RunFor(milliseconds time) {
    context_.restart();
    context_.run_for(time);
  }

  std::string Configuration(std::uint64_t version) {
    // The route of the counter moves with each version, so that an old one can be told.
    return fmt::format(
        R"({{"version":"r{}","services":[{{"name":"even"}},{{"name":"odd"}}],"limits":{{}},)"
        R"("hosts":[{{"host":"soak.example","paths":[)"
        R"({{"name":"safe","path_prefix":"/safe/","kind":"safe","timeout_ms":1500,)"
        R"("target_latency_ms":500,"priority":1,"service":"even","attempts":2}},)"
        R"({{"name":"once","path_prefix":"/once/","kind":"unsafe","timeout_ms":1500,)"
        R"("target_latency_ms":500,"priority":0,"service":"odd","attempts":2}}]}}]}})",
        version);
  }

  void Put(std::uint64_t base, std::uint64_t version, const std::string& text,
           const std::string& address, int hops) {
    http_stream::RequestMessage request;
    request.method = "POST";
    request.target = "/borageloft/rpc?call=config.put";
    request.fields = {{"Host", "control"}, {"If-Match", fmt::format("r{}", base)}};
    request.body = text;
    SendOnce(
        context_, At(address, kCalls), request, milliseconds(2000),
        [this, base, version, text,
         hops](const std::optional<http_stream::ResponseMessage>& answer) {
          if (answer && answer->status == 307 && hops > 0) {
            const std::string* to = http_stream::FindField(answer->fields, "Location");
            const std::size_t begin = to->find("//") + 2;
            Put(base, version, text, to->substr(begin, to->find(':', begin) - begin), hops - 1);
            return;
          }
          is_ordering_ = false;
          if (answer && answer->status == 200) {
            acknowledged_ = std::max(acknowledged_, version);
          } else if (answer && answer->status >= 400 && answer->status < 500 && !has_unclear_) {
            Report(
                fmt::format("order r{} on r{} was refused with {}", version, base, answer->status));
          } else {
            has_unclear_ = true;  // The next order repeats this one.
          }
        });
  }

  void OrderDeclaration() {
    if (is_ordering_) {
      return;
    }
    is_ordering_ = true;
    // An order without a clear answer is sent again unchanged until it has one.
    if (!has_unclear_ || ordered_ <= acknowledged_) {
      has_unclear_ = false;
      ordered_base_ = acknowledged_;
      ordered_ = acknowledged_ + 1 + base::DrawBelow(random_, 3);
    }
    const auto& host = hosts_[base::DrawBelow(random_, kControlHosts)];
    Put(ordered_base_, ordered_, Configuration(ordered_), host->address, 2);
  }

  bool WaitForFirstDeclaration() {
    const base::TimePoint end = Now() + std::chrono::seconds(30);
    while (acknowledged_ == 0 && Now() < end) {
      OrderDeclaration();
      RunFor(milliseconds(200));
    }
    return acknowledged_ > 0;
  }

  void SendRequest() {
    const auto& host = hosts_[kControlHosts + base::DrawBelow(random_, kNodes)];
    const bool is_once = base::DrawBelow(random_, 2) == 0;
    const std::string id = fmt::format("r{}", ++requests_);
    http_stream::RequestMessage request;
    request.method = is_once ? "POST" : "GET";
    request.target = (is_once ? "/once/" : "/safe/") + id;
    request.fields = {{"Host", "soak.example"},
                      {"X-Borageloft-Request-Id", id},
                      {"X-Borageloft-Deadline-Ms", "2000"}};
    if (is_once) {
      once_.push_back(id);
    }
    // Some callers leave early.
    const auto limit = milliseconds(base::DrawBelow(random_, 20) == 0 ? 15 : 2500);
    SendOnce(context_, At(host->address, kCallers), request, limit,
             [this, id, is_once](const std::optional<http_stream::ResponseMessage>& answer) {
               CheckAnswer(id, is_once, answer);
             });
  }

  void CheckAnswer(const std::string& id, bool is_once,
                   const std::optional<http_stream::ResponseMessage>& answer) {
    if (!answer) {
      ++failed_;
      return;
    }
    if (answer->status == 200) {
      ++served_;
      const std::string* seal =
          http_stream::FindField(answer->fields, "X-Borageloft-Response-Seal");
      if (answer->body != "answer to " + id || seal == nullptr) {
        Report("request " + id + " got another answer: " + answer->body);
      }
    } else if (answer->status == 503) {
      ++refused_;
      if (is_once) {
        promised_.push_back(id);
      }
    } else {
      ++failed_;
      if (answer->status < 500) {
        Report(fmt::format("request {} got {}", id, answer->status));
      }
    }
  }

  void InjectFault() {
    ++faults_;
    const std::size_t kind = base::DrawBelow(random_, 9);
    Host& node = *hosts_[kControlHosts + base::DrawBelow(random_, kNodes)];
    Host& control = *hosts_[base::DrawBelow(random_, kControlHosts)];
    const auto later = Now() + milliseconds(200 + base::DrawBelow(random_, 2500));
    switch (kind) {
      case 0:
        End(node, SIGKILL, later);
        break;
      case 1:
        End(node, SIGTERM, later);
        break;
      case 2:
        End(control, SIGKILL, later);
        break;
      case 3:
        for (int i = 0; i < kControlHosts; ++i) {
          End(*hosts_[i], SIGKILL, Now() + milliseconds(base::DrawBelow(random_, 500)));
        }
        break;
      case 4:
        Pause(base::DrawBelow(random_, 2) == 0 ? node : control);
        break;
      case 5:
        node.proxy->ResetConnections();
        break;
      case 6:
        SetLinkFault(node);
        break;
      case 7:
        node.upstream->Restart();
        break;
      default:
        node.upstream->Drain();
        RestartUpstreamLater(node);
        break;
    }
  }

  // An upstream in need says so in its answers only.
  void InjectNeed() {
    Host& node = *hosts_[kControlHosts + base::DrawBelow(need_random_, kNodes)];
    if (base::DrawBelow(need_random_, 3) > 0) {
      node.upstream->NameRate(2 + static_cast<double>(base::DrawBelow(need_random_, 10)),
                              milliseconds(12'000));
    } else {
      node.upstream->LeaveInAnswers();
      After(milliseconds(8000), [&node] { node.upstream->Restart(); });
    }
  }

  void End(Host& host, int signal, base::TimePoint restart_at) {
    if (!host.process->IsRunning()) {
      return;
    }
    host.process->ExpectEnd();
    if (signal == SIGKILL) {
      host.process->Kill();
    } else {
      host.process->Signal(signal);
    }
    host.restart_at = restart_at;
  }

  void Pause(Host& host) {
    host.process->Signal(SIGSTOP);
    After(milliseconds(300 + base::DrawBelow(random_, 2500)),
          [&host] { host.process->Signal(SIGCONT); });
  }

  void SetLinkFault(Host& host) {
    constexpr LinkFault kFaults[] = {LinkFault::kDelay, LinkFault::kCutAnswers,
                                     LinkFault::kSilence};
    host.proxy->SetFault(kFaults[base::DrawBelow(random_, 3)]);
    After(milliseconds(300 + base::DrawBelow(random_, 2000)), [&host] {
      host.proxy->SetFault(LinkFault::kNone);
      host.proxy->ResetConnections();
    });
  }

  void RestartUpstreamLater(Host& host) {
    After(milliseconds(3500), [&host] { host.upstream->Restart(); });
  }

  void After(milliseconds time, std::function<void()> action) {
    const auto timer = std::make_shared<asio::steady_timer>(context_, time);
    timer->async_wait([timer, action = std::move(action)](const asio::error_code& error) {
      if (!error) {
        action();
      }
    });
  }

  void Restart() {
    for (const auto& host : hosts_) {
      if (!host->process->IsRunning() && Now() >= host->restart_at) {
        host->process->Start();
        if (host->upstream) {
          host->upstream->NoteNodeStart();
        }
      }
    }
  }

  void Heal() {
    // Longer than any fault lasts.
    for (int i = 0; i < 250; ++i) {
      RunFor(milliseconds(20));
      Restart();
    }
    for (const auto& host : hosts_) {
      if (host->upstream) {
        host->upstream->Restart();
      }
    }
  }

  void CheckEnd(std::size_t served_at_end) {
    for (const std::string& id : once_) {
      if (const auto runs = record_.runs.find(id); runs != record_.runs.end() && runs->second > 1) {
        Report(fmt::format("request {} ran {} times", id, runs->second));
      }
    }
    for (const std::string& id : promised_) {
      if (record_.runs.contains(id)) {
        Report("request " + id + " was refused as not run, but ran");
      }
    }
    if (record_.late_after_leave > 0) {
      Report(fmt::format("{} requests reached a leaving back end late", record_.late_after_leave));
    }
    if (record_.late_after_told > 0) {
      Report(fmt::format("{} requests reached a back end long after it said that it leaves",
                         record_.late_after_told));
    }
    if (record_.beyond_rate > 0) {
      Report(fmt::format("{} requests were beyond the rate that a back end names",
                         record_.beyond_rate));
    }
    if (served_at_end < kLeastServed) {
      Report(fmt::format("only {} of 200 requests were served after all faults", served_at_end));
    }
    for (const auto& host : hosts_) {
      if (host->process->unexpected_ends() > 0) {
        Report("the process at " + host->address + " ended by itself");
      }
    }
    CheckReadBack();
  }

  void CheckReadBack() {
    std::uint64_t read = 0;
    for (int i = 0; i < kControlHosts; ++i) {
      http_stream::RequestMessage request;
      request.method = "POST";
      request.target = "/borageloft/rpc?call=config.get";
      request.fields = {{"Host", "control"}};
      SendOnce(context_, At(hosts_[i]->address, kCalls), request, milliseconds(2000),
               [&](const std::optional<http_stream::ResponseMessage>& answer) {
                 if (answer && answer->status == 200) {
                   read = std::stoull(answer->body.substr(answer->body.find(":\"r") + 3));
                 }
               });
    }
    RunFor(milliseconds(2500));
    if (read < acknowledged_) {
      Report(fmt::format("r{} was read back, r{} was acknowledged", read, acknowledged_));
    }
  }

  std::string program_;
  std::string folder_;
  int network_;
  base::Random random_;
  base::Random need_random_;  // Of its own, so that a seed keeps the other faults that it had.
  asio::io_context context_{1};
  ExecutionRecord record_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::string> once_;
  std::vector<std::string> promised_;
  std::uint64_t requests_ = 0;
  std::uint64_t acknowledged_ = 0;
  std::uint64_t ordered_ = 0;
  std::uint64_t ordered_base_ = 0;
  bool is_ordering_ = false;
  bool has_unclear_ = false;
  std::size_t served_ = 0;
  std::size_t refused_ = 0;
  std::size_t failed_ = 0;
  std::size_t faults_ = 0;
  int problems_ = 0;
};

}  // namespace
}  // namespace borageloft::soak

int main(int argument_count, char** arguments) {
  CLI::App application("fault_soak: faults injected into real processes by a seed");
  std::string program;
  std::string folder;
  std::uint64_t seed = 1;
  int seconds = 10;
  int network = 7;
  application.add_option("--program", program, "borageloftd")->required();
  application.add_option("--seed", seed, "Seed of the faults");
  application.add_option("--seconds", seconds, "Length of the faults")->check(CLI::Range(1, 3600));
  application.add_option("--network", network, "Soaks at once need different ones")
      ->check(CLI::Range(1, 254));
  application.add_option("--folder", folder, "Folder for settings, logs and data");
  CLI11_PARSE(application, argument_count, arguments);
  signal(SIGPIPE, SIG_IGN);
  const bool is_temporary = folder.empty();
  if (is_temporary) {
    folder = fmt::format("{}/borageloft-soak-{}-{}",
                         std::filesystem::temp_directory_path().string(), seed, getpid());
  }
  fmt::print("seed {} folder {}\n", seed, folder);
  borageloft::base::ReplaceLogSink([](std::string_view) {});
  int result = 1;
  try {
    result = borageloft::soak::FaultSoak(program, seed, folder, network)
                 .Run(std::chrono::seconds(seconds));
  } catch (const std::exception& error) {
    // Leaving by an exception that is caught ends the processes that were started.
    fmt::print("PROBLEM: {}\n", error.what());
  }
  if (result == 0 && is_temporary) {
    std::filesystem::remove_all(folder);
  }
  return result;
}
