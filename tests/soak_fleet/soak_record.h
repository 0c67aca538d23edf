#ifndef TESTS_SOAK_FLEET_SOAK_RECORD_H_
#define TESTS_SOAK_FLEET_SOAK_RECORD_H_

#include <map>
#include <string>
#include <vector>

#include "process/clock.h"

namespace mangodoor {

/** A request as its caller saw it. */
struct SeenCall {
  std::string id;
  std::string path;
  bool idempotent = true;
  int instance = 0;
  TimePoint sent{};
  TimePoint ended{};
  /** 0 if no whole answer came. */
  int status = 0;
  std::string body;
};

/** A question to one instance whether a version is in force there. */
struct SeenVersion {
  int instance = 0;
  /** Counts the processes of the instance. */
  int lifetime = 0;
  uint64_t version = 0;
  TimePoint asked{};
  /** A version that was replaced before says nothing. */
  TimePoint answered{};
  bool in_force = false;
};

/** A version, from the store's acknowledgement to the next one's. */
struct PublishedVersion {
  uint64_t version = 0;
  TimePoint acked{};
  TimePoint replaced = TimePoint::max();
};

/** A time in which an instance, or the store for all, was out of touch. */
struct Trouble {
  static constexpr int kAll = -1;
  int instance = kAll;
  TimePoint from{};
  TimePoint to = TimePoint::max();
};

/** A zone that an operator emptied. */
struct Evacuation {
  int zone = 0;
  TimePoint acked{};
  TimePoint lifted = TimePoint::max();
};

/** A run of a request at a server. */
struct SeenRun {
  int zone = 0;
  int count = 0;
};

/** All that callers, servers and the operator saw. */
struct SoakRecord {
  std::vector<SeenCall> calls;
  std::vector<SeenVersion> versions;
  std::vector<PublishedVersion> published;
  std::vector<Trouble> troubles;
  std::vector<Evacuation> evacuations;
  /** By request id; one entry for each server that ran it. */
  std::multimap<std::string, SeenRun> runs;
  int keys_seen = 0;
};

/** Promises of the users' pages that were broken, with the evidence. */
std::vector<std::string> BrokenPromises(const SoakRecord& record);

}  // namespace mangodoor

#endif  // TESTS_SOAK_FLEET_SOAK_RECORD_H_
