#ifndef BORAGELOFT_NODE_NODE_HTTP_H_
#define BORAGELOFT_NODE_NODE_HTTP_H_

#include <functional>

#include "libraries/http/http.h"
#include "libraries/node/announce_api.h"
#include "libraries/node/request_entry.h"

namespace borageloft::node {

/** What the local address answers besides requests and announcements. */
struct LocalPages {
  std::function<std::string()> metrics;  // Prometheus text.
  std::function<bool()> is_ready;        // Whether the node can serve.
};

/** Answers on the node's local address: the upstream's calls, its announcement and probes. */
class LocalHttp {
 public:
  LocalHttp(RequestEntry& entry, UpstreamGate& gate, LocalPages pages);

  http::HttpResponse Handle(const http::HttpRequest& request);

 private:
  RequestEntry& entry_;
  AnnounceApi announce_;
  LocalPages pages_;
};

}  // namespace borageloft::node

#endif  // BORAGELOFT_NODE_NODE_HTTP_H_
