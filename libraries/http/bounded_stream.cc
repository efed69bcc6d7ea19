#include "libraries/http/bounded_stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace borageloft::http {

namespace {

base::TimePoint Now() { return base::SystemClock()(); }

void ReadAddress(const sockaddr_storage& storage, std::string& ip, int& port) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (storage.ss_family == AF_INET) {
    const auto* address = reinterpret_cast<const sockaddr_in*>(&storage);
    inet_ntop(AF_INET, &address->sin_addr, text.data(), text.size());
    port = ntohs(address->sin_port);
  } else if (storage.ss_family == AF_INET6) {
    const auto* address = reinterpret_cast<const sockaddr_in6*>(&storage);
    inet_ntop(AF_INET6, &address->sin6_addr, text.data(), text.size());
    port = ntohs(address->sin6_port);
  }
  ip = text.data();
}

}  // namespace

bool BoundedStream::WaitForRequest(base::Duration timeout) {
  return position_ < filled_ || (WaitFor(POLLIN, Now() + timeout) && !IsPeerGone());
}

void BoundedStream::BeginRequest(std::size_t maximum_bytes, base::Duration read_timeout,
                                 base::Duration write_timeout) {
  remaining_bytes_ = maximum_bytes;
  read_deadline_ = Now() + read_timeout;
  write_timeout_ = write_timeout;
}

bool BoundedStream::IsPeerGone() const {
  char byte = 0;
  const ssize_t count = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool BoundedStream::is_readable() const {
  return position_ < filled_ || WaitFor(POLLIN, read_deadline_);
}

bool BoundedStream::is_writable() const { return WaitFor(POLLOUT, Now() + write_timeout_); }

ssize_t BoundedStream::read(char* data, std::size_t size) {
  if (position_ == filled_) {
    const ssize_t count = Fill();
    if (count <= 0) {
      return count;
    }
  }
  const std::size_t count = std::min({size, filled_ - position_, remaining_bytes_});
  if (count == 0) {
    has_exceeded_bounds_ = true;
    return -1;
  }
  std::memcpy(data, buffer_.data() + position_, count);
  position_ += count;
  remaining_bytes_ -= count;
  if (read_observer_) {
    read_observer_({data, count});
  }
  return static_cast<ssize_t>(count);
}

ssize_t BoundedStream::write(const char* data, std::size_t size) {
  if (!is_writable()) {
    return -1;
  }
  return ::send(socket_, data, size, MSG_NOSIGNAL);
}

void BoundedStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  if (getpeername(socket_, reinterpret_cast<sockaddr*>(&storage), &length) == 0) {
    ReadAddress(storage, ip, port);
  }
}

void BoundedStream::get_local_ip_and_port(std::string& ip, int& port) const {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  if (getsockname(socket_, reinterpret_cast<sockaddr*>(&storage), &length) == 0) {
    ReadAddress(storage, ip, port);
  }
}

bool BoundedStream::WaitFor(short events, base::TimePoint deadline) const {
  while (true) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - Now()).count();
    if (left <= 0) {
      return false;
    }
    pollfd entry{socket_, events, 0};
    const int count = ::poll(&entry, 1, static_cast<int>(left));
    if (count > 0) {
      return true;
    }
    if (count < 0 && errno != EINTR) {
      return false;
    }
  }
}

ssize_t BoundedStream::Fill() {
  if (!WaitFor(POLLIN, read_deadline_)) {
    has_exceeded_bounds_ = true;
    return -1;
  }
  const ssize_t count = ::recv(socket_, buffer_.data(), buffer_.size(), 0);
  position_ = 0;
  filled_ = count > 0 ? static_cast<std::size_t>(count) : 0;
  return count;
}

}  // namespace borageloft::http
