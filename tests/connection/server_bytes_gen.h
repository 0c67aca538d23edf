#ifndef TESTS_CONNECTION_SERVER_BYTES_GEN_H_
#define TESTS_CONNECTION_SERVER_BYTES_GEN_H_

#include <rapidcheck.h>

#include "connection/server_bytes.h"

namespace mangodoor {

/** Generates scenarios that shrink towards correct responses. */
rc::Gen<Scenario> GenScenario();

/** Generates long uploads that servers answer, and end, before they read them.
 */
rc::Gen<Scenario> GenEarlyEndScenario();

}  // namespace mangodoor

#endif  // TESTS_CONNECTION_SERVER_BYTES_GEN_H_
