#ifndef PROCESS_REGISTRY_STORE_REVISION_H_
#define PROCESS_REGISTRY_STORE_REVISION_H_

#include <cstdint>

namespace mangodoor {

/**
 * A state of the platform's store. Each change raises the number. A store that
 * was restored from an older copy begins a new era, in which numbers are used
 * again: the same number can be another change then.
 */
struct StoreRevision {
  uint64_t era = 0;
  uint64_t number = 0;

  constexpr StoreRevision() = default;
  // Stores that were never restored have numbers only.
  // NOLINTNEXTLINE(google-explicit-constructor)
  constexpr StoreRevision(uint64_t number) : number(number) {}
  constexpr StoreRevision(uint64_t era, uint64_t number)
      : era(era), number(number) {}
};

constexpr bool operator==(const StoreRevision& a, const StoreRevision& b) {
  return a.era == b.era && a.number == b.number;
}
constexpr bool operator!=(const StoreRevision& a, const StoreRevision& b) {
  return !(a == b);
}
/** True if `a` is the older state. */
constexpr bool operator<(const StoreRevision& a, const StoreRevision& b) {
  return a.era != b.era ? a.era < b.era : a.number < b.number;
}
constexpr bool operator>(const StoreRevision& a, const StoreRevision& b) {
  return b < a;
}
constexpr bool operator<=(const StoreRevision& a, const StoreRevision& b) {
  return !(b < a);
}
constexpr bool operator>=(const StoreRevision& a, const StoreRevision& b) {
  return !(a < b);
}

}  // namespace mangodoor

#endif  // PROCESS_REGISTRY_STORE_REVISION_H_
