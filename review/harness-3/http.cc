#include "review/harness-3/http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <utility>

namespace review {

namespace {

using Time = std::chrono::steady_clock::time_point;

sockaddr_in ToSystem(const Address& address) {
  sockaddr_in system{};
  system.sin_family = AF_INET;
  system.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &system.sin_addr);
  return system;
}

bool Wait(int descriptor, short events, Time deadline) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - std::chrono::steady_clock::now());
  if (left.count() < 0) {
    return false;
  }
  pollfd waited{descriptor, events, 0};
  return poll(&waited, 1, static_cast<int>(left.count()) + 1) > 0;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
  return text;
}

std::string Trim(const std::string& text) {
  const std::size_t first = text.find_first_not_of(" \t");
  return first == std::string::npos ? ""
                                    : text.substr(first, text.find_last_not_of(" \t") + 1 - first);
}

// Parses the head of a message; the first line holds a method or a status.
Message ParseHead(const std::string& head) {
  Message message;
  std::size_t begin = 0;
  for (bool is_first = true; begin < head.size(); is_first = false) {
    const std::size_t end = std::min(head.find("\r\n", begin), head.size());
    const std::string line = head.substr(begin, end - begin);
    begin = end + 2;
    if (!is_first) {
      const std::size_t colon = std::min(line.find(':'), line.size());
      message.fields[Lower(line.substr(0, colon))] =
          colon < line.size() ? Trim(line.substr(colon + 1)) : "";
    } else if (line.rfind("HTTP/", 0) == 0) {
      message.status = std::atoi(line.c_str() + line.find(' ') + 1);
    } else {
      const std::size_t space = line.find(' ');
      message.method = line.substr(0, space);
      message.target = line.substr(space + 1, line.rfind(' ') - space - 1);
    }
  }
  return message;
}

std::string HeadFields(const Fields& fields) {
  std::string bytes;
  for (const auto& [name, value] : fields) {
    bytes += name + ": " + value + "\r\n";
  }
  return bytes;
}

}  // namespace

std::string Message::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

Socket::Socket(Socket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)), input_(std::move(other.input_)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    Close();
    descriptor_ = std::exchange(other.descriptor_, -1);
    input_ = std::move(other.input_);
  }
  return *this;
}

Socket Socket::Connect(const Address& to, std::chrono::milliseconds limit) {
  Socket opened(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in system = ToSystem(to);
  fcntl(opened.descriptor_, F_SETFL, O_NONBLOCK);
  const int result = connect(opened.descriptor_, reinterpret_cast<const sockaddr*>(&system),
                             static_cast<socklen_t>(sizeof(system)));
  int error = result == 0 ? 0 : errno;
  if (error == EINPROGRESS) {
    socklen_t size = sizeof(error);
    const bool is_done =
        Wait(opened.descriptor_, POLLOUT, std::chrono::steady_clock::now() + limit);
    getsockopt(opened.descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
    error = is_done ? error : ETIMEDOUT;
  }
  if (error != 0) {
    opened.Close();
    return opened;
  }
  fcntl(opened.descriptor_, F_SETFL, 0);
  const int on = 1;
  setsockopt(opened.descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return opened;
}

bool Socket::Write(const std::string& bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count =
        send(descriptor_, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(count);
  }
  return true;
}

bool Socket::ReadSome(Time deadline) {
  char buffer[16384];
  if (!Wait(descriptor_, POLLIN, deadline)) {
    return false;
  }
  const ssize_t count = recv(descriptor_, buffer, sizeof(buffer), 0);
  if (count <= 0) {
    return false;
  }
  input_.append(buffer, static_cast<std::size_t>(count));
  return true;
}

std::optional<Message> Socket::ReadMessage(std::chrono::milliseconds limit) {
  const Time deadline = std::chrono::steady_clock::now() + limit;
  std::size_t head_end = input_.find("\r\n\r\n");
  while (head_end == std::string::npos) {
    if (!is_open() || !ReadSome(deadline)) {
      return std::nullopt;
    }
    head_end = input_.find("\r\n\r\n");
  }
  Message message = ParseHead(input_.substr(0, head_end));
  input_.erase(0, head_end + 4);
  std::size_t length = static_cast<std::size_t>(std::atol(message.Field("content-length").c_str()));
  while (input_.size() < length) {
    if (!ReadSome(deadline)) {
      return std::nullopt;
    }
  }
  message.body = input_.substr(0, length);
  input_.erase(0, length);
  return message;
}

void Socket::Shutdown() const {
  if (is_open()) {
    shutdown(descriptor_, SHUT_RDWR);
  }
}

void Socket::Close() {
  if (is_open()) {
    close(std::exchange(descriptor_, -1));
  }
}

int Listen(const Address& at) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in system = ToSystem(at);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&system),
           static_cast<socklen_t>(sizeof(system))) != 0 ||
      listen(descriptor, 512) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

std::string RequestBytes(const std::string& method, const std::string& target,
                         const std::string& host, const Fields& fields, const std::string& body) {
  std::string bytes = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n";
  bytes += HeadFields(fields);
  if (method != "GET" || !body.empty()) {
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return bytes + "\r\n" + body;
}

std::string AnswerBytes(int status, const Fields& fields, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + HeadFields(fields) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::optional<Message> Call(const Address& to, const std::string& bytes,
                            std::chrono::milliseconds limit) {
  Socket connection = Socket::Connect(to, limit);
  if (!connection.is_open() || !connection.Write(bytes)) {
    return std::nullopt;
  }
  return connection.ReadMessage(limit);
}

}  // namespace review
