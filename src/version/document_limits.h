#ifndef VERSION_DOCUMENT_LIMITS_H_
#define VERSION_DOCUMENT_LIMITS_H_

#include <cstddef>
#include <cstdint>

namespace mangodoor {

/** An inclusive range. */
template <typename Number>
struct Range {
  Number lowest;
  Number highest;
};

// The configuration service holds values up to 1 MB.
constexpr size_t kMaxDocumentBytes = 1000000;

// Common JSON parsers do not represent integers above 2^53 exactly.
constexpr Range<int64_t> kVersionRange{1, int64_t{1} << 53};

constexpr size_t kMaxNameLength = 64;
constexpr size_t kMaxPathLength = 1024;
constexpr size_t kMaxHostLength = 253;
constexpr size_t kDigestLength = 64;

// The instance itself answers requests for paths below this prefix.
constexpr char kReservedPath[] = "/.well-known/mangodoor";

constexpr Range<int64_t> kSlotsRange{1, 10000};
constexpr Range<int64_t> kConnectionLimitRange{1, 1000000};
constexpr Range<int64_t> kColdConcurrencyRange{1, 10000};
constexpr Range<int64_t> kRampRangeMs{0, 3600000};
constexpr Range<int64_t> kColdMaxRangeMs{1000, 3600000};
// The lowest value is one probe in 100 s: without probes, a server that gets no
// requests would stay cold for its cold_max_ms after each fault.
constexpr Range<double> kProbeBudgetRange{0.01, 1000};
constexpr Range<int64_t> kQueueLimitRange{1, 100000};
constexpr Range<int64_t> kTimeoutRangeMs{1, 3600000};
constexpr Range<int64_t> kTargetLatencyRangeMs{0, 3600000};
constexpr Range<int64_t> kMaxAttemptsRange{1, 100};
constexpr Range<int64_t> kPriorityRange{0, 1000};
constexpr Range<int64_t> kPartWeightRange{0, 1000000};
constexpr Range<int64_t> kColdTimeRangeMs{0, 3600000};
constexpr Range<double> kColdRateRange{0, 1000000};

constexpr Range<int64_t> kHeaderBytesRange{256, 1048576};
constexpr Range<int64_t> kBodyBytesRange{0, int64_t{1} << 53};
constexpr Range<int64_t> kHeaderTimeRangeMs{1, 3600000};
constexpr Range<int64_t> kIdleTimeRangeMs{1, 3600000};

// The upper limits keep products of micro-tokens within 64 bits.
constexpr Range<double> kRateRange{0.001, 10000000};
constexpr Range<int64_t> kBurstRange{1, 100000000};
constexpr Range<int64_t> kWeightRange{1, 1000};

constexpr Range<int64_t> kAdmissionWaitRangeMs{0, 60000};
constexpr Range<int64_t> kAddressKeepRangeMs{100, 3600000};

}  // namespace mangodoor

#endif  // VERSION_DOCUMENT_LIMITS_H_
