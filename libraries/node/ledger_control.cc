#include "libraries/node/ledger_control.h"

#include <algorithm>
#include <utility>

#include "libraries/node/ledger_layout.h"

namespace borageloft::node {

LedgerControl::LedgerControl(const NodeServices& services, const storage::DataFolder& folder,
                             GroupHub& hub)
    : services_(services) {
  for (LedgerGroupHosts& group : LayOutLedgerGroups(services.settings)) {
    if (std::find(group.hosts.begin(), group.hosts.end(), services.settings.node) ==
        group.hosts.end()) {
      continue;
    }
    auto member = std::make_unique<Member>();
    ledger::LedgerState& state = member->state;
    replication::StateMachine machine;
    machine.apply = [&state](consensus::Index, const std::string& command) {
      return state.Apply(std::string_view(command));
    };
    machine.snapshot = [&state] { return state.Snapshot(); };
    machine.restore = [&state](const std::string& data) {
      if (data.empty()) {
        state = ledger::LedgerState();
      } else {
        state.Restore(data);
      }
    };
    member->group = std::make_unique<ControlGroup>(
        services, folder, hub, group.name, std::move(group.hosts), std::move(machine),
        [this](const std::string& command) { return Prepare(command); });
    members_.emplace(group.name, std::move(member));
  }
}

void LedgerControl::Start() {
  for (const auto& [name, member] : members_) {
    member->group->Start();
  }
}

void LedgerControl::Tick() {
  for (const auto& [name, member] : members_) {
    member->group->Tick();
  }
}

std::map<std::string, ControlGroupStatus> LedgerControl::status() const {
  std::map<std::string, ControlGroupStatus> statuses;
  for (const auto& [name, member] : members_) {
    statuses.emplace(name, member->group->status());
  }
  return statuses;
}

// The time of the ledger comes from the control hosts alone: a node whose clock is wrong could
// otherwise make the ledger forget keys that are still within their window. A batch that does not
// decode is refused here, since the state machine must not throw.
std::optional<std::string> LedgerControl::Prepare(const std::string& command) const {
  try {
    ledger::CommandBatch batch = ledger::DecodeBatch(command);
    const base::WallTime now = services_.wall_clock();
    const base::Duration difference = now - batch.proposed_at;
    if (difference > ledger::kClockSkew || difference < -ledger::kClockSkew) {
      base::Log(base::LogLevel::kWarning, "ledger_batch_refused",
                {{"error", "the clocks of node and control host differ too much"},
                 {"difference_s", std::chrono::duration<double>(difference).count()}});
      return std::nullopt;
    }
    batch.proposed_at = now;
    return ledger::EncodeBatch(batch);
  } catch (const ledger::LedgerError& error) {
    base::Log(base::LogLevel::kWarning, "ledger_batch_refused", {{"error", error.what()}});
    return std::nullopt;
  }
}

}  // namespace borageloft::node
