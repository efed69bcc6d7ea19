#include "libraries/workbench/load_report.h"

#include <fmt/format.h>

#include <algorithm>

namespace borageloft::workbench {

namespace {

double ToMilliseconds(base::Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double PerSecond(std::uint64_t count, base::Duration length) {
  const double seconds = std::chrono::duration<double>(length).count();
  return seconds > 0 ? static_cast<double>(count) / seconds : 0;
}

const char* NameOf(Phase phase) {
  switch (phase) {
    case Phase::kBefore:
      return "before";
    case Phase::kDuring:
      return "during";
    case Phase::kAfter:
      return "after";
  }
  return "before";
}

constexpr std::array kAllPhases = {Phase::kBefore, Phase::kDuring, Phase::kAfter};

}  // namespace

void PhaseCounts::Add(const RequestResult& result) {
  const bool is_good = result.is_whole && !result.is_late;
  ++offered;
  good += is_good ? 1 : 0;
  late += result.is_whole && result.is_late ? 1 : 0;
  damaged += result.is_damaged ? 1 : 0;
  foreign += result.is_foreign ? 1 : 0;
  unsent += result.is_unsent ? 1 : 0;
  unanswered += !result.is_unsent && result.status == 0 ? 1 : 0;
  attempts += result.attempts;
  not_run += result.outcome == RequestOutcome::kNotRun ? 1 : 0;
  ran += result.outcome == RequestOutcome::kRan ? 1 : 0;
  unknown += result.outcome == RequestOutcome::kUnknown ? 1 : 0;
  if (result.status != 0) {
    ++statuses[result.status];
  }
  if (is_good) {
    latency.Add(result.latency);
  }
  start_delay.Add(result.start_delay);
}

void PhaseCounts::Merge(const PhaseCounts& other) {
  offered += other.offered;
  good += other.good;
  late += other.late;
  damaged += other.damaged;
  foreign += other.foreign;
  unsent += other.unsent;
  unanswered += other.unanswered;
  attempts += other.attempts;
  not_run += other.not_run;
  ran += other.ran;
  unknown += other.unknown;
  for (const auto& [status, count] : other.statuses) {
    statuses[status] += count;
  }
  latency.Merge(other.latency);
  start_delay.Merge(other.start_delay);
}

LoadReport::LoadReport(const LoadOptions& options)
    : duration_(options.duration),
      trigger_(options.trigger),
      recovery_window_(options.recovery_window),
      recovery_level_(options.recovery_level),
      counts_(options.kinds.size()) {
  for (const RequestKind& kind : options.kinds) {
    labels_.push_back(kind.label);
  }
}

void LoadReport::Add(std::size_t kind, const RequestResult& result) {
  const auto phase = static_cast<std::size_t>(PhaseOf(result.intended));
  counts_.at(kind).at(phase).Add(result);
  series_.Add(result.intended, result.is_whole && !result.is_late);
}

void LoadReport::Merge(const LoadReport& other) {
  VERIFY(counts_.size() == other.counts_.size());
  for (std::size_t kind = 0; kind < counts_.size(); ++kind) {
    for (std::size_t phase = 0; phase < kPhases; ++phase) {
      counts_[kind].at(phase).Merge(other.counts_[kind].at(phase));
    }
  }
  series_.Merge(other.series_);
}

const PhaseCounts& LoadReport::counts(std::size_t kind, Phase phase) const {
  return counts_.at(kind).at(static_cast<std::size_t>(phase));
}

PhaseCounts LoadReport::Total() const {
  PhaseCounts total;
  for (const auto& phases : counts_) {
    for (const PhaseCounts& phase : phases) {
      total.Merge(phase);
    }
  }
  return total;
}

std::optional<base::Duration> LoadReport::RecoveryTime() const {
  if (!trigger_) {
    return std::nullopt;
  }
  return series_.RecoveryTime(*trigger_, recovery_window_, recovery_level_);
}

base::Duration LoadReport::LengthOf(Phase phase) const {
  if (!trigger_) {
    return phase == Phase::kBefore ? duration_ : base::Duration::zero();
  }
  const base::Duration begin = std::min(trigger_->begin, duration_);
  const base::Duration end = std::min(trigger_->end, duration_);
  switch (phase) {
    case Phase::kBefore:
      return begin;
    case Phase::kDuring:
      return end - begin;
    case Phase::kAfter:
      return duration_ - end;
  }
  return duration_;
}

Json::Value LoadReport::ToJson() const {
  Json::Value json(Json::objectValue);
  json["kinds"] = Json::Value(Json::arrayValue);
  for (std::size_t kind = 0; kind < labels_.size(); ++kind) {
    Json::Value entry(Json::objectValue);
    entry["label"] = labels_[kind];
    for (const Phase phase : kAllPhases) {
      if (LengthOf(phase) > base::Duration::zero()) {
        entry[NameOf(phase)] = ToJson(counts(kind, phase), phase);
      }
    }
    json["kinds"].append(entry);
  }
  if (trigger_) {
    const auto recovery = RecoveryTime();
    json["recovery_ms"] = recovery ? Json::Value(ToMilliseconds(*recovery)) : Json::Value();
  }
  return json;
}

std::string LoadReport::ToJsonLine() const {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["precision"] = 6;
  return Json::writeString(builder, ToJson());
}

std::string LoadReport::ToTable() const {
  std::string table =
      fmt::format("{:<20} {:<7} {:>9} {:>10} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9}\n",
                  "kind", "phase", "offered", "goodput/s", "not-run", "ran", "unknown", "bad",
                  "p50 ms", "p90 ms", "p99 ms", "max ms");
  for (std::size_t kind = 0; kind < labels_.size(); ++kind) {
    for (const Phase phase : kAllPhases) {
      if (LengthOf(phase) <= base::Duration::zero()) {
        continue;
      }
      const PhaseCounts& row = counts(kind, phase);
      table += fmt::format(
          "{:<20} {:<7} {:>9} {:>10.1f} {:>8} {:>8} {:>8} {:>8} {:>9.2f} {:>9.2f} {:>9.2f} "
          "{:>9.2f}\n",
          labels_[kind], NameOf(phase), row.offered, PerSecond(row.good, LengthOf(phase)),
          row.not_run, row.ran, row.unknown, row.damaged + row.foreign,
          ToMilliseconds(row.latency.Percentile(0.5)), ToMilliseconds(row.latency.Percentile(0.9)),
          ToMilliseconds(row.latency.Percentile(0.99)), ToMilliseconds(row.latency.maximum()));
    }
  }
  if (trigger_) {
    const auto recovery = RecoveryTime();
    table += recovery ? fmt::format("recovered after {:.0f} ms\n", ToMilliseconds(*recovery))
                      : std::string("not recovered by the end of the run\n");
  }
  return table;
}

Phase LoadReport::PhaseOf(base::Duration intended) const {
  if (!trigger_ || intended < trigger_->begin) {
    return Phase::kBefore;
  }
  return intended < trigger_->end ? Phase::kDuring : Phase::kAfter;
}

Json::Value LoadReport::ToJson(const PhaseCounts& counts, Phase phase) const {
  Json::Value json(Json::objectValue);
  const auto put = [&](const char* name, std::uint64_t value) {
    json[name] = static_cast<Json::UInt64>(value);
  };
  put("offered", counts.offered);
  put("good", counts.good);
  put("late", counts.late);
  put("damaged", counts.damaged);
  put("foreign", counts.foreign);
  put("unsent", counts.unsent);
  put("unanswered", counts.unanswered);
  put("attempts", counts.attempts);
  put("not_run", counts.not_run);
  put("ran", counts.ran);
  put("unknown", counts.unknown);
  json["offered_per_second"] = PerSecond(counts.offered, LengthOf(phase));
  json["goodput_per_second"] = PerSecond(counts.good, LengthOf(phase));
  json["p50_ms"] = ToMilliseconds(counts.latency.Percentile(0.5));
  json["p90_ms"] = ToMilliseconds(counts.latency.Percentile(0.9));
  json["p99_ms"] = ToMilliseconds(counts.latency.Percentile(0.99));
  json["max_ms"] = ToMilliseconds(counts.latency.maximum());
  json["start_delay_p99_ms"] = ToMilliseconds(counts.start_delay.Percentile(0.99));
  json["statuses"] = Json::Value(Json::objectValue);
  for (const auto& [status, count] : counts.statuses) {
    json["statuses"][std::to_string(status)] = static_cast<Json::UInt64>(count);
  }
  return json;
}

}  // namespace borageloft::workbench
