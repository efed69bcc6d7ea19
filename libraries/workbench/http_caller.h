#ifndef BORAGELOFT_WORKBENCH_HTTP_CALLER_H_
#define BORAGELOFT_WORKBENCH_HTTP_CALLER_H_

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/workbench/address.h"
#include "libraries/workbench/http_listener.h"

namespace borageloft::workbench {

/** Request to send. */
struct HttpCall {
  std::string method = "GET";
  std::string path = "/";
  HttpHeaders headers = {};
  std::string body = {};
  base::Duration timeout = std::chrono::seconds(5);  ///< For connecting, and for each read.
};

/** Answer to a call. */
struct HttpAnswer {
  int status = 0;
  std::string outcome = {};  ///< Value of the header Borageloft-Outcome; empty if it is missing.
  std::string body = {};
};

/** Sends requests to one address over keep-alive connections. Thread-safe. */
class HttpCaller {
 public:
  explicit HttpCaller(Address address);
  ~HttpCaller();
  HttpCaller(const HttpCaller&) = delete;
  HttpCaller& operator=(const HttpCaller&) = delete;

  /** @return The answer, or nothing if none arrived complete in time. */
  std::optional<HttpAnswer> Call(const HttpCall& call);

  /** @return Address that requests go to. */
  const Address& address() const { return address_; }

 private:
  class Connection;

  std::unique_ptr<Connection> TakeIdle();

  Address address_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Connection>> idle_;
};

}  // namespace borageloft::workbench

#endif  // BORAGELOFT_WORKBENCH_HTTP_CALLER_H_
