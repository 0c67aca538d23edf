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
struct FieldPlace {
  std::string path;
  std::vector<Fault>& faults;
};

/** "an integer from 1 to 10". */
std::string Allowed(const Range<int64_t>& range);
/** "a number from 0.5 to 10". */
std::string Allowed(const Range<double>& range);

void CheckRange(const FieldPlace& place,
                int64_t value,
                const Range<int64_t>& range);
/** NaN is outside every range. */
void CheckRange(const FieldPlace& place,
                double value,
                const Range<double>& range);
void CheckRange(const FieldPlace& place,
                std::chrono::milliseconds value,
                const Range<int64_t>& range_ms);

/** Letters, digits, '.', '_' and '-', so that it is safe in every output. */
void CheckName(const FieldPlace& place, const std::string& name);

/** A path prefix without query, and outside the reserved path. */
void CheckPathPrefix(const FieldPlace& place, const std::string& prefix);

/** Name of a host without port; empty stands for all hosts. */
void CheckHost(const FieldPlace& place, const std::string& host);

/** The SHA-256 of a key. Never shows the value: it may be the key itself. */
void CheckDigest(const FieldPlace& place, const std::string& digest);

/** The text of an address that one host can listen on and be reached at. */
void CheckEndpoint(const FieldPlace& place, const Endpoint& endpoint);

}  // namespace mangodoor

#endif  // VERSION_FIELD_CHECK_H_
