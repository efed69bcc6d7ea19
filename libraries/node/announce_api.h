#ifndef BORAGELOFT_NODE_ANNOUNCE_API_H_
#define BORAGELOFT_NODE_ANNOUNCE_API_H_

#include <optional>

#include "libraries/http/http.h"
#include "libraries/node/upstream_gate.h"

namespace borageloft::node {

/** The upstream's announcement over HTTP: PUT and DELETE of /v1/upstream. */
class AnnounceApi {
 public:
  static constexpr const char* kPath = "/v1/upstream";

  explicit AnnounceApi(UpstreamGate& gate) : gate_(gate) {}

  /** Answers a request for kPath. */
  http::HttpResponse Handle(const http::HttpRequest& request);

 private:
  http::HttpResponse Announce(const std::string& body);

  UpstreamGate& gate_;
};

/**
 * Parses the JSON body of an announcement.
 * @param error Receives the reason when the body is refused.
 * @return The announcement, or nothing when a field is missing, unknown or of the wrong type.
 */
std::optional<membership::Announcement> ParseAnnouncement(const std::string& body,
                                                          std::string& error);

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_ANNOUNCE_API_H_
