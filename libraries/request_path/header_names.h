#ifndef BORAGELOFT_REQUEST_PATH_HEADER_NAMES_H_
#define BORAGELOFT_REQUEST_PATH_HEADER_NAMES_H_

#include <string>

namespace borageloft::request_path {

/** Header names that callers and upstreams of a deployment use. */
struct HeaderNames {
  /** Id of one attempt of a caller; echoed by the upstream. */
  std::string request_id = "Borageloft-Request-Id";
  /** Milliseconds that the sender still waits. */
  std::string timeout_ms = "Borageloft-Timeout-Ms";
  /** Instance that alone may run the request. */
  std::string expected_instance = "Borageloft-Expected-Instance";
  /** Set by an upstream on an answer to a request that it did not run. */
  std::string not_run = "Borageloft-Not-Run";
  /** Set by an upstream on every answer that it made; an answer without it is not the upstream's.
   * Empty if the upstreams set none. */
  std::string seal = "";
  /** Service on the host where the request began. */
  std::string caller_service = "Borageloft-Caller-Service";
  /** Requests running, requests waiting and slots of the upstream. */
  std::string upstream_load = "Borageloft-Upstream-Load";
  /** Set by an upstream on its health answers: the instance that answers. Empty if the upstreams
   * set none. */
  std::string instance = "";
};

}  // namespace borageloft::request_path

#endif  // BORAGELOFT_REQUEST_PATH_HEADER_NAMES_H_
