#include "process/random_value.h"

#include <random>

namespace mangodoor {

uint64_t RandomValue() {
  thread_local std::mt19937_64 generator(std::random_device{}());
  return generator();
}

}  // namespace mangodoor
