#include "tests/client_limits/crowd_client.h"

#include <utility>

namespace borageloft::client_limits {

CrowdClient::CrowdClient(asio::io_context& context, CrowdPlan plan)
    : plan_(std::move(plan)), socket_(context), pause_(context) {}

void CrowdClient::Start(const std::string& address, std::uint16_t callers_port) {
  const asio::ip::tcp::endpoint target(asio::ip::make_address(address),
                                       plan_.port == 0 ? callers_port : plan_.port);
  socket_.async_connect(target, [self = shared_from_this()](const asio::error_code& error) {
    if (!error) {
      self->Write(self->plan_.head);
      if (self->plan_.reads_answers) {
        self->ReadAfterPause();
      }
    }
  });
}

void CrowdClient::Close() {
  asio::error_code ignored;
  socket_.close(ignored);
  pause_.cancel();
}

void CrowdClient::Write(std::string bytes) {
  output_ = std::move(bytes);
  asio::async_write(socket_, asio::buffer(output_),
                    [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                      if (!error && self->sent_pieces_ < self->plan_.pieces) {
                        ++self->sent_pieces_;
                        self->Write(self->plan_.piece);
                      }
                    });
}

void CrowdClient::Read() {
  socket_.async_read_some(asio::buffer(input_),
                          [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                            if (!error) {
                              self->ReadAfterPause();
                            }
                          });
}

void CrowdClient::ReadAfterPause() {
  if (plan_.read_pause == std::chrono::milliseconds::zero()) {
    Read();
    return;
  }
  pause_.expires_after(plan_.read_pause);
  pause_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error) {
      self->Read();
    }
  });
}

}  // namespace borageloft::client_limits
