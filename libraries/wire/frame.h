#ifndef BORAGELOFT_WIRE_FRAME_H_
#define BORAGELOFT_WIRE_FRAME_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libraries/wire/request_context.h"

namespace borageloft::wire {

/** Version of the protocol between nodes. Nodes of different versions refuse each other. */
constexpr std::uint32_t kProtocolVersion = 1;

/** One HTTP header field. */
struct Header {
  std::string name;
  std::string value;

  friend bool operator==(const Header&, const Header&) = default;
};

/** What is known of a request that was refused or failed. */
enum class Outcome : std::uint8_t {
  kNotRun = 0,   // No byte of it reached or can reach the upstream's handler.
  kRan = 1,      // The upstream answered.
  kUnknown = 2,  // It may have run.
};

/** @return Whether @p status is one of a final HTTP response. */
constexpr bool IsFinalStatus(unsigned status) { return status >= 200 && status <= 599; }

/** First frame in both directions of a connection. */
struct Hello {
  std::uint32_t protocol = kProtocolVersion;
  std::string node;
  std::uint64_t incarnation = 0;
  std::uint64_t generation = 0;

  friend bool operator==(const Hello&, const Hello&) = default;
};

/** Who made a request. */
enum class RequestOrigin : std::uint8_t {
  kCaller = 0,    // A caller outside of the call graph.
  kUpstream = 1,  // An upstream, on behalf of a request that it works on.
};

/** What the gate of the receiving node needs to place a request. */
struct Placement {
  std::string instance;        // Upstream instance that must run the request; empty for any.
  std::uint32_t priority = 0;  // Of the root request; 0 is the most important.
  std::uint64_t shed_key = 0;  // Equal for all requests below one root.
  RequestOrigin origin = RequestOrigin::kCaller;
  std::uint32_t attempt = 1;
  base::Duration wait_limit{};  // Longest useful wait for a slot.
  bool is_idempotent = false;
  /** Rate that the instance named when it last answered the sender, as in LoadReport. */
  std::uint32_t rate_limit_milli = 0;
  /** Client account of the root request; empty if it has none. */
  std::string account = {};

  friend bool operator==(const Placement&, const Placement&) = default;
};

/** A request for the upstream beside the receiving node. */
struct Request {
  std::uint64_t generation = 0;
  std::uint64_t stream = 0;
  std::string service;
  std::string method;
  std::string path;
  std::vector<Header> headers;
  std::string body;
  RequestContext context;
  base::Duration remaining{};
  std::string idempotency_key;
  Placement placement;

  friend bool operator==(const Request&, const Request&) = default;
};

/** State of the gate that answered; a hint for routing and for refusals at the entry. */
struct LoadReport {
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  base::Duration service_time{};
  std::uint32_t level_rank = 0;   // Admission level: the class that is admitted in part.
  std::uint32_t level_share = 0;  // Admission level: how many of its shed keys are admitted.
  bool is_leaving = false;
  /** Rate that the upstream names, in thousandths of a request per second; 0 if it names none. */
  std::uint32_t rate_limit_milli = 0;
  /** How long work takes on the upstream's machine as its last answer says, in percent of the usual
   * time; 0 if it says nothing, or said so too long ago. */
  std::uint32_t work_time_percent = 0;

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/** The whole answer to a request, or its refusal. */
struct Response {
  std::uint64_t generation = 0;
  std::uint64_t stream = 0;
  Outcome outcome = Outcome::kUnknown;
  std::uint32_t status = 0;
  std::string reason;  // Stable word for the cause of a refusal; empty for the upstream's answer.
  std::vector<Header> headers;
  std::string body;
  LoadReport load;
  std::uint32_t unspent_allowance = 0;
  base::Duration retry_after{};

  friend bool operator==(const Response&, const Response&) = default;
};

/** The caller no longer waits for the answer. */
struct Cancel {
  std::uint64_t generation = 0;
  std::uint64_t stream = 0;

  friend bool operator==(const Cancel&, const Cancel&) = default;
};

/** Heartbeat within a connection. */
struct Ping {
  std::uint64_t sequence = 0;

  friend bool operator==(const Ping&, const Ping&) = default;
};

/** Answer to a heartbeat. */
struct Pong {
  std::uint64_t sequence = 0;

  friend bool operator==(const Pong&, const Pong&) = default;
};

/** Receiver of a control message within a node. */
enum class Channel : std::uint8_t {
  kReplication = 0,
  kMembership = 1,
  kDissemination = 2,
};

/** A message of the system's own processes; its payload is decoded by the channel's library. */
struct Control {
  Channel channel = Channel::kMembership;
  std::string payload;

  friend bool operator==(const Control&, const Control&) = default;
};

/** Frames that travel compressed, as the next piece of the connection's compressed stream. */
struct Packed {
  std::string payload;

  friend bool operator==(const Packed&, const Packed&) = default;
};

/** Any frame of the protocol. The index of the alternative is the type number on the wire. */
using Frame = std::variant<Hello, Request, Response, Cancel, Ping, Pong, Control, Packed>;

}  // namespace borageloft::wire

#endif  // BORAGELOFT_WIRE_FRAME_H_
