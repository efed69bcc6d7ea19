#include "libraries/request_path/upstream_pool.h"

#include <algorithm>
#include <utility>

#include "libraries/request_path/upstream_connection.h"

namespace borageloft::request_path {

UpstreamPool::UpstreamPool(asio::io_context& context, UpstreamPoolOptions options,
                           const HeaderNames& names, std::function<void()> on_unreachable,
                           std::function<void()> on_other_instance)
    : context_(context),
      options_(std::move(options)),
      names_(names),
      on_unreachable_(std::move(on_unreachable)),
      on_other_instance_(std::move(on_other_instance)) {}

UpstreamPool::~UpstreamPool() {
  while (!all_.empty()) {
    (*all_.begin())->Close();
  }
}

CancelHook UpstreamPool::Run(wire::Request request, base::TimePoint deadline,
                             ResponseHandler handler) {
  std::shared_ptr<UpstreamConnection> connection = TakeIdle(request.context.root);
  if (connection == nullptr) {
    connection = std::make_shared<UpstreamConnection>(*this);
    all_.insert(connection);
    ++counters_.connections_opened;
  } else {
    ++counters_.reused;
  }
  const std::weak_ptr<UpstreamConnection> weak = connection;
  // By the time of a cancel, the request may have ended and its connection may carry another one.
  auto is_ended = std::make_shared<bool>(false);
  connection->Run(std::move(request), deadline,
                  [is_ended, handler = std::move(handler)](wire::Response response) {
                    *is_ended = true;
                    handler(std::move(response));
                  });
  return [weak, is_ended] {
    const auto target = weak.lock();
    if (target != nullptr && !*is_ended) {
      target->Close();
    }
  };
}

void UpstreamPool::AskHealth(
    const std::string& path, base::TimePoint deadline,
    std::function<void(const http_stream::ResponseMessage& answer)> handler) {
  wire::Request request;
  request.method = "GET";
  request.path = path;
  request.headers.push_back({"Host", settings::FormatEndpoint(options_.endpoint)});
  const auto connection = std::make_shared<UpstreamConnection>(*this);
  all_.insert(connection);
  ++counters_.connections_opened;
  connection->Run(
      std::move(request), deadline,
      [handler = std::move(handler)](wire::Response response) {
        http_stream::ResponseMessage answer;
        answer.status = response.status;
        answer.fields = std::move(response.headers);
        handler(answer);
      },
      AnswerCheck::kNone);
}

std::shared_ptr<UpstreamConnection> UpstreamPool::TakeIdle(const std::string& request_id) {
  const base::TimePoint now = base::SystemClock()();
  for (std::size_t i = idle_.size(); i > 0; --i) {
    std::shared_ptr<UpstreamConnection> connection = idle_[i - 1];
    if (!connection->is_open() || connection->usable_until() <= now) {
      connection->Close();  // Also removes it from the idle ones.
    } else if (!connection->HasRefused(request_id)) {
      idle_.erase(idle_.begin() + static_cast<std::ptrdiff_t>(i - 1));
      return connection;
    }
  }
  return nullptr;
}

void UpstreamPool::Return(const std::shared_ptr<UpstreamConnection>& connection) {
  idle_.push_back(connection);
}

void UpstreamPool::Remove(const std::shared_ptr<UpstreamConnection>& connection) {
  std::erase(idle_, connection);
  all_.erase(connection);
}

void UpstreamPool::DropIdle() {
  while (!idle_.empty()) {
    idle_.back()->Close();
  }
}

}  // namespace borageloft::request_path
