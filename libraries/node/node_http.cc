#include "libraries/node/node_http.h"

#include <utility>

namespace borageloft::node {

namespace {

http::HttpResponse PlainText(int status, std::string text) {
  return {status, {{"Content-Type", "text/plain; version=0.0.4"}}, std::move(text)};
}

}  // namespace

LocalHttp::LocalHttp(RequestEntry& entry, UpstreamGate& gate, LocalPages pages)
    : entry_(entry), announce_(gate), pages_(std::move(pages)) {}

http::HttpResponse LocalHttp::Handle(const http::HttpRequest& request) {
  // A request that names its service in a header may use any path.
  if (!http::FindHeader(request.headers, http::kServiceHeader).empty()) {
    return entry_.Handle(request, CallerKind::kUpstream);
  }
  if (request.target == AnnounceApi::kPath) {
    return announce_.Handle(request);
  }
  if (request.target == "/healthz") {
    return PlainText(200, "ok\n");
  }
  if (request.target == "/readyz") {
    const bool is_ready = pages_.is_ready();
    return PlainText(is_ready ? 200 : 503, is_ready ? "ready\n" : "not ready\n");
  }
  if (request.target == "/metrics") {
    return PlainText(200, pages_.metrics());
  }
  return entry_.Handle(request, CallerKind::kUpstream);
}

}  // namespace borageloft::node
