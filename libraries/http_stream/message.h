#ifndef BORAGELOFT_HTTP_STREAM_MESSAGE_H_
#define BORAGELOFT_HTTP_STREAM_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

#include "libraries/wire/wire.h"

namespace borageloft::http_stream {

/** Header fields in the order in which they were received. */
using Fields = std::vector<wire::Header>;

/** @return Value of the first field whose name is @p name, ignoring case, or null without one. */
const std::string* FindField(const Fields& fields, std::string_view name);

/** @return Size of all names and values in bytes. */
std::size_t SizeOf(const Fields& fields);

/** Removes every field whose name is @p name, ignoring case. */
void RemoveField(Fields& fields, std::string_view name);

/** Removes every field whose name is @p name, ignoring case, and appends one with @p value. */
void SetField(Fields& fields, std::string_view name, std::string value);

/**
 * Removes the connection fields: the hop-by-hop fields, those listed in the Connection field, and
 * Content-Length and Expect.
 */
void RemoveConnectionFields(Fields& fields);

/** @return Whether two header names or host names are equal, ignoring ASCII case. */
bool EqualsIgnoreCase(std::string_view left, std::string_view right);

/** A complete HTTP request. */
struct RequestMessage {
  /** IP address of the peer that sent the request; empty if the request was not received. */
  std::string source;
  std::string method;
  std::string target;
  Fields fields;
  std::string body;
  bool keeps_alive = true;
};

/** A complete HTTP response. */
struct ResponseMessage {
  unsigned status = 0;
  Fields fields;
  std::string body;
  bool keeps_alive = true;
};

/** Whether the connection stays open for another exchange after this one. */
enum class Persistence { kKeepAlive, kClose };

/** Whether the body of a response is written; a response to HEAD has none. */
enum class BodyUse { kWrite, kOmit };

/**
 * @return The bytes of a request, with a Content-Length field where one is needed. The connection
 *         fields of @p request must have been removed.
 */
std::string SerializeRequest(const RequestMessage& request);

/**
 * @return The bytes of a response, with Content-Length, and with `Connection: close` if
 *         @p persistence says so. The connection fields of @p response must have been removed.
 */
std::string SerializeResponse(const ResponseMessage& response, Persistence persistence,
                              BodyUse body_use = BodyUse::kWrite);

/** @return The standard reason phrase of @p status. */
std::string_view ReasonPhrase(unsigned status);

}  // namespace borageloft::http_stream

#endif  // BORAGELOFT_HTTP_STREAM_MESSAGE_H_
