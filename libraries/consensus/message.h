#ifndef BORAGELOFT_CONSENSUS_MESSAGE_H_
#define BORAGELOFT_CONSENSUS_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libraries/consensus/entry.h"
#include "libraries/consensus/membership.h"
#include "libraries/consensus/types.h"

namespace borageloft::consensus {

/** Requests a vote, or asks whether a vote would be granted (pre-vote). */
struct VoteRequest {
  bool is_pre_vote = false;
  /** Set when the leader requested this election by a TransferRequest. */
  bool is_transfer = false;
  Index last_index = 0;
  Term last_term = 0;
  bool operator==(const VoteRequest&) const = default;
};

/** Response to a VoteRequest. */
struct VoteResponse {
  bool is_pre_vote = false;
  bool is_granted = false;
  bool operator==(const VoteResponse&) const = default;
};

/** Carries entries that follow the entry (previous_index, previous_term). */
struct AppendRequest {
  Index previous_index = 0;
  Term previous_term = 0;
  Index commit = 0;
  /** Term of the entry at `commit`, by which the receiver verifies that its log matches. */
  Term commit_term = 0;
  std::vector<Entry> entries;
  bool operator==(const AppendRequest&) const = default;
};

/** Response to an AppendRequest, or to the chunk that completes a snapshot. */
struct AppendResponse {
  bool is_rejected = false;
  /** Highest index known to match the leader's log; unused in a rejection. */
  Index match = 0;
  /** previous_index of the rejected request. */
  Index rejected_index = 0;
  /** Highest index at which the logs may still match, and its term at the follower. */
  Index hint_index = 0;
  Term hint_term = 0;
  bool operator==(const AppendResponse&) const = default;
};

/** Keeps followers from campaigning, carries the committed index and confirms reads. */
struct Heartbeat {
  Index commit = 0;
  Term commit_term = 0;
  std::uint64_t round = 0;
  bool operator==(const Heartbeat&) const = default;
};

/** Response to a Heartbeat. */
struct HeartbeatResponse {
  std::uint64_t round = 0;
  bool operator==(const HeartbeatResponse&) const = default;
};

/** Part of a snapshot. */
struct SnapshotChunk {
  Index index = 0;
  Term term = 0;
  Membership membership;
  std::uint64_t total_bytes = 0;
  /** Hash of the complete data, which the receiver verifies before it installs the snapshot. */
  std::uint64_t checksum = 0;
  std::uint64_t offset = 0;
  std::string data;
  bool operator==(const SnapshotChunk&) const = default;
};

/** Response to a SnapshotChunk that did not complete the snapshot. */
struct SnapshotChunkResponse {
  Index index = 0;
  /** Offset of the acknowledged chunk. */
  std::uint64_t offset = 0;
  /** Offset of the next chunk that the receiver expects. */
  std::uint64_t next_offset = 0;
  bool operator==(const SnapshotChunkResponse&) const = default;
};

/** Asks the receiver to campaign immediately, because the leader transfers its leadership. */
struct TransferRequest {
  bool operator==(const TransferRequest&) const = default;
};

/** Message types in the order of their wire numbers. */
using MessageBody =
    std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse, Heartbeat,
                 HeartbeatResponse, SnapshotChunk, SnapshotChunkResponse, TransferRequest>;

/** A message between two replicas of a group. */
struct Message {
  ReplicaId from = kNoReplica;
  ReplicaId to = kNoReplica;
  Term term = 0;
  MessageBody body;
  bool operator==(const Message&) const = default;
};

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_MESSAGE_H_
