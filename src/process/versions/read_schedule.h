#ifndef PROCESS_VERSIONS_READ_SCHEDULE_H_
#define PROCESS_VERSIONS_READ_SCHEDULE_H_

#include <optional>
#include <string>
#include <vector>

#include "process/clock.h"
#include "version/ids.h"

namespace mangodoor {

/** How long the service may hold back the answer to a long poll. */
constexpr std::chrono::seconds kLongPollWait(20);

/**
 * A waiting long poll confirms nothing, so its holders also read without a
 * wait, this often. Peers then see ages well under kUnconfirmedFor.
 */
constexpr Duration kConfirmSpacing = std::chrono::milliseconds(250);

/** Spacing of the reads of the others while peers confirm reads. */
constexpr Duration kReadSpacing = std::chrono::seconds(30);

/** Without a confirmed read for this long, every instance reads. */
constexpr Duration kUnconfirmedFor = std::chrono::seconds(1);

/** Reads under way, and when the next ones may start. */
struct ReadSchedule {
  bool poll_running = false;
  bool read_running = false;
  std::optional<TimePoint> poll_started;
  std::optional<TimePoint> read_started;
  /** Part of the spacing after the latest read, from 0 up to 1. */
  double jitter = 0;
  /** Set while reads fail. */
  std::optional<TimePoint> not_before;
  /** Reads and polls that failed since the last one that was answered. */
  int failures = 0;
};

struct ReadInputs {
  TimePoint now;
  bool holds_poll = false;
  /** Age of the latest confirmed read, own or relayed. */
  Duration read_age = Duration::max();
  /** From 0 up to 1. */
  double random = 0;
};

struct ReadPlan {
  bool start_poll = false;
  bool start_read = false;
};

/** Says which reads start now, and notes that they do. */
ReadPlan PlanReads(ReadSchedule& schedule, const ReadInputs& inputs);

enum class ReadKind { kPoll, kRead };

/** Notes the end of a read; reads that fail are spaced further and further. */
void FinishRead(ReadSchedule& schedule,
                ReadKind kind,
                bool answered,
                TimePoint now,
                double random);

/**
 * True if `self` is one of the two among `reachable`, itself and the reachable
 * instances of its data centre, that keep a long poll.
 */
bool HoldsLongPoll(const InstanceId& self,
                   const DataCentreId& data_centre,
                   const std::vector<InstanceId>& reachable);

}  // namespace mangodoor

#endif  // PROCESS_VERSIONS_READ_SCHEDULE_H_
