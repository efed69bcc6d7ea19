#include "review/stand_ins/deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace borageloft::review {

namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr const char* kProgram = "target/services/borageloftd/borageloftd";
constexpr const char* kProgramName = "borageloftd";
constexpr int kControls = 5;
constexpr int kSeeds = 3;
constexpr int kZones = 3;
// A second without an answer ends an attempt of the operator.
constexpr milliseconds kAttemptLimit{1000};
constexpr milliseconds kPause{150};

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw CannotRun("cannot read " + path);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void Replace(std::string& text, const std::string& from, const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at)) {
    text.replace(at, from.size(), to);
    at += to.size();
  }
}

bool IsFree(asio::io_context& context, const std::string& ip, std::uint16_t port) {
  tcp::acceptor acceptor(context);
  asio::error_code error;
  acceptor.open(tcp::v4(), error);
  acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  acceptor.bind({asio::ip::make_address(ip), port}, error);
  return !error;
}

}  // namespace

Machine::~Machine() { Kill(); }

bool Machine::IsRunning() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = 0;
  }
  return pid_ > 0;
}

void Machine::Signal(int signal) const {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

void Machine::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
}

std::size_t Machine::MemoryKib() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  std::string key;
  std::string program;
  status >> key >> program;
  // Until its program is loaded, the new process is a copy of this one.
  while (program == kProgramName && status >> key) {
    if (key == "RssAnon:") {
      std::size_t kib = 0;
      status >> kib;
      return kib;
    }
  }
  return 0;
}

Deployment::Deployment(asio::io_context& context, Record& record,
                       const std::vector<std::string>& services)
    : context_(context), record_(record) {
  signal(SIGPIPE, SIG_IGN);
  std::string pattern = std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) {
    throw CannotRun("cannot make a temporary folder");
  }
  folder_ = pattern;
  const int pid = getpid();
  const std::string network =
      "127." + std::to_string(20 + pid % 200) + "." + std::to_string(pid / 200 % 250) + ".";
  int host = 1;
  for (int i = 0; i < kControls; ++i, ++host) {
    controls_.push_back(std::make_unique<Machine>(Role::kControl, "core-" + std::to_string(i + 1),
                                                  network + std::to_string(host),
                                                  "zone-" + std::to_string(i % kZones), ""));
  }
  for (std::size_t i = 0; i < services.size(); ++i, ++host) {
    nodes_.push_back(std::make_unique<Machine>(Role::kNode, "sidecar-" + std::to_string(i + 1),
                                               network + std::to_string(host),
                                               "zone-" + std::to_string(i % kZones), services[i]));
  }
  std::uint16_t port = 18300;
  for (std::uint16_t* chosen : {&ports_.app, &ports_.ready, &ports_.outbound, &ports_.control,
                                &ports_.peers, &ports_.metrics}) {
    while (!IsFree(context_, network + "1", port)) {
      ++port;
    }
    *chosen = port++;
  }
}

Deployment::~Deployment() {
  controls_.clear();
  nodes_.clear();
  std::error_code ignored;
  if (getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(folder_, ignored);
  }
}

std::string Deployment::Render(const Machine& machine) const {
  const bool is_control = machine.role() == Role::kControl;
  std::string text = ReadFile(is_control ? "deploy/control.ini" : "deploy/node.ini");
  std::string seeds;
  for (int i = 0; i < kSeeds; ++i) {
    seeds += (i > 0 ? "," : "") + controls_[i]->ip() + ":" + std::to_string(ports_.control);
  }
  const auto at = [&](std::uint16_t port) { return machine.ip() + ":" + std::to_string(port); };
  Replace(text, "{{#bootstrap}}yes{{/bootstrap}}{{^bootstrap}}no{{/bootstrap}}",
          is_first_start_ ? "yes" : "no");
  const std::vector<std::pair<std::string, std::string>> values = {
      {"node", machine.name()},
      {"zone", machine.zone()},
      {"ip", machine.ip()},
      {"listen.control", at(ports_.control)},
      {"listen.outbound", at(ports_.outbound)},
      {"listen.ready", at(ports_.ready)},
      {"internal_ports.0", std::to_string(ports_.peers)},
      {"internal_ports.1", std::to_string(ports_.metrics)},
      {"seeds", seeds},
      {"tolerate.machines", "2"},
      {"data_dir", machine.data_},
      {"app_addr", at(ports_.app)},
      {"service", machine.service()},
      {"heartbeat_interval_ms", "1500"},
      {"bounds.retry_budget_ratio", "0.2"},
      {"bounds.budget_min_retries", "50"},
      {"bounds.budget_window_s", "10"},
      {"bounds.grace_s", "6"},
  };
  for (const auto& [name, value] : values) {
    Replace(text, "{{" + name + "}}", value);
  }
  if (text.find("{{") != std::string::npos) {
    throw CannotRun("a placeholder of the settings template is unknown: " + text);
  }
  return text;
}

void Deployment::StartAll() {
  for (auto* machines : {&controls_, &nodes_}) {
    for (const auto& machine : *machines) {
      Start(*machine);
    }
  }
  is_first_start_ = false;
}

void Deployment::Start(Machine& machine) {
  machine.Kill();
  machine.settings_ = folder_ + "/" + machine.name() + ".boot";
  machine.log_ = folder_ + "/" + machine.name() + ".log";
  if (machine.role() == Role::kControl) {
    machine.data_ = folder_ + "/data-" + machine.name();
    std::filesystem::create_directories(machine.data_);
  }
  std::ofstream(machine.settings_) << Render(machine);
  const pid_t parent = getpid();
  const pid_t child = fork();
  if (child < 0) {
    throw CannotRun("cannot start a process");
  }
  if (child == 0) {
    // The processes of a case end with it, whatever ends it.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(2);
    }
    const int log = open(machine.log_.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    dup2(log, 1);
    dup2(log, 2);
    close_range(3, ~0U, 0);
    execl(kProgram, kProgram, "--settings", machine.settings_.c_str(), nullptr);
    _exit(2);
  }
  machine.pid_ = child;
  record_.Write("process of " + machine.name() + " starts");
}

void Deployment::LoseDisk(Machine& machine) {
  std::filesystem::remove_all(machine.data_);
  record_.Write("disk of " + machine.name() + " is lost");
}

void Deployment::RunFor(milliseconds time) {
  context_.restart();
  const auto guard = asio::make_work_guard(context_);
  context_.run_for(time);
}

bool Deployment::RunUntil(const std::function<bool()>& condition, milliseconds limit) {
  const auto end = Clock::now() + limit;
  while (!condition()) {
    if (Clock::now() >= end) {
      return false;
    }
    RunFor(milliseconds(5));
  }
  return true;
}

// Returns the first answer that ends the call, or one with the status 0.
Message Deployment::Call(const std::string& call, const std::string& base, const std::string& body,
                         Clock::time_point end, std::string* answered_by) {
  Message request;
  request.method = "POST";
  request.target = "/borageloft/rpc?call=" + call;
  request.fields = {{"Content-Type", "application/json"}};
  if (!base.empty()) {
    request.fields.emplace_back("If-Match", base);
  }
  request.body = body;
  while (Clock::now() < end) {
    // The operator stays with a machine while that one answers.
    tcp::endpoint target = controls_[next_control_ % controls_.size()]->At(ports_.control);
    for (int hop = 0; hop <= 2; ++hop) {
      std::optional<Message> answer;
      bool has_ended = false;
      request.fields.erase(std::remove_if(request.fields.begin(), request.fields.end(),
                                          [](const auto& field) { return field.first == "Host"; }),
                           request.fields.end());
      request.fields.emplace_back("Host", target.address().to_string());
      Send(context_, target, request, kAttemptLimit, [&](const std::optional<Message>& received) {
        answer = received;
        has_ended = true;
      });
      RunUntil([&] { return has_ended; }, kAttemptLimit + milliseconds(500));
      record_.Write(call + " is sent to " + target.address().to_string() + ": status " +
                    std::to_string(answer ? answer->status : 0));
      if (!answer) {
        break;
      }
      if (answer->status == 307) {
        const std::string location = answer->Field("Location");
        const std::size_t begin = location.find("//") + 2;
        const std::size_t colon = location.find(':', begin);
        target = {asio::ip::make_address(location.substr(begin, colon - begin)),
                  static_cast<std::uint16_t>(std::stoi(location.substr(colon + 1)))};
        continue;
      }
      if (answer->status >= 500 || answer->status == 408 || answer->status == 429) {
        break;
      }
      if (answered_by != nullptr) {
        *answered_by = target.address().to_string();
      }
      StayWith(target);
      return *answer;
    }
    ++next_control_;
    RunFor(kPause);
  }
  return {};
}

void Deployment::StayWith(const tcp::endpoint& target) {
  for (std::size_t i = 0; i < controls_.size(); ++i) {
    if (controls_[i]->At(ports_.control) == target) {
      next_control_ = i;
    }
  }
}

int Deployment::Put(std::uint64_t base, const std::string& text, milliseconds limit) {
  const Message answer =
      Call("config.put", "r" + std::to_string(base), text, Clock::now() + limit, nullptr);
  record_.Write("config.put on r" + std::to_string(base) + " of " + text.substr(0, text.find(',')) +
                ": status " + std::to_string(answer.status));
  return answer.status;
}

std::string Deployment::Get(milliseconds limit) {
  const Message answer = Call("config.get", "", "", Clock::now() + limit, nullptr);
  record_.Write("config.get: status " + std::to_string(answer.status) + " " +
                answer.body.substr(0, answer.body.find(',')));
  return answer.status == 200 ? answer.body : "";
}

Machine* Deployment::FindLeader(milliseconds limit) {
  std::string leader;
  Call("config.get", "", "", Clock::now() + limit, &leader);
  for (const auto& machine : controls_) {
    if (machine->ip() == leader) {
      return machine.get();
    }
  }
  return nullptr;
}

}  // namespace borageloft::review
