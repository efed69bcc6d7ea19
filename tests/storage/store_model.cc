#include "tests/storage/store_model.h"

#include <fmt/format.h>

namespace borageloft::storage {

std::string ExpectedState::DifferenceTo(GroupStore& store) const {
  SegmentedLog& log = store.log();
  if (log.last_index() != last_index) {
    return fmt::format("last index {}, expected {}", log.last_index(), last_index);
  }
  if (log.first_index() > dropped + 1) {
    return fmt::format("first index {}, expected at most {}", log.first_index(), dropped + 1);
  }
  const ReadResult read = log.Read(log.first_index(), SIZE_MAX);
  for (std::size_t i = 0; i < read.records.size(); ++i) {
    const auto expected = records.find(read.first_index + i);
    if (expected == records.end() || expected->second != read.records[i]) {
      return fmt::format("record {} differs", read.first_index + i);
    }
  }
  const auto loaded = store.LoadSnapshot();
  if (loaded.has_value() != snapshot.has_value() ||
      (loaded && (loaded->id != snapshot->id || loaded->content != snapshot->content))) {
    return "snapshot differs";
  }
  return store.metadata().metadata() == metadata ? "" : "metadata differs";
}

void StoreModel::Step(GroupStore& store) {
  const ExpectedState before = allowed_.front();
  ExpectedState next = before;
  allowed_ = {before};
  const std::uint64_t draw = base::DrawBelow(random_, 20);
  if (draw < 12) {
    Append(store, next);
  } else if (draw < 14 && next.last_index > next.dropped) {
    const std::uint64_t first =
        next.dropped + 1 + base::DrawBelow(random_, next.last_index - next.dropped);
    next.records.erase(next.records.lower_bound(first), next.records.end());
    next.last_index = first - 1;
    allowed_.push_back(next);
    store.log().TruncateSuffix(first);
  } else if (draw < 16 && next.last_index > next.dropped) {
    const std::uint64_t last =
        next.dropped + 1 + base::DrawBelow(random_, next.last_index - next.dropped);
    next.dropped = last;
    next.snapshot = Snapshot{{last, 1}, fmt::format("state at {}", last)};
    allowed_.push_back(next);
    store.SaveSnapshot(next.snapshot->id, next.snapshot->content);
  } else if (draw == 16) {
    const std::uint64_t index = next.last_index + 3;
    next = ExpectedState{.records = {},
                         .last_index = index,
                         .dropped = index,
                         .snapshot = Snapshot{{index, 2}, "received"},
                         .metadata = before.metadata};
    allowed_.push_back(next);
    store.InstallSnapshot({index, 2}, "received");
  } else {
    ++next.metadata.term;
    next.metadata.vote = fmt::format("host-{}", base::DrawBelow(random_, 3));
    next.metadata.incarnation += base::DrawBelow(random_, 2);
    allowed_.push_back(next);
    store.metadata().Save(next.metadata);
  }
  allowed_ = {next};
}

void StoreModel::Append(GroupStore& store, ExpectedState& next) {
  std::vector<std::string> batch(1 + base::DrawBelow(random_, 4));
  for (std::string& record : batch) {
    record = fmt::format("record {} ", ++record_number_);
    record.append(base::DrawBelow(random_, 60), 'x');
    next.records[++next.last_index] = record;
  }
  allowed_.push_back(next);
  store.log().Append(batch);
}

std::string StoreModel::Adopt(GroupStore& store) {
  std::string differences;
  for (const ExpectedState& state : allowed_) {
    const std::string difference = state.DifferenceTo(store);
    if (difference.empty()) {
      allowed_ = {ExpectedState(state)};
      return "";
    }
    differences += difference + "; ";
  }
  return differences;
}

}  // namespace borageloft::storage
