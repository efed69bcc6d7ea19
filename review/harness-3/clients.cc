#include "review/harness-3/clients.h"

namespace review {

namespace {

constexpr milliseconds kPause{20};
constexpr milliseconds kDeadline{3000};
constexpr milliseconds kLimit{3500};

}  // namespace

Clients::Clients(Record& record, Address target, int count)
    : record_(record), target_(std::move(target)) {
  for (int i = 0; i < count; ++i) {
    threads_.emplace_back([this, i] { Run(i); });
  }
}

void Clients::Stop() {
  is_ended_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

void Clients::Run(int number) {
  for (int i = 0; !is_ended_; ++i) {
    std::this_thread::sleep_for(kPause);
    if (!is_on_) {
      continue;
    }
    const std::string id = "c" + std::to_string(number) + "n" + std::to_string(i);
    const Fields fields = {{"X-Borageloft-Request-Id", id},
                           {"X-Borageloft-Deadline-Ms", std::to_string(kDeadline.count())}};
    const auto answer =
        Call(target_, RequestBytes("POST", "/claims/new", "shop.example", fields, "claim"), kLimit);
    const int status = answer ? answer->status : 0;
    record_.Write("client sent " + id + ", got " + std::to_string(status));
    ++(status == 200 ? counts_.served : status == 503 ? counts_.refused : counts_.failed);
  }
}

}  // namespace review
