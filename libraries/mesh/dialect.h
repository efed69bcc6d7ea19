#ifndef BORAGELOFT_MESH_DIALECT_H_
#define BORAGELOFT_MESH_DIALECT_H_

#include <functional>
#include <string>
#include <variant>

#include "libraries/declaration/declaration.h"
#include "libraries/directory/directory.h"
#include "libraries/http_stream/http_stream.h"
#include "libraries/request_path/request_path.h"

namespace borageloft::mesh {

/** Readiness check: whether the node accepts requests. */
struct ReadinessCall {};

/** Heartbeat of an instance. */
struct HeartbeatCall {
  directory::Heartbeat heartbeat;
};

/** An instance announces that it is leaving and will send no further heartbeats. */
struct LeaveCall {
  directory::Incarnation incarnation;  ///< Its start is 0 if the call does not state it.
};

/** An operator's request to replace the declaration. */
struct ReplaceCall {
  declaration::ReplaceCommand command;
  declaration::Declaration declaration;
};

/** An operator's request to read the newest declaration. */
struct ReadCall {};

/** A call that is rejected, with the HTTP status and the reason to answer with. */
struct RefusedCall {
  unsigned status = 0;
  std::string reason;
};

/** Any call to a node's own interfaces, as opposed to a request for an upstream. */
using NodeCall =
    std::variant<ReadinessCall, HeartbeatCall, LeaveCall, ReplaceCall, ReadCall, RefusedCall>;

/** Protocol adapter of a deployment: header names, formats and decoders, without any policy. */
struct Dialect {
  request_path::HeaderNames headers;
  /** Content type of the bodies that the node itself generates. */
  std::string content_type;
  /** Body that acknowledges a call. */
  std::string acknowledgement;
  /** Decodes a call to a node's own interfaces. */
  std::function<NodeCall(const http_stream::RequestMessage& message)> decode_call;
  /**
   * Decodes the text of an accepted declaration.
   * @throws declaration::DeclarationError if the text is malformed.
   */
  std::function<declaration::Declaration(const std::string& text)> decode_declaration;
};

}  // namespace borageloft::mesh

#endif  // BORAGELOFT_MESH_DIALECT_H_
