#ifndef PROCESS_VERSIONS_READ_SCHEDULE_H_
#define PROCESS_VERSIONS_READ_SCHEDULE_H_

#include <optional>
#include <string>
#include <vector>

#include "process/clock.h"
#include "version/ids.h"

namespace mangodoor {

/** How long the service may delay its response to a long poll. */
constexpr std::chrono::seconds kLongPollWait(20);

/**
 * Interval between reads of an instance that holds a long poll. A pending long
 * poll confirms nothing, so these instances also make reads that the service
 * answers at once. The age of confirmed reads that peers see then stays well
 * under kMaxReadAge.
 */
constexpr Duration kConfirmInterval = std::chrono::milliseconds(250);

/**
 * Interval between reads of an instance without a long poll, as long as the
 * latest confirmed read, own or relayed, is not older than kMaxReadAge.
 */
constexpr Duration kReadInterval = std::chrono::seconds(30);

/**
 * If the latest confirmed read, own or relayed, is older than this, the
 * instances without a long poll read at this interval.
 */
constexpr Duration kMaxReadAge = std::chrono::seconds(1);

/** Pending reads, and when the next ones may start. */
struct ReadSchedule {
  bool poll_running = false;
  bool read_running = false;
  std::optional<TimePoint> poll_started;
  std::optional<TimePoint> read_started;
  /**
   * Random number in [0, 1), drawn for the latest read; varies the interval
   * until the next one.
   */
  double jitter = 0;
  /** No read or poll starts before this time; set while reads fail. */
  std::optional<TimePoint> not_before;
  /** Reads and polls that failed since the last successful one. */
  int failures = 0;
};

struct ReadInputs {
  TimePoint now;
  /** This instance keeps a long poll open; see HoldsLongPoll. */
  bool holds_poll = false;
  /** Age of the latest confirmed read, own or relayed. */
  Duration read_age = Duration::max();
  /** Random number in [0, 1). */
  double random = 0;
};

/** The reads to start now. */
struct ReadPlan {
  bool start_poll = false;
  bool start_read = false;
};

/** Decides which reads start now, and records them as pending. */
ReadPlan PlanReads(ReadSchedule& schedule, const ReadInputs& inputs);

enum class ReadKind { kPoll, kRead };

/** Records the end of a read. Failed reads are retried with back-off. */
void FinishRead(ReadSchedule& schedule,
                ReadKind kind,
                bool answered,
                TimePoint now,
                double random);

/**
 * True if `self` is one of the two instances of its data centre that keep a
 * long poll open. `reachable` are the other instances of the data centre that
 * it can reach.
 */
bool HoldsLongPoll(const InstanceId& self,
                   const DataCentreId& data_centre,
                   const std::vector<InstanceId>& reachable);

}  // namespace mangodoor

#endif  // PROCESS_VERSIONS_READ_SCHEDULE_H_
