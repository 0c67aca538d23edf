#ifndef VERSION_FIELD_CHECK_H_
#define VERSION_FIELD_CHECK_H_

#include <chrono>
#include <string>
#include <vector>

#include "version/document_limits.h"
#include "version/endpoint.h"
#include "version/fault.h"

namespace mangodoor {

/** Where a field is, and where its fault goes. */
struct FieldContext {
  std::string path;
  std::vector<Fault>& faults;
};

/** "an integer from 1 to 10". */
std::string Allowed(const Range<int64_t>& range);
/** "a number from 0.5 to 10". */
std::string Allowed(const Range<double>& range);

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

/** Letters, digits, '.', '_' and '-', so that it is safe in every output. */
void CheckName(const FieldContext& context, const std::string& name);

/** A path prefix without query, and outside the reserved path. */
void CheckPathPrefix(const FieldContext& context, const std::string& prefix);

/** Name of a host without port; empty stands for all hosts. */
void CheckHost(const FieldContext& context, const std::string& host);

/** The SHA-256 of a key. Never shows the value: it may be the key itself. */
void CheckDigest(const FieldContext& context, const std::string& digest);

/** The text of an address that one host can listen on and be reached at. */
void CheckEndpoint(const FieldContext& context, const Endpoint& endpoint);

}  // namespace mangodoor

#endif  // VERSION_FIELD_CHECK_H_
