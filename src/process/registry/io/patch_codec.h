#ifndef PROCESS_REGISTRY_IO_PATCH_CODEC_H_
#define PROCESS_REGISTRY_IO_PATCH_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

namespace mangodoor {

/** Limit on a value that results from a patch. */
constexpr size_t kMaxPatchedBytes = 2 * 1024 * 1024;

/**
 * Encodes `value` as its difference from `base`, which can be empty. No result
 * if it would be longer than half of the value.
 */
std::optional<std::string> EncodePatch(std::string_view base,
                                       std::string_view value);

/**
 * Returns the value that results from a patch. No result if the patch does not
 * apply to `base` or the value is longer than kMaxPatchedBytes.
 */
std::optional<std::string> DecodePatch(std::string_view base,
                                       std::string_view patch);

}  // namespace mangodoor

#endif  // PROCESS_REGISTRY_IO_PATCH_CODEC_H_
