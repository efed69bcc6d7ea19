#include "libraries/mesh/node_loop.h"

#include <algorithm>
#include <csignal>
#include <exception>
#include <utility>

namespace borageloft::mesh {

namespace {

// Interval at which the settings file is checked for changes.
constexpr std::chrono::seconds kSettingsCheckInterval{2};
// Longest wait between two runs of the due timers. A subscription that is added during the wait is
// delayed by at most this.
constexpr std::chrono::milliseconds kMaximumTimerWait{10};

}  // namespace

NodeLoop::NodeLoop(MeshSettings settings, std::string path)
    : settings_(std::move(settings)), settings_path_(std::move(path)) {
  settings_text_ = settings::ReadTextFile(settings_path_);
}

void NodeLoop::Run(std::function<void()> on_terminate,
                   std::function<void(const MeshSettings& settings)> on_settings) {
  on_terminate_ = std::move(on_terminate);
  on_settings_ = std::move(on_settings);
  signals_.add(SIGTERM);
  signals_.add(SIGINT);
  signals_.add(SIGHUP);
  WaitForSignal();
  timers_.SubscribeEvery(kSettingsCheckInterval, [this](base::TimePoint) { CheckSettingsFile(); });
  ScheduleTimers();
  while (!context_.stopped()) {
    try {
      context_.run();
    } catch (const std::exception& error) {
      // The work of one handler is lost; all others go on.
      base::Log(base::LogLevel::kError, "handler_failed", {{"error", error.what()}});
    }
  }
}

void NodeLoop::WaitForSignal() {
  signals_.async_wait([this](const asio::error_code& error, int signal) {
    if (error) {
      return;
    }
    if (signal == SIGHUP) {
      Reload("signal");
    } else {
      on_terminate_();
    }
    WaitForSignal();
  });
}

void NodeLoop::ScheduleTimers() {
  auto due = std::chrono::steady_clock::now() + kMaximumTimerWait;
  if (const auto next = timers_.NextDue()) {
    due = std::min(due, *next);
  }
  timer_.expires_at(due);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      timers_.RunDue();
      ScheduleTimers();
    }
  });
}

void NodeLoop::CheckSettingsFile() {
  try {
    if (settings::ReadTextFile(settings_path_) != settings_text_) {
      Reload("file");
    }
  } catch (const base::Error&) {
    // The file may be missing while it is being replaced; the next check retries.
  }
}

void NodeLoop::Reload(const char* cause) {
  try {
    settings_text_ = settings::ReadTextFile(settings_path_);
    const MeshSettings settings = ParseMeshSettings(settings_text_, settings_path_);
    settings_.seeds = settings.seeds;
    base::Log(base::LogLevel::kInfo, "settings_reloaded", {{"cause", cause}});
    on_settings_(settings);
  } catch (const base::Error& error) {
    base::Log(base::LogLevel::kError, "settings_refused",
              {{"cause", cause}, {"error", error.what()}});
  }
}

}  // namespace borageloft::mesh
