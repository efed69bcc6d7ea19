#include "libraries/ledger/key_table.h"

#include <algorithm>
#include <utility>

namespace borageloft::ledger {

namespace {

constexpr std::chrono::seconds kBucketWidth{10};

}  // namespace

std::int64_t KeyTable::BucketOf(const IdempotencyKey& key) {
  return key.timestamp() / kBucketWidth;
}

std::size_t KeyTable::Bucket::SlotOf(const IdempotencyKey& key) const {
  std::size_t slot = key.Hash() & (index.size() - 1);
  while (index[slot] != 0 && settled[index[slot] - 1].key != key) {
    slot = (slot + 1) & (index.size() - 1);
  }
  return slot;
}

const SettledKey* KeyTable::Bucket::Find(const IdempotencyKey& key) const {
  if (index.empty()) {
    return nullptr;
  }
  const std::uint32_t place = index[SlotOf(key)];
  return place == 0 ? nullptr : &settled[place - 1];
}

void KeyTable::Bucket::Add(SettledKey key) {
  if ((settled.size() + 1) * 4 > index.size() * 3) {
    GrowIndex();
  }
  VERIFY(settled.size() < UINT32_MAX);
  settled.push_back(key);
  index[SlotOf(key.key)] = static_cast<std::uint32_t>(settled.size());
}

void KeyTable::Bucket::GrowIndex() {
  constexpr std::size_t kSmallestIndex = 8;
  index.assign(std::max(kSmallestIndex, index.size() * 2), 0);
  for (std::size_t i = 0; i < settled.size(); ++i) {
    index[SlotOf(settled[i].key)] = static_cast<std::uint32_t>(i + 1);
  }
}

const OpenGrant* KeyTable::FindOpen(const IdempotencyKey& key) const {
  const auto bucket = buckets_.find(BucketOf(key));
  if (bucket == buckets_.end()) {
    return nullptr;
  }
  const auto found = bucket->second.open.find(key);
  return found == bucket->second.open.end() ? nullptr : &found->second;
}

const SettledKey* KeyTable::FindSettled(const IdempotencyKey& key) const {
  const auto bucket = buckets_.find(BucketOf(key));
  return bucket == buckets_.end() ? nullptr : bucket->second.Find(key);
}

std::optional<std::string> KeyTable::AnswerOf(const SettledKey& settled) const {
  const Bucket& bucket = buckets_.at(BucketOf(settled.key));
  if (settled.answer <= bucket.dropped_answers) {
    return std::nullopt;
  }
  return bucket.answers[settled.answer - bucket.dropped_answers - 1];
}

void KeyTable::AddOpen(const IdempotencyKey& key, const OpenGrant& grant) {
  Bucket& bucket = buckets_[BucketOf(key)];
  // One grant per key ever: a settled key was granted before, or was closed to grants.
  VERIFY(bucket.Find(key) == nullptr);
  const bool is_new = bucket.open.emplace(key, grant).second;
  VERIFY(is_new);
  ++open_count_;
}

void KeyTable::Settle(const IdempotencyKey& key, RequestDigest digest, KeyOutcome outcome,
                      std::optional<std::string> answer) {
  Bucket& bucket = buckets_[BucketOf(key)];
  VERIFY(bucket.Find(key) == nullptr);
  open_count_ -= bucket.open.erase(key);
  SettledKey settled{.key = key, .digest = digest, .outcome = outcome, .answer = 0};
  if (answer) {
    VERIFY(outcome == KeyOutcome::kFinished);
    answer_bytes_ += answer->size();
    bucket.answers.push_back(std::move(*answer));
    settled.answer = bucket.dropped_answers + static_cast<std::uint32_t>(bucket.answers.size());
    oldest_with_answers_ = std::min(oldest_with_answers_, BucketOf(key));
  }
  bucket.Add(settled);
  ++settled_count_;
}

std::size_t KeyTable::Bucket::DropAnswers() {
  std::size_t bytes = 0;
  for (const std::string& answer : answers) {
    bytes += answer.size();
  }
  dropped_answers += static_cast<std::uint32_t>(answers.size());
  answers.clear();
  return bytes;
}

void KeyTable::MakeRoomForAnswer(std::size_t bytes, std::size_t maximum) {
  auto bucket = buckets_.lower_bound(oldest_with_answers_);
  while (bucket != buckets_.end() && answer_bytes_ + bytes > maximum) {
    answer_bytes_ -= bucket->second.DropAnswers();
    ++bucket;
  }
  oldest_with_answers_ = bucket == buckets_.end() ? INT64_MAX : bucket->first;
}

void KeyTable::ForgetBefore(base::WallTime time) {
  const std::int64_t first_kept = time.time_since_epoch() / kBucketWidth;
  while (!buckets_.empty() && buckets_.begin()->first < first_kept) {
    Bucket& bucket = buckets_.begin()->second;
    open_count_ -= bucket.open.size();
    settled_count_ -= bucket.settled.size();
    answer_bytes_ -= bucket.DropAnswers();
    buckets_.erase(buckets_.begin());
  }
}

void KeyTable::Visit(const std::function<void(const IdempotencyKey&, const OpenGrant&)>& on_open,
                     const std::function<void(const SettledKey&)>& on_settled) const {
  for (const auto& [number, bucket] : buckets_) {
    // Hash tables of equal content may differ in order, so the order is made by key.
    std::vector<const std::pair<const IdempotencyKey, OpenGrant>*> open;
    open.reserve(bucket.open.size());
    for (const auto& entry : bucket.open) {
      open.push_back(&entry);
    }
    std::sort(open.begin(), open.end(),
              [](const auto* a, const auto* b) { return a->first < b->first; });
    for (const auto* entry : open) {
      on_open(entry->first, entry->second);
    }
    std::vector<const SettledKey*> settled;
    settled.reserve(bucket.settled.size());
    for (const SettledKey& entry : bucket.settled) {
      settled.push_back(&entry);
    }
    std::sort(settled.begin(), settled.end(),
              [](const SettledKey* a, const SettledKey* b) { return a->key < b->key; });
    for (const SettledKey* entry : settled) {
      on_settled(*entry);
    }
  }
}

}  // namespace borageloft::ledger
