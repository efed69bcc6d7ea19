#ifndef BORAGELOFT_TESTS_CLIENT_LIMITS_CROWD_CLIENT_H_
#define BORAGELOFT_TESTS_CLIENT_LIMITS_CROWD_CLIENT_H_

#include <array>
#include <asio.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace borageloft::client_limits {

/** What one client of a crowd sends. */
struct CrowdPlan {
  std::string head;
  std::string piece;       ///< Sent again and again after the head.
  std::size_t pieces = 0;  ///< After these the client stops and keeps the connection open.
  bool reads_answers = true;
  std::chrono::milliseconds read_pause{0};  ///< Before each read, of at most 4 KiB.
  std::uint16_t port = 0;                   ///< Port to connect to; 0 for that of the callers.
};

/** A client that does not keep to the limits of a node. It never closes its connection itself. */
class CrowdClient : public std::enable_shared_from_this<CrowdClient> {
 public:
  CrowdClient(asio::io_context& context, CrowdPlan plan);

  /** @param callers_port Port of the callers at @p address. */
  void Start(const std::string& address, std::uint16_t callers_port);
  void Close();

 private:
  void Write(std::string bytes);
  void Read();
  void ReadAfterPause();

  CrowdPlan plan_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer pause_;
  std::string output_;
  std::size_t sent_pieces_ = 0;
  std::array<char, 4096> input_{};
};

}  // namespace borageloft::client_limits

#endif  // BORAGELOFT_TESTS_CLIENT_LIMITS_CROWD_CLIENT_H_
