#ifndef PROCESS_COUNTERS_H_
#define PROCESS_COUNTERS_H_

#include <array>
#include <atomic>
#include <cstdint>

#include "connection/response_fault.h"
#include "process/duration_histogram.h"
#include "process/error_kind.h"

namespace mangodoor {

constexpr size_t kErrorKindCount =
    static_cast<size_t>(ErrorKind::kInternal) + 1;

/**
 * Counters and histograms of the data path, the peer connections and the
 * configuration reads. They never decrease.
 */
struct Counters {
  std::atomic<uint64_t> caller_connections{0};
  std::atomic<uint64_t> requests{0};
  std::atomic<uint64_t> answered{0};
  std::array<std::atomic<uint64_t>, kErrorKindCount> errors{};
  std::atomic<uint64_t> retries{0};
  std::atomic<uint64_t> hedges{0};
  std::atomic<uint64_t> cancelled{0};
  std::atomic<uint64_t> backend_connections{0};
  std::atomic<uint64_t> backend_reuses{0};
  /** Faulty responses of backend servers, by ResponseFault. */
  std::array<std::atomic<uint64_t>, kResponseFaultCount> response_faults{};
  std::atomic<uint64_t> probes{0};
  std::atomic<uint64_t> peer_messages_sent{0};
  std::atomic<uint64_t> peer_messages_received{0};
  std::atomic<uint64_t> peer_bytes_sent{0};
  std::atomic<uint64_t> peer_bytes_received{0};
  std::atomic<uint64_t> peer_messages_dropped{0};
  std::atomic<uint64_t> peer_protocol_errors{0};
  std::atomic<uint64_t> configuration_reads{0};
  /** Time from the arrival of a request's header to the end of the request. */
  DurationHistogram request_times;
  /** Time that each attempt waited for a server to be chosen; 0 for a hedge. */
  DurationHistogram server_waits;
  /** Time from the choice of the server to the end of each attempt. */
  DurationHistogram attempt_times;
};

}  // namespace mangodoor

#endif  // PROCESS_COUNTERS_H_
