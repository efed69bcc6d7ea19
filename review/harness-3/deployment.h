#ifndef BORAGELOFT_REVIEW_HARNESS_3_DEPLOYMENT_H_
#define BORAGELOFT_REVIEW_HARNESS_3_DEPLOYMENT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "review/harness-3/http.h"
#include "review/harness-3/process.h"
#include "review/harness-3/record.h"

namespace review {

/** A machine of the small deployment, with its one process of the system. */
struct Machine {
  std::string name;
  std::string zone;
  std::string service;  ///< Of the back end on it; empty on a core machine.
  Address outbound;
  Address ready;
  Address control;
  Address app;
  std::string settings_file;
  std::unique_ptr<Process> process;
};

/**
 * A small deployment on loopback addresses: five core machines in three zones, of which two may be
 * lost, and a sidecar machine for each back end. The processes are started as the deploy file says.
 */
class Deployment {
 public:
  /**
   * @param folder Temporary folder for settings, disks and logs.
   * @param services Service of each sidecar machine.
   * @param spares Core machines that are not started at first, after the five others.
   */
  Deployment(Record& record, std::string folder, const std::vector<std::string>& services,
             std::size_t spares = 0);

  /** Starts all processes. @return Whether the addresses were free. */
  bool Start();
  /**
   * Sends a configuration as the operator, until it has a clear answer.
   * @param base Version that it builds on.
   * @param text The configuration.
   * @param limit Time for it.
   * @return Status of the clear answer, or 0.
   */
  int Put(std::uint64_t base, const std::string& text, milliseconds limit);
  /** Waits until all sidecar machines are ready. @return Whether they are. */
  bool WaitReady(milliseconds limit) const;
  /** Kills the process of a machine and starts it again after @p pause. */
  void Restart(Machine& machine, milliseconds pause);

  /** Starts a spare core machine, with an empty disk. */
  void StartSpare(Machine& machine);
  /** Kills the process of a core machine for good. */
  void Remove(Machine& machine);
  /** Kills the process of a core machine and empties its disk. */
  void LoseDisk(Machine& machine);
  /** Starts the process of a core machine that has lost its disk. */
  void StartAgain(Machine& machine);
  /** @return The core machine that answers a read of the configuration itself, or null. */
  Machine* FindLeader();
  /**
   * Reads the configuration as the operator, at one machine after the other.
   * @param limit Time for it.
   * @return The configuration, or empty if none came.
   */
  std::string Read(milliseconds limit);

  std::size_t cores() const { return cores_.size(); }
  Machine& sidecar(std::size_t index) { return sidecars_.at(index); }
  Machine& core(std::size_t index) { return cores_.at(index); }
  /** @return Machines whose process has ended. */
  std::vector<std::string> Ended();

 private:
  bool ChooseAddresses();
  void WriteSettings(const Machine& machine, bool is_first_start) const;
  void StartProcess(Machine& machine, bool is_first_start);

  Record& record_;
  const std::string folder_;
  std::vector<Machine> cores_;
  std::vector<Machine> sidecars_;
};

/**
 * Makes a configuration.
 * @param version Its number.
 * @param routes JSON objects of the routes of the host `shop.example`, joined by commas.
 * @param services Names of its services.
 */
std::string MakeConfiguration(std::uint64_t version, const std::string& routes,
                              const std::vector<std::string>& services);

/**
 * Fills a settings template in as DEPLOY.md says, for plain placeholders and sections.
 * @param text The template.
 * @param values Values by their dotted names; "true" and "false" for sections.
 */
std::string FillTemplate(std::string text, const std::map<std::string, std::string>& values);

}  // namespace review

#endif  // BORAGELOFT_REVIEW_HARNESS_3_DEPLOYMENT_H_
