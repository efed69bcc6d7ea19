#ifndef BORAGELOFT_REQUEST_PATH_HEADER_NAMES_H_
#define BORAGELOFT_REQUEST_PATH_HEADER_NAMES_H_

#include <string>

namespace borageloft::request_path {

/** HTTP header names that the callers and upstreams of a deployment use. */
struct HeaderNames {
  /** Id of one attempt of a caller; the upstream returns it with the answer. */
  std::string request_id = "Borageloft-Request-Id";
  /** Milliseconds until the sender stops waiting. */
  std::string timeout_ms = "Borageloft-Timeout-Ms";
  /** The only instance that may run the request. */
  std::string expected_instance = "Borageloft-Expected-Instance";
  /** Set by an upstream on an answer to a request that it did not run. */
  std::string not_run = "Borageloft-Not-Run";
  /** Set by an upstream on every answer that it produces itself; a success without it comes from
   * something else. Empty if the upstreams set no such header. */
  std::string seal = "";
  /** Service on the host that sent the request. */
  std::string caller_service = "Borageloft-Caller-Service";
  /** Running requests, waiting requests and slots of the upstream, separated by commas. A fourth
   * figure, if there is one, states how long work takes on its machine in percent of the usual. */
  std::string upstream_load = "Borageloft-Upstream-Load";
  /** Requests per second, a decimal number, that the upstream takes from all nodes together for as
   * long as its answers name it. */
  std::string upstream_rate_limit = "Borageloft-Upstream-Rate-Limit";
  /** Set to "1" by an upstream that is leaving on all of its answers. */
  std::string upstream_leaving = "Borageloft-Upstream-Leaving";
  /** Key of the caller's client account; never passed on. */
  std::string account_key = "Borageloft-Account-Key";
  /** Name of the client account that holds the caller's key; passed to upstreams. */
  std::string account = "Borageloft-Account";
  /** Set by an upstream on its health answers: the id of its instance. Empty if the upstreams set
   * no such header. */
  std::string instance = "";
};

}  // namespace borageloft::request_path

#endif  // BORAGELOFT_REQUEST_PATH_HEADER_NAMES_H_
