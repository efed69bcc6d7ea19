#include "libraries/workbench/stand_in_options.h"

#include <fmt/format.h>

#include "libraries/workbench/error.h"

namespace borageloft::workbench {

namespace {

void Require(bool is_valid, const char* message) {
  if (!is_valid) {
    throw Error(message);
  }
}

}  // namespace

void StandInOptions::Check() const {
  constexpr std::size_t kMostThreads = 4096;
  constexpr std::size_t kMostAnswerBytes = 1U << 20U;
  Require(!service.empty(), "service must not be empty");
  Require(slots > 0, "slots must be at least 1");
  Require(connections > 0, "connections must be at least 1");
  Require(threads <= kMostThreads, "threads must be at most 4096");
  Require(lease >= std::chrono::milliseconds(30), "lease must be at least 30 ms");
  Require(contention >= 0, "contention must not be negative");
  Require(answer_bytes <= kMostAnswerBytes, "answer bytes must be at most 1 MiB");
  Require(cold_start >= base::Duration::zero(), "cold start must not be negative");
  Require(cold_factor > 0, "cold factor must be above 0");
  Require(downstream.empty() || node.has_value(), "downstream calls need the node's local address");
  for (const DownstreamCall& call : downstream) {
    Require(!call.service.empty() && call.path.starts_with('/'),
            "a downstream call needs a service and a path that starts with /");
  }
}

}  // namespace borageloft::workbench
