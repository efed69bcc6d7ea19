#ifndef BORAGELOFT_TESTS_SUPPORT_RAW_UPSTREAM_H_
#define BORAGELOFT_TESTS_SUPPORT_RAW_UPSTREAM_H_

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace borageloft::test_support {

/** Upstream that sends fixed bytes once for each connection. */
class RawUpstream {
 public:
  enum class End { kClose, kKeepOpen };

  explicit RawUpstream(std::string answer, End end = End::kClose)
      : answer_(std::move(answer)), end_(end) {
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    EXPECT_EQ(::bind(listener_, reinterpret_cast<sockaddr*>(&address), length), 0);
    EXPECT_EQ(::listen(listener_, 4), 0);
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Serve(); });
  }
  ~RawUpstream() {
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    ::close(listener_);
    for (const int socket : open_) {
      ::close(socket);
    }
  }
  RawUpstream(const RawUpstream&) = delete;
  RawUpstream& operator=(const RawUpstream&) = delete;
  std::uint16_t port() const { return port_; }

 private:
  void Serve() {
    int socket = 0;
    while ((socket = ::accept(listener_, nullptr, nullptr)) >= 0) {
      char buffer[4096];
      ::recv(socket, buffer, sizeof(buffer), 0);
      ::send(socket, answer_.data(), answer_.size(), MSG_NOSIGNAL);
      if (end_ == End::kKeepOpen) {
        open_.push_back(socket);
        continue;
      }
      ::shutdown(socket, SHUT_RDWR);
      ::close(socket);
    }
  }

  std::string answer_;
  End end_;
  std::vector<int> open_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::thread thread_;
};

}  // namespace borageloft::test_support

#endif  // BORAGELOFT_TESTS_SUPPORT_RAW_UPSTREAM_H_
