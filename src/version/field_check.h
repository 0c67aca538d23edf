#ifndef VERSION_FIELD_CHECK_H_
#define VERSION_FIELD_CHECK_H_

#include <chrono>
#include <string>
#include <vector>

#include "version/document_limits.h"
#include "version/endpoint.h"
#include "version/fault.h"

namespace mangodoor {

/** The path of a field, and the list to which its faults are added. */
struct FieldContext {
  std::string path;
  std::vector<Fault>& faults;
};

/** Describes a range, for example "an integer from 1 to 10". */
std::string DescribeRange(const Range<int64_t>& range);
/** Describes a range, for example "a number from 0.5 to 10". */
std::string DescribeRange(const Range<double>& range);

void CheckRange(const FieldContext& context,
                int64_t value,
                const Range<int64_t>& range);
/** NaN is outside every range. */
void CheckRange(const FieldContext& context,
                double value,
                const Range<double>& range);
void CheckRange(const FieldContext& context,
                std::chrono::milliseconds value,
                const Range<int64_t>& range_ms);

/**
 * Accepts only letters, digits, '.', '_' and '-', so that names are safe in
 * every output.
 */
void CheckName(const FieldContext& context, const std::string& name);

/** Accepts a path without query that does not begin with kReservedPath. */
void CheckPathPrefix(const FieldContext& context, const std::string& prefix);

/**
 * Accepts a lower-case host name without port, or empty text for all hosts.
 */
void CheckHost(const FieldContext& context, const std::string& host);

/**
 * Accepts the SHA-256 digest of a key. A fault never shows the value, which may
 * be the key itself.
 */
void CheckDigest(const FieldContext& context, const std::string& digest);

/**
 * Rejects an empty address, 0.0.0.0, :: and port 0. Whether the address is a
 * valid IP is not checked.
 */
void CheckEndpoint(const FieldContext& context, const Endpoint& endpoint);

}  // namespace mangodoor

#endif  // VERSION_FIELD_CHECK_H_
