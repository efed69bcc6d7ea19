#include "review/stand_ins_2/deployment.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <set>
#include <sstream>

namespace borageloft::review {

namespace {

constexpr const char* kProgram = "target/services/borageloftd/borageloftd";
constexpr Milliseconds kCallLimit{1000};
constexpr int kFirstRedirect = 307;

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](char a, char b) { return std::tolower(a) == std::tolower(b); });
}

int LeftOf(Clock::time_point end) {
  const auto left = std::chrono::duration_cast<Milliseconds>(end - Clock::now()).count();
  return static_cast<int>(std::max<std::int64_t>(0, left));
}

sockaddr_in AddressOf(const std::string& address, std::uint16_t port) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(port);
  inet_pton(AF_INET, address.c_str(), &result.sin_addr);
  return result;
}

bool SendAll(int socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

/** Reads more bytes into @p input. Returns false at the end, on an error or after the limit. */
bool ReadMore(int socket, std::string& input, Clock::time_point end, std::size_t most) {
  pollfd waited{socket, POLLIN, 0};
  if (poll(&waited, 1, LeftOf(end)) <= 0) {
    return false;
  }
  std::string buffer(most, '\0');
  const ssize_t count = recv(socket, buffer.data(), buffer.size(), 0);
  if (count <= 0) {
    return false;
  }
  input.append(buffer, 0, static_cast<std::size_t>(count));
  return true;
}

/** Reads one message whose body has a stated length; all messages of the system have one. */
Message ReadMessage(int socket, std::string& input, Clock::time_point end,
                    std::size_t bytes_per_second) {
  constexpr std::size_t kChunk = 16 * 1024;
  Message message;
  std::size_t head = std::string::npos;
  while ((head = input.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(socket, input, end, kChunk)) {
      return message;
    }
  }
  std::istringstream lines(input.substr(0, head + 2));
  std::string line;
  std::getline(lines, line);
  message.start_line = line.substr(0, line.find('\r'));
  while (std::getline(lines, line)) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::size_t begin = colon + 1;
    while (begin < line.size() && line[begin] == ' ') {
      ++begin;
    }
    message.fields.emplace_back(line.substr(0, colon), line.substr(begin, line.find('\r') - begin));
  }
  input.erase(0, head + 4);
  const std::size_t length =
      std::strtoul(message.Find("Content-Length").value_or("0").c_str(), nullptr, 10);
  const Clock::time_point begin = Clock::now();
  std::size_t taken = input.size();
  while (input.size() < length) {
    if (bytes_per_second > 0) {
      // Reads no more than the rate has allowed since the body began.
      const auto due =
          begin + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(
                      static_cast<double>(taken) / static_cast<double>(bytes_per_second)));
      std::this_thread::sleep_until(due);
    }
    const std::size_t before = input.size();
    if (!ReadMore(socket, input, end, kChunk)) {
      message.body = std::exchange(input, {});
      return message;
    }
    taken += input.size() - before;
  }
  message.body = input.substr(0, length);
  input.erase(0, length);
  message.is_complete = true;
  return message;
}

std::string Serialize(const Reply& reply, const std::string& request_id) {
  std::string bytes = "HTTP/1.1 " + std::to_string(reply.status) + " Status\r\n";
  if (!request_id.empty()) {
    bytes += "X-Borageloft-Request-Id: " + request_id + "\r\n";
  }
  for (const auto& [name, value] : reply.fields) {
    bytes += name + ": " + value + "\r\n";
  }
  bytes += "Content-Length: " + std::to_string(reply.body.size()) + "\r\n\r\n";
  return bytes + reply.body;
}

/** The processes that were started and have not been collected, for an end ahead of time. */
class StartedProcesses {
 public:
  void Add(pid_t process) {
    const std::scoped_lock lock(mutex_);
    processes_.insert(process);
  }
  void Remove(pid_t process) {
    const std::scoped_lock lock(mutex_);
    processes_.erase(process);
  }
  void KillAll() {
    const std::scoped_lock lock(mutex_);
    for (const pid_t process : processes_) {
      kill(process, SIGKILL);
    }
  }

 private:
  std::mutex mutex_;
  std::set<pid_t> processes_;
};

StartedProcesses& Started() {
  static StartedProcesses started;
  return started;
}

/** Fields of a template by their full name; an absent name has no value. */
using Values = std::map<std::string, std::string>;

/** Fills in a settings template: values, and sections that depend on a value. */
std::string FillTemplate(std::string text, const Values& values) {
  const auto has_value = [&](const std::string& name) {
    const auto found = values.find(name);
    return found != values.end() && !found->second.empty() && found->second != "false";
  };
  std::size_t begin = 0;
  while ((begin = text.find("{{", begin)) != std::string::npos) {
    const std::size_t end = text.find("}}", begin);
    std::string name = text.substr(begin + 2, end - begin - 2);
    if (name[0] != '#' && name[0] != '^') {
      const auto found = values.find(name);
      text.replace(begin, end + 2 - begin, found == values.end() ? "" : found->second);
      continue;
    }
    const bool is_shown = (name[0] == '#') == has_value(name.substr(1));
    const std::string closing = "{{/" + name.substr(1) + "}}";
    const std::size_t section_end = text.find(closing, end);
    if (section_end == std::string::npos) {
      throw CannotRun("a section of the template has no end: " + name);
    }
    const std::string section = text.substr(end + 2, section_end - end - 2);
    text.replace(begin, section_end + closing.size() - begin, is_shown ? section : "");
  }
  return text;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw CannotRun("cannot read " + path);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

bool CanBind(const std::string& address, std::uint16_t port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in target = AddressOf(address, port);
  const bool can_bind =
      bind(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0;
  close(socket);
  return can_bind;
}

std::string StatusLine(const Message& message) {
  return message.start_line.empty() ? "no answer" : message.start_line;
}

}  // namespace

Record::Record(const std::string& path)
    : file_(open(path.c_str(), O_CREAT | O_WRONLY | O_TRUNC | O_CLOEXEC, 0644)) {
  if (file_ < 0) {
    throw CannotRun("cannot write " + path);
  }
}

Record::~Record() { close(file_); }

void Record::Write(const std::string& line) {
  const std::scoped_lock lock(mutex_);
  const auto now = std::chrono::duration_cast<Milliseconds>(Clock::now() - start_).count();
  char time[32];
  std::snprintf(time, sizeof(time), "%7.3f ", static_cast<double>(now) / 1000);
  const std::string text = time + line + "\n";
  [[maybe_unused]] const ssize_t written = write(file_, text.data(), text.size());
}

std::optional<std::string> Message::Find(std::string_view name) const {
  for (const auto& [other, value] : fields) {
    if (EqualsIgnoreCase(other, name)) {
      return value;
    }
  }
  return std::nullopt;
}

int Message::Status() const {
  const std::size_t space = start_line.find(' ');
  return space == std::string::npos ? 0 : std::atoi(start_line.c_str() + space + 1);
}

Connection::Connection(const std::string& address, std::uint16_t port, int receive_buffer)
    : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  if (receive_buffer > 0) {
    setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
  }
  const sockaddr_in target = AddressOf(address, port);
  if (connect(socket_, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
    close(socket_);
    socket_ = -1;
    return;
  }
  const int one = 1;
  setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

Connection::~Connection() {
  if (socket_ >= 0) {
    close(socket_);
  }
}

bool Connection::Send(std::string_view bytes) { return is_open() && SendAll(socket_, bytes); }

Message Connection::Receive(Milliseconds limit, std::size_t bytes_per_second) {
  return is_open() ? ReadMessage(socket_, input_, Clock::now() + limit, bytes_per_second)
                   : Message{};
}

BackEnd::BackEnd(BackEndOptions options, Record& record, Handler handler)
    : options_(std::move(options)),
      record_(record),
      handler_(std::move(handler)),
      born_(static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(
                                           std::chrono::system_clock::now().time_since_epoch())
                                           .count())),
      listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const int one = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in target = AddressOf(options_.address, options_.port);
  if (bind(listener_, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0 ||
      listen(listener_, 256) != 0) {
    close(listener_);
    throw CannotRun("a back end cannot listen on " + options_.address);
  }
  acceptor_ = std::thread([this] { Accept(); });
  heartbeats_ = std::thread([this] { SendHeartbeats(); });
}

BackEnd::~BackEnd() {
  is_stopping_ = true;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  heartbeats_.join();
  {
    const std::scoped_lock lock(mutex_);
    for (const int socket : sockets_) {
      shutdown(socket, SHUT_RDWR);
    }
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
  for (const int socket : sockets_) {
    close(socket);
  }
  close(listener_);
}

void BackEnd::Accept() {
  while (!is_stopping_) {
    const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      continue;
    }
    const std::scoped_lock lock(mutex_);
    sockets_.push_back(socket);
    threads_.emplace_back([this, socket] { Serve(socket); });
  }
}

void BackEnd::Serve(int socket) {
  constexpr std::chrono::hours kNoLimit{1};
  std::string input;
  while (!is_stopping_) {
    const Message request = ReadMessage(socket, input, Clock::now() + kNoLimit, 0);
    if (!request.is_complete) {
      break;
    }
    const std::string id = request.Find("X-Borageloft-Request-Id").value_or("");
    const Reply reply = Answer(request);
    std::this_thread::sleep_for(reply.work);
    if (!SendAll(socket, Serialize(reply, id))) {
      break;
    }
  }
  shutdown(socket, SHUT_RDWR);
}

Reply BackEnd::Answer(const Message& request) {
  if (request.start_line.starts_with("GET /health ")) {
    const bool is_healthy = !has_left_ || health_lags_;
    record_.Write(options_.id + " is asked for its health: " + (is_healthy ? "200" : "503"));
    return {is_healthy ? 200 : 503,
            {{"X-Borageloft-Instance-Id", options_.id},
             {"X-Borageloft-Server-Load", "0,0," + std::to_string(options_.slots)}},
            "",
            Milliseconds(0)};
  }
  const std::string id = request.Find("X-Borageloft-Request-Id").value_or("");
  const std::string expected = request.Find("X-Borageloft-Expect-Instance").value_or(options_.id);
  if (expected != options_.id) {
    record_.Write(options_.id + " rejects " + id + " with 421");
    return {421, {{"X-Borageloft-Instance-Id", options_.id}}, "", Milliseconds(0)};
  }
  {
    const std::scoped_lock lock(mutex_);
    runs_.emplace_back(Clock::now(), id);
  }
  Reply reply = handler_(request);
  reply.fields.emplace_back("X-Borageloft-Response-Seal", "seal." + id);
  reply.fields.emplace_back("X-Borageloft-Server-Load", "1,0," + std::to_string(options_.slots));
  record_.Write(options_.id + " runs " + id + " (" + request.start_line + "), answers " +
                std::to_string(reply.status) + " with " + std::to_string(reply.body.size()) +
                " bytes after " + std::to_string(reply.work.count()) + " ms");
  return reply;
}

int BackEnd::SendCall(const std::string& call, const std::string& body, Milliseconds limit) const {
  Connection connection(options_.address, options_.announce_port);
  connection.Send("POST /borageloft/rpc?call=" + call + "&of=" + options_.id +
                  " HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
  return connection.Receive(limit).Status();
}

void BackEnd::SendHeartbeats() {
  constexpr Milliseconds kStep{50};
  Clock::time_point due = Clock::now();
  while (!is_stopping_) {
    if (sends_heartbeats_ && Clock::now() >= due) {
      due = Clock::now() + options_.heartbeat_interval;
      std::ostringstream body;
      body << R"({"addr":")" << options_.address << ':' << options_.port << R"(","born":)" << born_
           << R"(,"info":{"service":")" << options_.service << R"(","version":"v1","zone":")"
           << options_.zone << R"(","slots":)" << options_.slots
           << R"(},"status":{"state":"ready","seq":)" << ++sequence_ << R"(,"cold_left_ms":0}})";
      SendCall("instances.heartbeat", body.str(), kCallLimit);
    }
    std::this_thread::sleep_for(kStep);
  }
}

bool BackEnd::Leave(Milliseconds limit) {
  has_left_ = true;
  sends_heartbeats_ = false;
  const int status =
      SendCall("instances.leave", R"({"born":)" + std::to_string(born_) + "}", limit);
  record_.Write(options_.id + " says that it leaves: " + std::to_string(status));
  return status / 100 == 2;
}

int BackEnd::RunsOf(const std::string& request_id) const {
  const std::scoped_lock lock(mutex_);
  return static_cast<int>(std::count_if(runs_.begin(), runs_.end(),
                                        [&](const auto& run) { return run.second == request_id; }));
}

std::vector<std::pair<Clock::time_point, std::string>> BackEnd::runs() const {
  const std::scoped_lock lock(mutex_);
  return runs_;
}

Deployment::Deployment(const Bounds& bounds, const std::vector<std::string>& services,
                       Record& record)
    : bounds_(bounds), record_(record) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "borageloft-review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw CannotRun("cannot make a temporary folder");
  }
  folder_ = pattern;
  std::random_device random;
  do {
    network_ = "127." + std::to_string(10 + random() % 200) + "." + std::to_string(random() % 200);
  } while (!CanBind(network_ + ".1", kControlPort));
  for (int i = 0; i < kCoreMachines; ++i) {
    Add(core_, "", i);
  }
  for (std::size_t i = 0; i < services.size(); ++i) {
    Add(sidecars_, services[i], static_cast<int>(i));
  }
  for (Machine& machine : core_) {
    Start(machine);
  }
  for (Machine& machine : sidecars_) {
    Start(machine);
  }
}

Deployment::~Deployment() {
  for (std::vector<Machine>* machines : {&core_, &sidecars_}) {
    for (Machine& machine : *machines) {
      Kill(machine);
    }
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void Deployment::Add(std::vector<Machine>& machines, const std::string& service, int index) {
  constexpr int kFirstSidecar = 101;
  const bool is_core = service.empty();
  Machine machine;
  machine.address = network_ + "." + std::to_string(is_core ? index + 1 : kFirstSidecar + index);
  const std::string name = (is_core ? "core-" : "sidecar-") + std::to_string(index + 1);
  machine.settings = folder_ + "/" + name + ".ini";
  machine.log = folder_ + "/" + name + ".log";
  machine.service = service;
  if (is_core) {
    machine.data_folder = folder_ + "/" + name;
    std::filesystem::create_directories(machine.data_folder);
  }
  machines.push_back(std::move(machine));
}

void Deployment::Start(Machine& machine) {
  const bool is_core = machine.service.empty();
  const std::string name = std::filesystem::path(machine.settings).stem();
  Values values;
  values["node"] = name;
  values["zone"] = "zone-" + std::string(1, static_cast<char>('a' + name.back() % 3));
  values["ip"] = machine.address;
  values["internal_ports.0"] = "7620";
  values["internal_ports.1"] = "7635";
  values["listen.outbound"] = machine.address + ":" + std::to_string(kOutboundPort);
  values["listen.ready"] = machine.address + ":" + std::to_string(kReadyPort);
  values["listen.control"] = machine.address + ":" + std::to_string(kControlPort);
  values["app_addr"] = machine.address + ":" + std::to_string(kBackEndPort);
  values["service"] = machine.service;
  values["data_dir"] = machine.data_folder;
  values["heartbeat_interval_ms"] = "1500";
  values["tolerate.machines"] = "2";
  values["bootstrap"] = has_started_[name] ? "false" : "true";
  values["bounds.grace_s"] = std::to_string(bounds_.grace.count());
  values["bounds.retry_budget_ratio"] = "0.2";
  values["bounds.budget_min_retries"] = "50";
  values["bounds.budget_window_s"] = "10";
  if (bounds_.revoke) {
    values["bounds.strict_revoke"] = "true";
    values["bounds.revoke_ms"] = std::to_string(bounds_.revoke->count());
    values["bounds.quota_window_s"] = "5";
    values["bounds.quota_overshoot"] = "0.1";
    values["bounds.quota_slack"] = "20";
  }
  for (int i = 0; i < 3; ++i) {
    values["seeds"] += (i == 0 ? "" : ",") + network_ + "." + std::to_string(i + 1) + ":" +
                       std::to_string(kControlPort);
  }
  has_started_[name] = true;
  std::ofstream(machine.settings) << FillTemplate(
      ReadFile(is_core ? "deploy/control.ini" : "deploy/node.ini"), values);

  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, machine.log.c_str(), O_CREAT | O_WRONLY | O_APPEND,
                                   0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  std::string program = kProgram;
  std::string option = "--settings";
  char* arguments[] = {program.data(), option.data(), machine.settings.data(), nullptr};
  const int result =
      posix_spawn(&machine.process, kProgram, &actions, &attributes, arguments, environ);
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&actions);
  if (result != 0) {
    throw CannotRun("cannot start " + program);
  }
  Started().Add(machine.process);
  record_.Write("start " + name + " at " + machine.address);
}

void Deployment::Signal(const Machine& machine, int signal) {
  record_.Write(std::string("signal ") + strsignal(signal) + " to " +
                std::filesystem::path(machine.settings).stem().string());
  kill(machine.process, signal);
}

void Deployment::Kill(Machine& machine) {
  if (machine.process > 0) {
    kill(machine.process, SIGKILL);
    waitpid(machine.process, nullptr, 0);
    Started().Remove(machine.process);
    machine.process = 0;
  }
}

bool Deployment::IsRunning(Machine& machine) {
  int status = 0;
  if (machine.process > 0 && waitpid(machine.process, &status, WNOHANG) == machine.process) {
    Started().Remove(machine.process);
    machine.process = 0;
    record_.Write(std::filesystem::path(machine.settings).stem().string() + " has ended, " +
                  (WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                                       : "with " + std::to_string(WEXITSTATUS(status))));
  }
  return machine.process > 0;
}

int Deployment::Put(const std::string& base, const std::string& text, Milliseconds limit) {
  const Clock::time_point end = Clock::now() + limit;
  for (std::size_t i = 0; Clock::now() < end; ++i) {
    std::string address = core_[i % core_.size()].address;
    for (int hops = 0; hops < 3; ++hops) {
      Connection connection(address, kControlPort);
      connection.Send(
          "POST /borageloft/rpc?call=config.put HTTP/1.1\r\nHost: control\r\nIf-Match: " + base +
          "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) +
          "\r\n\r\n" + text);
      const Message answer = connection.Receive(kCallLimit);
      record_.Write("operator sent a configuration on " + base + " to " + address + ": " +
                    StatusLine(answer));
      if (answer.Status() == kFirstRedirect) {
        const std::string location = answer.Find("Location").value_or("");
        const std::size_t begin = location.find("//") + 2;
        address = location.substr(begin, location.find(':', begin) - begin);
        continue;
      }
      if (answer.Status() == 200 || answer.Status() / 100 == 4) {
        return answer.Status();
      }
      break;
    }
    std::this_thread::sleep_for(Milliseconds(200));
  }
  return 0;
}

bool Deployment::IsReady(const Machine& machine) const {
  Connection connection(machine.address, kReadyPort);
  connection.Send("GET /borageloft/ready HTTP/1.1\r\nHost: node\r\n\r\n");
  return connection.Receive(kCallLimit).Status() == 200;
}

void Deployment::WaitUntilReady(Milliseconds limit) {
  const Clock::time_point end = Clock::now() + limit;
  for (const Machine& machine : sidecars_) {
    while (!IsReady(machine)) {
      if (Clock::now() >= end) {
        throw CannotRun("a sidecar machine is not ready");
      }
      std::this_thread::sleep_for(Milliseconds(100));
    }
  }
}

BackEndOptions Deployment::BackEndOn(const Machine& machine, const std::string& id) const {
  BackEndOptions options;
  options.address = machine.address;
  options.port = kBackEndPort;
  options.announce_port = kControlPort;
  options.service = machine.service;
  options.zone = "zone-a";
  options.id = id;
  return options;
}

std::string ConfigurationText(const std::string& version, const std::vector<std::string>& services,
                              const std::vector<RouteText>& routes, const std::string& tenants) {
  std::ostringstream text;
  text << R"({"version":")" << version << R"(","services":[)";
  for (std::size_t i = 0; i < services.size(); ++i) {
    text << (i == 0 ? "" : ",") << R"({"name":")" << services[i]
         << R"(","health_path":"/health","max_conns":500,"protocol":"h1","tls":false})";
  }
  text << R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
       << R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"hosts":[{"host":")" << kHost
       << R"(","paths":[)";
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const RouteText& route = routes[i];
    text << (i == 0 ? "" : ",") << R"({"name":"r-)" << i << R"(","path_prefix":")"
         << route.path_prefix << R"(","kind":")" << route.kind << R"(","timeout_ms":)"
         << route.timeout.count() << R"(,"target_latency_ms":1500,"priority":0,"service":")"
         << route.service << R"(","attempts":2})";
  }
  text << "]}]" << (tenants.empty() ? "" : R"(,"tenants":)" + tenants) << "}";
  return text.str();
}

std::string RequestText(const std::string& method, const std::string& path, const std::string& id,
                        Milliseconds deadline, const Fields& more, const std::string& body) {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + kHost +
                     "\r\nX-Borageloft-Request-Id: " + id +
                     "\r\nX-Borageloft-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n";
  for (const auto& [name, value] : more) {
    text += name + ": " + value + "\r\n";
  }
  if (method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

std::string NextRequestId() {
  static std::atomic<std::uint64_t> next{0x9c41d07be2a30000};
  char id[20];
  std::snprintf(id, sizeof(id), "%016llx", static_cast<unsigned long long>(++next));
  return id;
}

bool IsWithoutTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string_view(trouble) == "0";
}

namespace {

constexpr std::chrono::seconds kLongestRun{110};

}  // namespace

int RunCase(const std::string& record_path, const std::function<bool(Record& record)>& run) {
  constexpr int kHeld = 0;
  constexpr int kBroken = 1;
  constexpr int kCouldNotRun = 2;
  signal(SIGPIPE, SIG_IGN);
  sigset_t ends;
  sigemptyset(&ends);
  sigaddset(&ends, SIGTERM);
  sigaddset(&ends, SIGINT);
  pthread_sigmask(SIG_BLOCK, &ends, nullptr);
  std::thread([ends] {
    const Clock::time_point latest = Clock::now() + kLongestRun;
    constexpr timespec kStep{1, 0};
    int signal = -1;
    while (signal < 0 && Clock::now() < latest) {
      signal = sigtimedwait(&ends, nullptr, &kStep);
    }
    std::cerr << "the case is ended " << (signal < 0 ? "for its time" : "by a signal") << "\n";
    Started().KillAll();
    _exit(kCouldNotRun);
  }).detach();
  try {
    Record record(record_path);
    const bool has_held = run(record);
    record.Write(has_held ? "HELD" : "BROKEN");
    std::cout << (has_held ? "HELD" : "BROKEN") << "\n";
    return has_held ? kHeld : kBroken;
  } catch (const std::exception& error) {
    std::cerr << "the case could not run: " << error.what() << "\n";
    return kCouldNotRun;
  }
}

}  // namespace borageloft::review
