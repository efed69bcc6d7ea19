#include "libraries/mesh/departure_keeper.h"

#include <algorithm>
#include <utility>

namespace borageloft::mesh {

DepartureKeeper::DepartureKeeper(std::string node, std::uint64_t epoch,
                                 directory::LocalInstance& instance, DepartureKeeperHooks hooks)
    : node_(std::move(node)), epoch_(epoch), instance_(instance), hooks_(std::move(hooks)) {}

void DepartureKeeper::Start() {
  instance_.AwaitDepartures();
  Send({});
}

void DepartureKeeper::Record(const directory::Incarnation& departed, RecordCallback callback) {
  if (IsRecorded(departed)) {
    callback(RecordOutcome::kRecorded);
    return;
  }
  pending_.push_back({departed, hooks_.clock() + kTimeout, std::move(callback)});
  Send(departed);
}

void DepartureKeeper::Poll() {
  if (!has_recalled_) {
    Send({});
  }
  const base::TimePoint now = hooks_.clock();
  const auto expired =
      std::stable_partition(pending_.begin(), pending_.end(),
                            [now](const Pending& pending) { return now < pending.due; });
  std::vector<Pending> unknown(std::make_move_iterator(expired),
                               std::make_move_iterator(pending_.end()));
  pending_.erase(expired, pending_.end());
  std::vector<directory::Incarnation> sent;
  for (const Pending& pending : pending_) {
    if (std::find(sent.begin(), sent.end(), pending.departed) == sent.end()) {
      sent.push_back(pending.departed);
      Send(pending.departed);
    }
  }
  for (const Pending& pending : unknown) {
    base::Log(base::LogLevel::kWarning, "departure_unconfirmed",
              {{"instance", pending.departed.instance},
               {"born", static_cast<Json::UInt64>(pending.departed.born)}});
    pending.callback(RecordOutcome::kUnknown);
  }
}

void DepartureKeeper::Receive(const directory::DepartureAnswer& answer) {
  // An answer to an earlier process may lack what was recorded since.
  if (answer.epoch != epoch_) {
    return;
  }
  recorded_ = answer.departed;
  if (!has_recalled_) {
    has_recalled_ = true;
    base::Log(base::LogLevel::kInfo, "departures_recalled",
              {{"count", static_cast<Json::UInt64>(recorded_.size())}});
    instance_.RecallDepartures(recorded_);
  }
  const auto confirmed = std::stable_partition(
      pending_.begin(), pending_.end(),
      [this](const Pending& pending) { return !IsRecorded(pending.departed); });
  std::vector<Pending> completed(std::make_move_iterator(confirmed),
                                 std::make_move_iterator(pending_.end()));
  pending_.erase(confirmed, pending_.end());
  for (const Pending& pending : completed) {
    pending.callback(RecordOutcome::kRecorded);
  }
}

bool DepartureKeeper::IsRecorded(const directory::Incarnation& departed) const {
  return std::find(recorded_.begin(), recorded_.end(), departed) != recorded_.end();
}

void DepartureKeeper::Send(const directory::Incarnation& departed) {
  hooks_.send(directory::Encode(directory::DepartureRequest{node_, epoch_, departed, false}));
}

}  // namespace borageloft::mesh
