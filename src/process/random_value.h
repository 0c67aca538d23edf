#ifndef PROCESS_RANDOM_VALUE_H_
#define PROCESS_RANDOM_VALUE_H_

#include <cstdint>

namespace mangodoor {

/** Returns a random number, uniform over all 64-bit values. */
uint64_t RandomValue();

}  // namespace mangodoor

#endif  // PROCESS_RANDOM_VALUE_H_
