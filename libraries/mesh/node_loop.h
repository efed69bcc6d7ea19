#ifndef BORAGELOFT_MESH_NODE_LOOP_H_
#define BORAGELOFT_MESH_NODE_LOOP_H_

#include <asio.hpp>
#include <functional>
#include <memory>

#include "libraries/mesh/mesh_settings.h"
#include "libraries/timer/timer.h"
#include "libraries/transport/transport.h"

namespace borageloft::mesh {

/**
 * The event loop of one process: I/O, timers, signals and reloading of the settings file. All work
 * of the process runs on the thread that calls Run().
 */
class NodeLoop {
 public:
  /** @param path Settings file, which is reloaded on SIGHUP and when its content changes. */
  NodeLoop(MeshSettings settings, std::string path);

  /**
   * Runs the event loop until Stop() is called.
   * @param on_terminate Called on SIGTERM and SIGINT.
   * @param on_settings Called with reloaded settings that are valid.
   */
  void Run(std::function<void()> on_terminate,
           std::function<void(const MeshSettings& settings)> on_settings);

  /** Makes Run() return. */
  void Stop() { context_.stop(); }

  asio::io_context& context() { return context_; }
  timer::TimerService& timers() { return timers_; }
  const MeshSettings& settings() const { return settings_; }

 private:
  void WaitForSignal();
  void ScheduleTimers();
  void CheckSettingsFile();
  void Reload(const char* cause);

  MeshSettings settings_;
  std::string settings_path_;
  std::string settings_text_;
  asio::io_context context_{1};
  timer::TimerService timers_{base::SystemClock()};
  asio::steady_timer timer_{context_};
  asio::signal_set signals_{context_};
  std::function<void()> on_terminate_;
  std::function<void(const MeshSettings&)> on_settings_;
};

}  // namespace borageloft::mesh

#endif  // BORAGELOFT_MESH_NODE_LOOP_H_
