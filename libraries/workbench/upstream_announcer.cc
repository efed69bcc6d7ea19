#include "libraries/workbench/upstream_announcer.h"

#include <json/json.h>

namespace borageloft::workbench {

namespace {

constexpr const char* kPath = "/v1/upstream";

}  // namespace

UpstreamAnnouncer::UpstreamAnnouncer(const Address& node, Announcement announcement)
    : node_(node), announcement_(std::move(announcement)), thread_([this] { RunRenewals(); }) {}

UpstreamAnnouncer::~UpstreamAnnouncer() {
  {
    const std::scoped_lock lock(mutex_);
    is_stopping_ = true;
    changed_.notify_all();
  }
  thread_.join();
}

void UpstreamAnnouncer::Join() {
  const std::scoped_lock lock(mutex_);
  is_joined_ = true;
  changed_.notify_all();
}

void UpstreamAnnouncer::Leave() {
  {
    const std::scoped_lock lock(mutex_);
    if (!is_joined_) {
      return;
    }
    is_joined_ = false;
    changed_.notify_all();
  }
  const std::scoped_lock lock(call_mutex_);
  HttpCall call{"DELETE", kPath, {{"Content-Type", "application/json"}}, Body()};
  call.timeout = announcement_.lease;
  const auto answer = node_.Call(call);
  if (!answer || answer->status >= 300) {
    base::Log(base::LogLevel::kWarning, "withdraw_failed",
              {{"service", announcement_.service}, {"status", answer ? answer->status : 0}});
  }
}

void UpstreamAnnouncer::RunRenewals() {
  std::unique_lock lock(mutex_);
  while (!is_stopping_) {
    if (!is_joined_) {
      changed_.wait(lock);
      continue;
    }
    lock.unlock();
    const bool is_announced = Announce();
    lock.lock();
    // A failed announcement is repeated sooner, so that one lost call does not end the lease.
    const base::Duration pause = announcement_.lease / (is_announced ? 3 : 10);
    changed_.wait_for(lock, pause, [this] { return is_stopping_ || !is_joined_; });
  }
}

bool UpstreamAnnouncer::Announce() {
  const std::scoped_lock call_lock(call_mutex_);
  {
    const std::scoped_lock lock(mutex_);
    if (!is_joined_) {
      return true;
    }
  }
  HttpCall call{"PUT", kPath, {{"Content-Type", "application/json"}}, Body()};
  call.timeout = announcement_.lease / 3;
  const auto answer = node_.Call(call);
  const bool is_announced = answer && answer->status < 300;
  if (!is_announced) {
    base::Log(base::LogLevel::kWarning, "announce_failed",
              {{"service", announcement_.service}, {"status", answer ? answer->status : 0}});
  }
  return is_announced;
}

std::string UpstreamAnnouncer::Body() const {
  Json::Value json(Json::objectValue);
  json["service"] = announcement_.service;
  json["address"] = announcement_.address.ToString();
  json["slots"] = static_cast<Json::UInt64>(announcement_.slots);
  json["connections"] = static_cast<Json::UInt64>(announcement_.connections);
  json["lease_ms"] = static_cast<Json::Int64>(
      std::chrono::duration_cast<std::chrono::milliseconds>(announcement_.lease).count());
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, json);
}

}  // namespace borageloft::workbench
