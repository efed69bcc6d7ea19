#include "review/stand_ins/case.h"

#include <cstdio>
#include <cstdlib>

namespace borageloft::review {

namespace {

/** Returns a configuration up to its list of hosts. */
std::string Head(std::uint64_t version, const std::string& service) {
  return R"({"version":"r)" + std::to_string(version) + R"(","services":[{"name":")" + service +
         R"(","health_path":"/health","max_conns":500,"protocol":"h1","tls":false}],)" +
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)" +
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"hosts":[)";
}

}  // namespace

int RunCase(int argument_count, char** arguments,
            const std::function<Verdict(const CaseInput& input)>& body) {
  if (argument_count < 2) {
    std::fprintf(stderr, "usage: %s FOLDER\n", arguments[0]);
    return static_cast<int>(Verdict::kCannotRun);
  }
  const char* trouble = std::getenv("TROUBLE");
  Record record(std::string(arguments[1]) + "/record.txt");
  Verdict verdict = Verdict::kCannotRun;
  try {
    verdict = body({record, trouble == nullptr || std::string(trouble) != "0"});
  } catch (const std::exception& error) {
    record.Write(std::string("cannot run: ") + error.what());
    std::fprintf(stderr, "cannot run: %s\n", error.what());
  }
  const char* text = verdict == Verdict::kHeld     ? "the rule held"
                     : verdict == Verdict::kBroken ? "the rule was broken"
                                                   : "the case could not run";
  record.Write(text);
  std::printf("%s\n", text);
  return static_cast<int>(verdict);
}

std::string MakeConfiguration(std::uint64_t version, const std::string& service,
                              std::chrono::milliseconds timeout) {
  const std::string common = R"("timeout_ms":)" + std::to_string(timeout.count()) +
                             R"(,"target_latency_ms":1500,"service":")" + service +
                             R"(","attempts":2})";
  return Head(version, service) + R"({"host":"shop.example","paths":[)" +
         R"({"name":"safe","path_prefix":"/safe/","kind":"safe","priority":1,)" + common +
         R"(,{"name":"once","path_prefix":"/once/","kind":"unsafe","priority":0,)" + common +
         "]}]}";
}

std::string MakeLargeConfiguration(std::uint64_t version, const std::string& service,
                                   std::size_t routes) {
  std::string text = Head(version, service);
  for (std::size_t i = 0; i < routes; ++i) {
    const std::string number = std::to_string(100000 + i);
    text += (i > 0 ? "," : "") + (R"({"host":"ho)" + number) +
            R"(.example","paths":[{"name":"r-n)" + number + R"(","path_prefix":"/p)" + number +
            R"(/","kind":"safe","timeout_ms":1000,"target_latency_ms":1500,"priority":2,)" +
            R"("service":")" + service + R"(","attempts":2}]})";
  }
  return text + "]}";
}

}  // namespace borageloft::review
