#include "libraries/admission/load_level_map.h"

#include <algorithm>
#include <vector>

#include "libraries/admission/admission_error.h"

namespace borageloft::admission {

namespace {

// A level changes about this often, so an earlier attempt would probably be refused again.
constexpr base::Duration kRetryAfter = std::chrono::milliseconds(100);

// With more reports than this the median is cached for a time: computing it from 6,400 reports
// takes 70 us. The time is short compared with the 50 ms in which a gate changes its level.
constexpr std::size_t kMaxUncachedReports = 32;
constexpr base::Duration kMaxMedianAge = std::chrono::milliseconds(5);

}  // namespace

LoadLevelMap::LoadLevelMap(base::Duration hold, base::Duration decay) : hold_(hold), decay_(decay) {
  if (hold < base::Duration::zero() || decay <= base::Duration::zero()) {
    throw AdmissionError("hold must not be negative and decay must be positive");
  }
}

void LoadLevelMap::Report(std::string_view service, std::uint64_t upstream, AdmissionLevel level,
                          base::TimePoint now) {
  auto found = services_.find(service);
  if (found == services_.end()) {
    found = services_.emplace(std::string(service), Service{}).first;
  }
  found->second.reports[upstream] = LevelReport{level, now};
}

PathVerdict LoadLevelMap::Admit(std::span<const std::string> path, ClassRank rank, ShedKey key,
                                base::TimePoint now) const {
  PathVerdict verdict;
  for (const std::string& service : path) {
    const AdmissionLevel level = LevelOf(service, now);
    verdict.level = std::min(verdict.level, level);
    if (verdict.is_admitted && !level.Admits(rank, key)) {
      verdict.is_admitted = false;
      verdict.service = service;
      verdict.retry_after = kRetryAfter;
    }
  }
  return verdict;
}

AdmissionLevel LoadLevelMap::LevelOf(std::string_view service, base::TimePoint now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return {};
  }
  const Service& service_levels = found->second;
  if (service_levels.reports.size() <= kMaxUncachedReports) {
    return Median(service_levels, now);
  }
  if (now - service_levels.computed_at >= kMaxMedianAge) {
    service_levels.median = Median(service_levels, now);
    service_levels.computed_at = now;
  }
  return service_levels.median;
}

AdmissionLevel LoadLevelMap::Median(const Service& service, base::TimePoint now) const {
  std::vector<AdmissionLevel> levels;
  levels.reserve(service.reports.size());
  for (const auto& [upstream, report] : service.reports) {
    if (now - report.at < hold_ + decay_) {
      levels.push_back(Decayed(report, now));
    }
  }
  if (levels.empty()) {
    return {};
  }
  // For an even count the more open of the two middle levels, so that one of two upstreams alone
  // cannot close the service.
  const auto middle = levels.begin() + static_cast<std::ptrdiff_t>(levels.size() / 2);
  std::nth_element(levels.begin(), middle, levels.end());
  return *middle;
}

AdmissionLevel LoadLevelMap::WorstAlong(std::span<const std::string> path,
                                        base::TimePoint now) const {
  AdmissionLevel worst;
  for (const std::string& service : path) {
    worst = std::min(worst, LevelOf(service, now));
  }
  return worst;
}

void LoadLevelMap::Expire(base::TimePoint now) {
  for (auto service = services_.begin(); service != services_.end();) {
    std::erase_if(service->second.reports,
                  [&](const auto& report) { return now - report.second.at >= hold_ + decay_; });
    service = service->second.reports.empty() ? services_.erase(service) : std::next(service);
  }
}

AdmissionLevel LoadLevelMap::Decayed(const LevelReport& report, base::TimePoint now) const {
  const base::Duration age = now - report.at;
  if (age <= hold_ || report.level.is_open()) {
    return report.level;
  }
  // The share grows linearly to the whole class; after the decay the report no longer counts.
  const double fraction =
      static_cast<double>((age - hold_).count()) / static_cast<double>(decay_.count());
  const double shed = ShedKey::kPositions - report.level.share();
  return {report.level.rank(),
          report.level.share() + static_cast<std::uint32_t>(shed * std::min(fraction, 1.0))};
}

}  // namespace borageloft::admission
