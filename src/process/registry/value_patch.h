#ifndef PROCESS_REGISTRY_VALUE_PATCH_H_
#define PROCESS_REGISTRY_VALUE_PATCH_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace mangodoor {

/** Values below this size are sent as they are. */
constexpr size_t kMinPatchedBytes = 4096;

/** A change of an item's value, without the parts that stay the same. */
struct ValuePatch {
  /** Revision of the item to whose value the patch applies; 0 for none. */
  uint64_t base = 0;
  /** Revision of the item that results. */
  uint64_t revision = 0;
  /** In the format of EncodePatch. */
  std::string bytes;
};

}  // namespace mangodoor

#endif  // PROCESS_REGISTRY_VALUE_PATCH_H_
