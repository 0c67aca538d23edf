#ifndef TESTS_CONNECTION_SERVER_BYTES_GEN_H_
#define TESTS_CONNECTION_SERVER_BYTES_GEN_H_

#include <rapidcheck.h>

#include "connection/server_bytes.h"

namespace mangodoor {

/** Generates scenarios that shrink towards correct responses. */
rc::Gen<Scenario> GenScenario();

}  // namespace mangodoor

#endif  // TESTS_CONNECTION_SERVER_BYTES_GEN_H_
