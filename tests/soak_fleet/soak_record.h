#ifndef TESTS_SOAK_FLEET_SOAK_RECORD_H_
#define TESTS_SOAK_FLEET_SOAK_RECORD_H_

#include <map>
#include <string>
#include <vector>

#include "process/clock.h"
#include "standins/lib/response_body.h"

namespace mangodoor {

/** A request as its caller saw it. */
struct ObservedRequest {
  std::string id;
  std::string method = "GET";
  /** With the query. */
  std::string path;
  /** Hash of the request's body. */
  size_t sent_body_hash = DigestOf("").hash;
  bool idempotent = true;
  int instance = 0;
  TimePoint sent_at{};
  TimePoint ended_at{};
  /** 0 if no complete response arrived. */
  int status = 0;
  /** The request that the response belongs to, if it says so. */
  std::string response_id;
  std::string signature;
  BodyDigest body;
  /** The reason if bytes arrived that are not a response; otherwise empty. */
  std::string malformed;
};

/** Bytes that arrived at a caller although no request waited for a response. */
struct StrayBytes {
  /** The last request of the connection. */
  std::string after_id;
  std::string bytes;
};

/** A request that shows whether a version is in force at an instance. */
struct VersionCheck {
  int instance = 0;
  /** Number of restarts of the instance before the check. */
  int incarnation = 0;
  uint64_t version = 0;
  TimePoint sent_at{};
  /**
   * A response without the version counts as a violation only if it arrived
   * before the version was replaced.
   */
  TimePoint answered_at{};
  bool in_force = false;
};

/**
 * A published version: when the store acknowledged it, and when the next one
 * was sent to the store.
 */
struct PublishedVersion {
  uint64_t version = 0;
  TimePoint acked_at{};
  TimePoint replaced_at = TimePoint::max();
};

/**
 * A period in which a fault affects one instance or all of them. The time
 * limits for new versions and evacuations do not apply then and shortly after.
 */
struct FaultPeriod {
  static constexpr int kAllInstances = -1;
  int instance = kAllInstances;
  TimePoint from{};
  TimePoint to = TimePoint::max();
};

/** Evacuation of a zone by an operator. */
struct Evacuation {
  int zone = 0;
  TimePoint acked_at{};
  TimePoint lifted_at = TimePoint::max();
};

/** A run of a request, as its server saw it. */
struct ServerRun {
  int zone = 0;
  std::string method = "GET";
  std::string path;
  size_t body_hash = DigestOf("").hash;
};

/** The status with which a server answered a request that ran. */
struct AnsweredStatus {
  std::string server_id;
  int status = 0;
};

/** A process of an instance: its index and the number of restarts before it. */
using InstanceProcess = std::pair<int, int>;

/** Everything that callers, servers and the operator observed. */
struct SoakRecord {
  /** Violations state times from here, as the plan of the faults does. */
  TimePoint started_at{};
  std::vector<ObservedRequest> requests;
  std::vector<VersionCheck> version_checks;
  std::vector<PublishedVersion> published;
  std::vector<FaultPeriod> fault_periods;
  std::vector<Evacuation> evacuations;
  std::vector<StrayBytes> stray_bytes;
  /** By request id. */
  std::multimap<std::string, ServerRun> runs;
  std::multimap<std::string, AnsweredStatus> responses;
  /** In bytes. */
  std::map<InstanceProcess, uint64_t> peak_memory;
  /** Keys that reached servers. Must be 0. */
  int keys_seen = 0;
};

/** Checks the guarantees given to users. Returns a line for each violation. */
std::vector<std::string> FindViolations(const SoakRecord& record);

}  // namespace mangodoor

#endif  // TESTS_SOAK_FLEET_SOAK_RECORD_H_
