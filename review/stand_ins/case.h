#ifndef BORAGELOFT_REVIEW_STAND_INS_CASE_H_
#define BORAGELOFT_REVIEW_STAND_INS_CASE_H_

#include <functional>
#include <string>

#include "review/stand_ins/deployment.h"
#include "review/stand_ins/record.h"

namespace borageloft::review {

/** Result of a case, which is also the exit status of its program. */
enum class Verdict { kHeld = 0, kBroken = 1, kCannotRun = 2 };

/** What a case is given. */
struct CaseInput {
  Record& record;
  bool has_trouble = true;  ///< Whether the disruption is made.
};

/**
 * Runs a case in the root of the repository. Its folder is the first argument; with TROUBLE=0 in
 * the environment it runs without the disruption.
 * @param body The case.
 * @return Exit status.
 */
int RunCase(int argument_count, char** arguments,
            const std::function<Verdict(const CaseInput& input)>& body);

/**
 * @param version Version of the configuration.
 * @param service Service of the two routes.
 * @param timeout Time limit of both routes.
 * @return A configuration with a safe route /safe/ and an unsafe route /once/ of the host
 *     "shop.example".
 */
std::string MakeConfiguration(std::uint64_t version, const std::string& service,
                              std::chrono::milliseconds timeout);

/**
 * @param version Version of the configuration.
 * @param service Service of all routes.
 * @param routes Number of routes, each of a host of its own.
 * @return A configuration with many routes.
 */
std::string MakeLargeConfiguration(std::uint64_t version, const std::string& service,
                                   std::size_t routes);

}  // namespace borageloft::review

#endif  // BORAGELOFT_REVIEW_STAND_INS_CASE_H_
