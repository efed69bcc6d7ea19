#ifndef BORAGELOFT_REVIEW_STAND_INS_2_DEPLOYMENT_H_
#define BORAGELOFT_REVIEW_STAND_INS_2_DEPLOYMENT_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace borageloft::review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using Fields = std::vector<std::pair<std::string, std::string>>;

/** The case could not be run; it shows nothing about the system. */
class CannotRun : public std::exception {
 public:
  explicit CannotRun(std::string reason) : reason_(std::move(reason)) {}
  const char* what() const noexcept override { return reason_.c_str(); }

 private:
  std::string reason_;
};

/** Writes record.txt: what was sent, answered and run, with the time since the start. */
class Record {
 public:
  /** @param path File to write; an existing one is replaced. */
  explicit Record(const std::string& path);
  ~Record();

  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  /** Adds a line. May be called from any thread. */
  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  int file_ = -1;
  Clock::time_point start_ = Clock::now();
};

/** An HTTP message with its start line. */
struct Message {
  std::string start_line;
  Fields fields;
  std::string body;
  bool is_complete = false;  ///< Whether the whole body that was announced has arrived.

  /** @return Value of the first field with this name in any case; nothing if there is none. */
  std::optional<std::string> Find(std::string_view name) const;
  /** @return Status of a response; 0 if the start line names none. */
  int Status() const;
};

/** A blocking TCP connection of a client. */
class Connection {
 public:
  /**
   * Connects.
   * @param receive_buffer Size of the kernel's receive buffer in bytes; 0 for the default.
   */
  Connection(const std::string& address, std::uint16_t port, int receive_buffer = 0);
  ~Connection();

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool is_open() const { return socket_ >= 0; }
  /** @return Whether all of @p bytes were written. */
  bool Send(std::string_view bytes);
  /**
   * Reads one response.
   * @param limit Time limit of the whole response.
   * @param bytes_per_second Rate at which the body is read; 0 for no limit.
   * @return What has arrived; its is_complete tells whether that is all.
   */
  Message Receive(Milliseconds limit, std::size_t bytes_per_second = 0);

 private:
  int socket_ = -1;
  std::string input_;
};

/** What a stand-in back end answers to a request. */
struct Reply {
  int status = 200;
  Fields fields;
  std::string body;
  Milliseconds work{0};  ///< Time for which the request runs.
};

/** Settings of a stand-in back end. */
struct BackEndOptions {
  std::string address;
  std::uint16_t port = 0;
  std::uint16_t announce_port = 0;  ///< Of the node beside it.
  std::string service;
  std::string zone;
  std::string id;
  int slots = 20;
  Milliseconds heartbeat_interval{1500};
};

/**
 * Stand-in back end: announces itself to the node beside it, answers its health path, and runs
 * requests as a handler says. It checks the instance that a request expects.
 */
class BackEnd {
 public:
  /** Runs one request; called on a thread of its connection. */
  using Handler = std::function<Reply(const Message& request)>;

  BackEnd(BackEndOptions options, Record& record, Handler handler);
  ~BackEnd();

  BackEnd(const BackEnd&) = delete;
  BackEnd& operator=(const BackEnd&) = delete;

  /** Sends no heartbeat from now on. */
  void StopHeartbeats() { sends_heartbeats_ = false; }
  /**
   * Announces that the back end leaves.
   * @return Whether the node acknowledged it within @p limit.
   */
  bool Leave(Milliseconds limit);
  /** Sets whether the health path still answers 200 once the back end has left. */
  void set_health_lags(bool health_lags) { health_lags_ = health_lags; }

  const std::string& id() const { return options_.id; }
  /** @return Number of times a request with this id was run. */
  int RunsOf(const std::string& request_id) const;
  /** @return Request ids by the time at which they began to run. */
  std::vector<std::pair<Clock::time_point, std::string>> runs() const;

 private:
  void Accept();
  void Serve(int socket);
  Reply Answer(const Message& request);
  void SendHeartbeats();
  int SendCall(const std::string& call, const std::string& body, Milliseconds limit) const;

  BackEndOptions options_;
  Record& record_;
  Handler handler_;
  std::uint64_t born_ = 0;
  std::atomic<std::uint64_t> sequence_{0};
  std::atomic<bool> sends_heartbeats_{true};
  std::atomic<bool> has_left_{false};
  std::atomic<bool> health_lags_{false};
  std::atomic<bool> is_stopping_{false};
  int listener_ = -1;
  mutable std::mutex mutex_;
  std::vector<int> sockets_;
  std::vector<std::thread> threads_;
  std::vector<std::pair<Clock::time_point, std::string>> runs_;
  std::thread acceptor_;
  std::thread heartbeats_;
};

/** Bounds of the deployment, as the pages name them. Those of the system's settings are written
 * into the templates. */
struct Bounds {
  Milliseconds drain{2000};
  std::chrono::seconds grace{6};
  std::optional<Milliseconds> revoke;  ///< Set where strict_revoke is true.
};

/** A machine of the deployment and the process of the system on it. */
struct Machine {
  std::string address;
  std::string settings;  ///< File that the template was filled into.
  std::string log;
  std::string data_folder;  ///< Of core machines only.
  std::string service;      ///< Of sidecar machines only.
  pid_t process = 0;
};

/** A small deployment of the system on loopback addresses: core and sidecar machines. */
class Deployment {
 public:
  static constexpr int kCoreMachines = 5;
  static constexpr std::uint16_t kOutboundPort = 8304;
  static constexpr std::uint16_t kReadyPort = 8302;
  static constexpr std::uint16_t kControlPort = 8306;
  static constexpr std::uint16_t kBackEndPort = 8301;

  /**
   * Starts all processes as deploy/system.toml says, with settings made from its templates.
   * @param services Service of each sidecar machine.
   */
  Deployment(const Bounds& bounds, const std::vector<std::string>& services, Record& record);
  /** Ends all processes that are still running. */
  ~Deployment();

  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /**
   * Starts the process of a machine, with settings made from the template anew.
   * @param machine Its process has ended or was never started.
   */
  void Start(Machine& machine);
  /** Sends @p signal to the process of a machine. */
  void Signal(const Machine& machine, int signal);
  /** Kills the process of a machine and waits for its end. */
  void Kill(Machine& machine);
  /** @return Whether the process of a machine runs; a process that has ended is collected. */
  bool IsRunning(Machine& machine);

  /**
   * Sends a configuration like an operator until it has a clear answer.
   * @param base Version that it builds on.
   * @param text The configuration.
   * @param limit Time for which it is sent.
   * @return The status of that answer; 0 if there is none within @p limit.
   */
  int Put(const std::string& base, const std::string& text,
          Milliseconds limit = std::chrono::seconds(20));

  /** Waits until all sidecar machines are ready. @throws CannotRun if they are not in time. */
  void WaitUntilReady(Milliseconds limit = std::chrono::seconds(20));
  /** @return Whether the machine answers 200 to the platform's question for readiness. */
  bool IsReady(const Machine& machine) const;

  std::vector<Machine>& core() { return core_; }
  std::vector<Machine>& sidecars() { return sidecars_; }
  /** @return Options of the back end on a sidecar machine. */
  BackEndOptions BackEndOn(const Machine& machine, const std::string& id) const;

 private:
  void Add(std::vector<Machine>& machines, const std::string& service, int index);

  Bounds bounds_;
  Record& record_;
  std::string folder_;
  std::string network_;
  std::map<std::string, bool> has_started_;
  std::vector<Machine> core_;
  std::vector<Machine> sidecars_;
};

/** A route of a configuration. */
struct RouteText {
  std::string path_prefix;
  std::string service;
  std::string kind = "safe";
  Milliseconds timeout{5000};
};

/**
 * @param version Version as it is written on the wire.
 * @param tenants JSON list of the tenants; empty if the configuration has no such field.
 * @return A configuration with these services and routes.
 */
std::string ConfigurationText(const std::string& version, const std::vector<std::string>& services,
                              const std::vector<RouteText>& routes,
                              const std::string& tenants = "");

/** Host of the routes of ConfigurationText(). */
inline constexpr const char* kHost = "hulo84.example";

/**
 * @param id Id of the client's attempt.
 * @param more Further header fields.
 * @return A client's request as bytes.
 */
std::string RequestText(const std::string& method, const std::string& path, const std::string& id,
                        Milliseconds deadline, const Fields& more = {},
                        const std::string& body = "");

/** @return An id that no other request of this process has. */
std::string NextRequestId();

/** @return Whether the disruption is to be left out: TROUBLE=0. */
bool IsWithoutTrouble();

/**
 * Runs a case and turns its outcome into an exit code. A case that takes too long, or is told to
 * end, ends all processes that it has started and exits with 2.
 * @param record_path File that the record is written to.
 * @param run Returns whether the rule held.
 * @return 0 if it held, 1 if it was broken, 2 if the case could not run.
 */
int RunCase(const std::string& record_path, const std::function<bool(Record& record)>& run);

}  // namespace borageloft::review

#endif  // BORAGELOFT_REVIEW_STAND_INS_2_DEPLOYMENT_H_
