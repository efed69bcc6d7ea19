#ifndef BORAGELOFT_REVIEW_STAND_INS_DEPLOYMENT_H_
#define BORAGELOFT_REVIEW_STAND_INS_DEPLOYMENT_H_

#include <sys/types.h>

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "review/stand_ins/http.h"
#include "review/stand_ins/record.h"

namespace borageloft::review {

/** Thrown when a case cannot run. */
class CannotRun : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/** Role of a machine in the deploy file. */
enum class Role { kControl, kNode };

/** Ports, the same on all machines. */
struct Ports {
  std::uint16_t app = 0;
  std::uint16_t ready = 0;
  std::uint16_t outbound = 0;
  std::uint16_t control = 0;
  std::uint16_t peers = 0;
  std::uint16_t metrics = 0;
};

/** A machine of the deployment with the one process that runs there. */
class Machine {
 public:
  Machine(Role role, std::string name, std::string ip, std::string zone, std::string service)
      : role_(role),
        name_(std::move(name)),
        ip_(std::move(ip)),
        zone_(std::move(zone)),
        service_(std::move(service)) {}
  /** Kills the process. */
  ~Machine();

  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  Role role() const { return role_; }
  const std::string& name() const { return name_; }
  const std::string& ip() const { return ip_; }
  const std::string& zone() const { return zone_; }
  const std::string& service() const { return service_; }
  /**
   * @param port Port on this machine.
   * @return Its address.
   */
  asio::ip::tcp::endpoint At(std::uint16_t port) const {
    return {asio::ip::make_address(ip_), port};
  }
  /** @return Whether the process runs. */
  bool IsRunning();
  /**
   * Sends a signal to the process.
   * @param signal Number of the signal.
   */
  void Signal(int signal) const;
  /** Kills the process and waits for its end. */
  void Kill();
  /** @return Anonymous memory of the process in KiB; 0 if none runs. */
  std::size_t MemoryKib() const;

 private:
  friend class Deployment;

  Role role_;
  std::string name_;
  std::string ip_;
  std::string zone_;
  std::string service_;
  std::string settings_;
  std::string log_;
  std::string data_;
  pid_t pid_ = 0;
};

/**
 * A small deployment on loopback addresses: five machines with a disk and some beside a backend,
 * with the programs and the settings templates of the deploy file.
 */
class Deployment {
 public:
  /**
   * @param context Event loop of the case.
   * @param record Record of the case.
   * @param services Service of the backend of each machine without a disk.
   */
  Deployment(asio::io_context& context, Record& record, const std::vector<std::string>& services);
  ~Deployment();

  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /** Starts all processes, as the platform does at the first start. */
  void StartAll();
  /**
   * Starts the process of a machine with settings written anew.
   * @param machine Machine whose process is started.
   */
  void Start(Machine& machine);
  /**
   * Empties the disk of a machine whose process does not run.
   * @param machine A control machine.
   */
  void LoseDisk(Machine& machine);

  /**
   * Runs the event loop for a time.
   * @param time How long.
   */
  void RunFor(std::chrono::milliseconds time);
  /**
   * Runs the event loop until a condition holds.
   * @param condition Asked every few milliseconds.
   * @param limit Longest time.
   * @return Whether it held within the time.
   */
  bool RunUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit);

  /**
   * Sends a configuration until it is acknowledged or the time is over, as the operator does: to
   * any control machine, following up to two redirects, with pauses.
   * @param base Version that the configuration builds on.
   * @param text The configuration.
   * @param limit Time after which no further attempt begins.
   * @return Status of the final answer; 0 if there is none.
   */
  int Put(std::uint64_t base, const std::string& text, std::chrono::milliseconds limit);
  /**
   * Reads the configuration until a 200 comes or the time is over.
   * @param limit Time after which no further attempt begins.
   * @return The configuration, or an empty text.
   */
  std::string Get(std::chrono::milliseconds limit);
  /**
   * @param limit Time after which no further attempt begins.
   * @return The control machine to which the others redirect the operator, or null.
   */
  Machine* FindLeader(std::chrono::milliseconds limit);

  std::vector<std::unique_ptr<Machine>>& controls() { return controls_; }
  std::vector<std::unique_ptr<Machine>>& nodes() { return nodes_; }
  const Ports& ports() const { return ports_; }
  /** @return Folder with settings, logs and data. */
  const std::string& folder() const { return folder_; }

 private:
  std::string Render(const Machine& machine) const;
  Message Call(const std::string& call, const std::string& base, const std::string& body,
               std::chrono::steady_clock::time_point end, std::string* answered_by);

  void StayWith(const asio::ip::tcp::endpoint& target);

  asio::io_context& context_;
  Record& record_;
  std::string folder_;
  Ports ports_;
  bool is_first_start_ = true;
  std::vector<std::unique_ptr<Machine>> controls_;
  std::vector<std::unique_ptr<Machine>> nodes_;
  std::size_t next_control_ = 0;
};

}  // namespace borageloft::review

#endif  // BORAGELOFT_REVIEW_STAND_INS_DEPLOYMENT_H_
