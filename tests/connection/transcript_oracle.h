#ifndef TESTS_CONNECTION_TRANSCRIPT_ORACLE_H_
#define TESTS_CONNECTION_TRANSCRIPT_ORACLE_H_

#include <string>
#include <vector>

#include "connection/transcript.h"

namespace mangodoor {

/**
 * What breaks the rules of docs/design.md 1.2, I6 to I8; empty if nothing does:
 * a caller reads only whole responses to its own requests in order, or a stated
 * error of the instance, or an end that shows that the response is incomplete.
 * An error that says "not run" is true. A request that is not idempotent is
 * received once, unless the server said that it was not run.
 */
std::vector<std::string> FindViolations(const Transcript& transcript);

/** Number of responses of servers that callers have read completely. */
int ForwardedResponses(const Transcript& transcript);

}  // namespace mangodoor

#endif  // TESTS_CONNECTION_TRANSCRIPT_ORACLE_H_
