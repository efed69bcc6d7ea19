#ifndef BORAGELOFT_WORKBENCH_ADDRESS_H_
#define BORAGELOFT_WORKBENCH_ADDRESS_H_

#include <string>
#include <string_view>

namespace borageloft::workbench {

/** IP number and TCP port of an HTTP server. */
struct Address {
  std::string host = "127.0.0.1";
  int port = 0;  ///< On a listener, 0 lets the kernel choose a free port.

  /**
   * @param text "host:port", for example "127.0.0.1:8080".
   * @throws Error If the text has no port or the port is outside 0 to 65535.
   */
  static Address Parse(std::string_view text);

  /** @return "host:port". */
  std::string ToString() const;
};

}  // namespace borageloft::workbench

#endif  // BORAGELOFT_WORKBENCH_ADDRESS_H_
