#include "process/registry/io/patch_codec.h"

#include <zstd.h>

#include <memory>

namespace mangodoor {
namespace {

// A window of 4 MiB covers a base and a value of kMaxPatchedBytes each.
constexpr int kWindowLog = 22;

// Patches are made on small machines, and the base gives most of the gain.
constexpr int kLevel = 1;

// The table of this level is too small to find most parts of a base of a
// megabyte. This one takes 512 KiB of memory while a patch is made.
constexpr int kHashLog = 17;

struct FreeCompressor {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
};

struct FreeDecompressor {
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

using Compressor = std::unique_ptr<ZSTD_CCtx, FreeCompressor>;
using Decompressor = std::unique_ptr<ZSTD_DCtx, FreeDecompressor>;

/** Null if there is no memory for it. */
Compressor MakeCompressor(std::string_view base) {
  Compressor compressor(ZSTD_createCCtx());
  if (!compressor)
    return nullptr;
  const auto set = [&compressor](ZSTD_cParameter parameter, int value) {
    return ZSTD_isError(
        ZSTD_CCtx_setParameter(compressor.get(), parameter, value));
  };
  // The checksum shows a base that differs from the sender's.
  if (set(ZSTD_c_compressionLevel, kLevel) ||
      set(ZSTD_c_windowLog, kWindowLog) || set(ZSTD_c_hashLog, kHashLog) ||
      set(ZSTD_c_checksumFlag, 1) ||
      ZSTD_isError(
          ZSTD_CCtx_refPrefix(compressor.get(), base.data(), base.size())))
    return nullptr;
  return compressor;
}

}  // namespace

std::optional<std::string> EncodePatch(std::string_view base,
                                       std::string_view value) {
  const Compressor compressor = MakeCompressor(base);
  if (!compressor)
    return std::nullopt;
  std::string patch(value.size() / 2, '\0');
  const size_t size = ZSTD_compress2(compressor.get(), patch.data(),
                                     patch.size(), value.data(), value.size());
  if (ZSTD_isError(size))
    return std::nullopt;
  patch.resize(size);
  patch.shrink_to_fit();
  return patch;
}

std::optional<std::string> DecodePatch(std::string_view base,
                                       std::string_view patch) {
  const unsigned long long size =
      ZSTD_getFrameContentSize(patch.data(), patch.size());
  // The codes for an unknown size and for an error exceed the limit.
  if (size > kMaxPatchedBytes)
    return std::nullopt;
  const Decompressor decompressor(ZSTD_createDCtx());
  if (!decompressor || ZSTD_isError(ZSTD_DCtx_refPrefix(
                           decompressor.get(), base.data(), base.size())))
    return std::nullopt;
  std::string value(size, '\0');
  const size_t decoded =
      ZSTD_decompressDCtx(decompressor.get(), value.data(), value.size(),
                          patch.data(), patch.size());
  if (ZSTD_isError(decoded) || decoded != size)
    return std::nullopt;
  return value;
}

}  // namespace mangodoor
