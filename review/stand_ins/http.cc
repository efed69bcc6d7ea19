#include "review/stand_ins/http.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <set>
#include <sstream>

namespace borageloft::review {

namespace {

using asio::ip::tcp;

bool EqualsIgnoreCase(const std::string& left, const std::string& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) { return tolower(a) == tolower(b); });
}

/** Takes a complete message with a Content-Length from the start of @p bytes, if there is one. */
std::optional<Message> TakeMessage(std::string& bytes) {
  const std::size_t end = bytes.find("\r\n\r\n");
  if (end == std::string::npos) {
    return std::nullopt;
  }
  Message message;
  std::istringstream lines(bytes.substr(0, end));
  std::string line;
  std::getline(lines, line);
  std::istringstream start(line);
  std::string first;
  start >> first >> message.target;
  if (first.starts_with("HTTP/")) {
    message.status = std::stoi(message.target);
  } else {
    message.method = first;
  }
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.fields.emplace_back(line.substr(0, colon),
                                value == std::string::npos ? "" : line.substr(value));
  }
  const std::string length = message.Field("Content-Length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  if (bytes.size() < end + 4 + size) {
    return std::nullopt;
  }
  message.body = bytes.substr(end + 4, size);
  bytes.erase(0, end + 4 + size);
  return message;
}

std::string Serialize(const Message& message) {
  std::string bytes = message.status > 0
                          ? "HTTP/1.1 " + std::to_string(message.status) + " Status\r\n"
                          : message.method + " " + message.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : message.fields) {
    bytes += name + ": " + value + "\r\n";
  }
  return bytes + "Content-Length: " + std::to_string(message.body.size()) + "\r\n\r\n" +
         message.body;
}

// Time between two writes of a request that is sent at a bounded rate.
constexpr std::chrono::milliseconds kWriteInterval{10};

struct Call : std::enable_shared_from_this<Call> {
  explicit Call(asio::io_context& context) : socket(context), timer(context), pace(context) {}

  void Finish(const std::optional<Message>& answer) {
    if (!handler) {
      return;
    }
    const AnswerHandler done = std::exchange(handler, nullptr);
    asio::error_code ignored;
    timer.cancel();
    pace.cancel();
    socket.close(ignored);
    done(answer);
  }

  void Write() {
    const std::size_t left = output.size() - written;
    const std::size_t step =
        bytes_per_second * static_cast<std::size_t>(kWriteInterval.count()) / 1000;
    const std::size_t size = bytes_per_second == 0 ? left : std::min(left, step);
    if (size == 0 || !handler) {
      return;
    }
    pace.expires_after(kWriteInterval);
    asio::async_write(
        socket, asio::buffer(output.data() + written, size),
        [self = shared_from_this(), size](const asio::error_code& error, std::size_t) {
          if (error) {
            self->Finish(std::nullopt);
            return;
          }
          self->written += size;
          self->pace.async_wait([self](const asio::error_code& cancelled) {
            if (!cancelled) {
              self->Write();
            }
          });
        });
  }

  void Read() {
    socket.async_read_some(
        asio::buffer(buffer),
        [self = shared_from_this()](const asio::error_code& error, std::size_t size) {
          if (error) {
            self->Finish(std::nullopt);
            return;
          }
          self->input.append(self->buffer.data(), size);
          if (const auto answer = TakeMessage(self->input)) {
            self->Finish(answer);
          } else {
            self->Read();
          }
        });
  }

  tcp::socket socket;
  asio::steady_timer timer;
  asio::steady_timer pace;
  std::array<char, 16384> buffer{};
  std::string input;
  std::string output;
  std::size_t written = 0;
  std::size_t bytes_per_second = 0;
  AnswerHandler handler;
};

}  // namespace

std::string Message::Field(const std::string& name) const {
  for (const auto& [key, value] : fields) {
    if (EqualsIgnoreCase(key, name)) {
      return value;
    }
  }
  return "";
}

void Send(asio::io_context& context, const tcp::endpoint& target, const Message& request,
          std::chrono::milliseconds limit, AnswerHandler handler, std::size_t bytes_per_second) {
  const auto call = std::make_shared<Call>(context);
  call->handler = std::move(handler);
  call->output = Serialize(request);
  call->bytes_per_second = bytes_per_second;
  call->timer.expires_after(limit);
  call->timer.async_wait([call](const asio::error_code& error) {
    if (!error) {
      call->Finish(std::nullopt);
    }
  });
  call->socket.async_connect(target, [call](const asio::error_code& error) {
    if (error) {
      call->Finish(std::nullopt);
      return;
    }
    call->Write();
    call->Read();
  });
}

struct KeptConnection::State : std::enable_shared_from_this<State> {
  explicit State(asio::io_context& context) : socket(context) {}

  void End() {
    has_ended = true;
    asio::error_code ignored;
    socket.close(ignored);
    if (const AnswerHandler done = std::exchange(handler, nullptr)) {
      done(std::nullopt);
    }
  }

  void Write() {
    if (!is_connected || output.empty()) {
      return;
    }
    sent = std::exchange(output, {});
    asio::async_write(socket, asio::buffer(sent),
                      [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                        if (error && !self->has_ended) {
                          self->End();
                        }
                      });
  }

  void Read() {
    socket.async_read_some(
        asio::buffer(buffer),
        [self = shared_from_this()](const asio::error_code& error, std::size_t size) {
          if (self->has_ended) {
            return;
          }
          if (error) {
            self->End();
            return;
          }
          self->input.append(self->buffer.data(), size);
          if (const auto answer = TakeMessage(self->input)) {
            ++self->answers;
            if (const AnswerHandler done = std::exchange(self->handler, nullptr)) {
              done(answer);
            }
            if (EqualsIgnoreCase(answer->Field("Connection"), "close")) {
              self->End();
              return;
            }
          }
          self->Read();
        });
  }

  tcp::socket socket;
  std::array<char, 16384> buffer{};
  std::string input;
  std::string output;
  std::string sent;
  AnswerHandler handler;
  int answers = 0;
  bool is_connected = false;
  bool has_ended = false;
};

KeptConnection::KeptConnection(asio::io_context& context, const tcp::endpoint& target)
    : state_(std::make_shared<State>(context)) {
  state_->socket.async_connect(target, [state = state_](const asio::error_code& error) {
    if (error) {
      state->End();
      return;
    }
    state->is_connected = true;
    state->Write();
    state->Read();
  });
}

KeptConnection::~KeptConnection() {
  state_->handler = nullptr;
  state_->End();
}

void KeptConnection::Send(const Message& request, AnswerHandler handler) {
  state_->handler = std::move(handler);
  state_->output = Serialize(request);
  state_->Write();
}

int KeptConnection::answers() const { return state_->answers; }

bool KeptConnection::has_ended() const { return state_->has_ended; }

struct Server::State : std::enable_shared_from_this<Server::State> {
  struct Connection : Exchange, std::enable_shared_from_this<Connection> {
    Connection(tcp::socket accepted, std::shared_ptr<State> state)
        : socket(std::move(accepted)), server(std::move(state)) {}

    void Read() {
      socket.async_read_some(
          asio::buffer(buffer),
          [self = shared_from_this()](const asio::error_code& error, std::size_t size) {
            if (error) {
              self->Close();
              return;
            }
            self->input.append(self->buffer.data(), size);
            self->TakeNext();
            self->Read();
          });
    }

    void TakeNext() {
      if (is_busy || !socket.is_open()) {
        return;
      }
      if (const auto request = TakeMessage(input)) {
        is_busy = true;
        server->handler(*request, shared_from_this());
      }
    }

    void Respond(const Message& response) override {
      output = Serialize(response);
      asio::async_write(socket, asio::buffer(output),
                        [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                          self->is_busy = false;
                          if (!error) {
                            self->TakeNext();
                          }
                        });
    }

    bool is_open() const override { return socket.is_open(); }

    void Close() {
      asio::error_code ignored;
      socket.close(ignored);
      server->connections.erase(shared_from_this());
    }

    tcp::socket socket;
    std::shared_ptr<State> server;
    std::array<char, 16384> buffer{};
    std::string input;
    std::string output;
    bool is_busy = false;
  };

  State(asio::io_context& context, const tcp::endpoint& address, RequestHandler request_handler)
      : acceptor(context, address), handler(std::move(request_handler)) {}

  void Accept() {
    acceptor.async_accept(
        [self = shared_from_this()](const asio::error_code& error, tcp::socket socket) {
          if (error) {
            return;
          }
          const auto connection = std::make_shared<Connection>(std::move(socket), self);
          self->connections.insert(connection);
          connection->Read();
          self->Accept();
        });
  }

  tcp::acceptor acceptor;
  RequestHandler handler;
  std::set<std::shared_ptr<Connection>> connections;
};

Server::Server(asio::io_context& context, const tcp::endpoint& address, RequestHandler handler)
    : state_(std::make_shared<State>(context, address, std::move(handler))) {
  state_->Accept();
}

Server::~Server() {
  asio::error_code ignored;
  state_->acceptor.close(ignored);
  const auto connections = state_->connections;
  for (const auto& connection : connections) {
    connection->Close();
  }
}

}  // namespace borageloft::review
