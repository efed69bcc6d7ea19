#ifndef BORAGELOFT_LEDGER_KEY_TABLE_H_
#define BORAGELOFT_LEDGER_KEY_TABLE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/ledger/ledger_command.h"

namespace borageloft::ledger {

/** A grant whose outcome is not known yet. */
struct OpenGrant {
  NodeId node{};
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  RequestDigest digest{};
  base::WallTime deadline;
};

/** Final outcome of a key. */
enum class KeyOutcome : std::uint8_t { kFinished, kNotRun };

/** A key whose outcome is known. */
struct SettledKey {
  IdempotencyKey key;
  RequestDigest digest{};
  KeyOutcome outcome = KeyOutcome::kNotRun;
  std::uint32_t answer = 0;  ///< Number of its answer in the bucket, from 1; 0 for none.
};

/**
 * Keys by the time they carry, in buckets of ten seconds, so that forgetting is the removal of
 * whole buckets. A key is either open or settled, never both. Settled keys, which are nearly all,
 * are kept in compact form: the window of a day makes memory per key the ledger's main cost.
 */
class KeyTable {
 public:
  /** @return The open grant of a key, or nullptr. */
  const OpenGrant* FindOpen(const IdempotencyKey& key) const;
  /** @return The settled key, or nullptr. */
  const SettledKey* FindSettled(const IdempotencyKey& key) const;
  /** @return The stored answer of a settled key, or nothing if none was stored or it was dropped.
   */
  std::optional<std::string> AnswerOf(const SettledKey& settled) const;

  /** Adds a grant for a key that must be in neither state. */
  void AddOpen(const IdempotencyKey& key, const OpenGrant& grant);
  /** Settles a key; its open grant, if any, ends. The key must not be settled already. */
  void Settle(const IdempotencyKey& key, RequestDigest digest, KeyOutcome outcome,
              std::optional<std::string> answer);
  /**
   * Drops stored answers, the oldest buckets first, until @p bytes more fit into @p maximum; the
   * keys stay finished. Old answers go first because resends mostly follow within seconds.
   */
  void MakeRoomForAnswer(std::size_t bytes, std::size_t maximum);
  /** Forgets the keys of all buckets that end before @p time. */
  void ForgetBefore(base::WallTime time);

  /** @return Number of keys. */
  std::size_t size() const { return open_count_ + settled_count_; }
  /** @return Number of open grants. */
  std::size_t open_count() const { return open_count_; }
  /** @return Bytes of all stored answers. */
  std::size_t answer_bytes() const { return answer_bytes_; }

  /** Visits the keys bucket by bucket in an order that depends only on the keys held. */
  void Visit(const std::function<void(const IdempotencyKey&, const OpenGrant&)>& on_open,
             const std::function<void(const SettledKey&)>& on_settled) const;

 private:
  struct Bucket {
    std::unordered_map<IdempotencyKey, OpenGrant, IdempotencyKeyHash> open;
    std::deque<SettledKey> settled;    // A deque wastes no memory on growth.
    std::vector<std::uint32_t> index;  // Open addressing; place in settled plus one, 0 is free.
    std::deque<std::string> answers;
    std::uint32_t dropped_answers = 0;  // Answers numbered up to this are gone.

    std::size_t SlotOf(const IdempotencyKey& key) const;
    const SettledKey* Find(const IdempotencyKey& key) const;
    void Add(SettledKey key);
    void GrowIndex();
    std::size_t DropAnswers();
  };

  static std::int64_t BucketOf(const IdempotencyKey& key);

  std::map<std::int64_t, Bucket> buckets_;
  std::int64_t oldest_with_answers_ = INT64_MAX;  // No bucket before it holds answers.
  std::size_t open_count_ = 0;
  std::size_t settled_count_ = 0;
  std::size_t answer_bytes_ = 0;
};

}  // namespace borageloft::ledger

#endif  // BORAGELOFT_LEDGER_KEY_TABLE_H_
