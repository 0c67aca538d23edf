#ifndef TESTS_SOAK_FLEET_SOAK_RECORD_H_
#define TESTS_SOAK_FLEET_SOAK_RECORD_H_

#include <map>
#include <string>
#include <vector>

#include "process/clock.h"

namespace mangodoor {

/** A request as its caller saw it. */
struct ObservedRequest {
  std::string id;
  std::string path;
  bool idempotent = true;
  int instance = 0;
  TimePoint sent_at{};
  TimePoint ended_at{};
  /** 0 if no complete response arrived. */
  int status = 0;
  std::string body;
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

/** How often a request ran at one server. */
struct ServerRuns {
  int zone = 0;
  int count = 0;
};

/** Everything that callers, servers and the operator observed. */
struct SoakRecord {
  std::vector<ObservedRequest> requests;
  std::vector<VersionCheck> version_checks;
  std::vector<PublishedVersion> published;
  std::vector<FaultPeriod> fault_periods;
  std::vector<Evacuation> evacuations;
  /** By request id, one entry for each server process that ran the request. */
  std::multimap<std::string, ServerRuns> runs;
  /** Keys that reached servers. Must be 0. */
  int keys_seen = 0;
};

/** Checks the guarantees given to users. Returns a line for each violation. */
std::vector<std::string> FindViolations(const SoakRecord& record);

}  // namespace mangodoor

#endif  // TESTS_SOAK_FLEET_SOAK_RECORD_H_
