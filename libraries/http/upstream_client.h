#ifndef BORAGELOFT_HTTP_UPSTREAM_CLIENT_H_
#define BORAGELOFT_HTTP_UPSTREAM_CLIENT_H_

#include <memory>
#include <variant>

#include "libraries/http/cancellation.h"
#include "libraries/http/http_types.h"
#include "libraries/settings/settings.h"

namespace borageloft::http {

/** Why a call to the upstream brought no whole answer. */
enum class UpstreamFailure {
  kNotSent,  // No byte of the request was sent: the upstream cannot have run it.
  kUnknown,  // The request may have reached the upstream's handler.
};

using UpstreamResult = std::variant<HttpResponse, UpstreamFailure>;

/** Keep-alive connections to one upstream. Thread-safe; each call blocks its thread. */
class UpstreamClient {
 public:
  /**
   * @param endpoint Address of the upstream.
   * @param connections Most connections that are kept open while idle.
   * @param body_bytes Largest answer that is accepted.
   */
  UpstreamClient(settings::Endpoint endpoint, std::size_t connections, std::size_t body_bytes);
  ~UpstreamClient();

  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  /**
   * Runs a request.
   * @param timeout Longest time for the whole answer, and for a single write.
   * @param cancellation Ends the call when cancelled, also before or while it connects.
   * @return The whole answer or the failure. A cut answer, or one whose end cannot be known, is a
   *     failure.
   */
  UpstreamResult Execute(const HttpRequest& request, base::Duration timeout,
                         Cancellation& cancellation);

 private:
  struct State;

  std::unique_ptr<State> state_;
};

}  // namespace borageloft::http

#endif  // BORAGELOFT_HTTP_UPSTREAM_CLIENT_H_
