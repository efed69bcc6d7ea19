#ifndef BORAGELOFT_HTTP_BOUNDED_STREAM_H_
#define BORAGELOFT_HTTP_BOUNDED_STREAM_H_

#include <httplib.h>

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "libraries/base/base.h"

namespace borageloft::http {

/**
 * Socket stream of one connection that bounds each message read in bytes and time as a whole.
 * cpp-httplib bounds single reads only, so that a peer that sends a byte a second, or headers
 * without end, would hold a thread for as long as it likes.
 */
class BoundedStream : public httplib::Stream {
 public:
  explicit BoundedStream(socket_t socket) : socket_(socket) {}

  /**
   * Waits for the first byte of the next request.
   * @return Whether one arrived in time; false also when the connection ended.
   */
  bool WaitForRequest(base::Duration timeout);

  /** Starts the bounds of one request. */
  void BeginRequest(std::size_t maximum_bytes, base::Duration read_timeout,
                    base::Duration write_timeout);

  /** @param observer Called with the bytes of each read, in order. */
  void set_read_observer(std::function<void(std::string_view)> observer) {
    read_observer_ = std::move(observer);
  }

  /** @return Whether the request was cut off because it was too long or came too slowly. */
  bool has_exceeded_bounds() const { return has_exceeded_bounds_; }

  /** @return Whether bytes were received that nobody read. */
  bool has_unread() const { return position_ < filled_; }

  /** @return Whether the peer closed its connection. */
  bool IsPeerGone() const;

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* data, std::size_t size) override;
  ssize_t write(const char* data, std::size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return socket_; }

 private:
  bool WaitFor(short events, base::TimePoint deadline) const;
  ssize_t Fill();

  socket_t socket_;
  std::array<char, 16 * 1024> buffer_;
  std::size_t position_ = 0;
  std::size_t filled_ = 0;
  std::size_t remaining_bytes_ = 0;
  bool has_exceeded_bounds_ = false;
  base::TimePoint read_deadline_;
  base::Duration write_timeout_{};
  std::function<void(std::string_view)> read_observer_;
};

}  // namespace borageloft::http

#endif  // BORAGELOFT_HTTP_BOUNDED_STREAM_H_
