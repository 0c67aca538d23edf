#include "process/versions/read_schedule.h"

#include <algorithm>

#include "process/membership/rendezvous.h"

namespace mangodoor {
namespace {

// Two, so that one may fail or be paused without a gap in confirmed reads.
constexpr ptrdiff_t kPollsPerDataCentre = 2;

// With the service down for all, 400 instances make 400 / 2 = 200 calls a
// second of the 2,000 that it serves.
constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(250);
constexpr int kMaxDoublings = 3;

// Between half of the spacing and one and a half times.
Duration Jittered(Duration spacing, double random) {
  return std::chrono::duration_cast<Duration>(spacing * (0.5 + random));
}

Duration RetryDelay(int failures, double random) {
  const int doublings = std::clamp(failures - 1, 0, kMaxDoublings);
  return Jittered(kFirstRetryDelay * (1 << doublings), random);
}

Duration SpacingFor(const ReadInputs& inputs) {
  if (inputs.holds_poll)
    return kConfirmSpacing;
  return inputs.read_age > kUnconfirmedFor ? kUnconfirmedFor : kReadSpacing;
}

bool IsOver(const std::optional<TimePoint>& start,
            Duration spacing,
            TimePoint now) {
  return !start || now - *start >= spacing;
}

}  // namespace

ReadPlan PlanReads(ReadSchedule& schedule, const ReadInputs& inputs) {
  ReadPlan plan;
  if (schedule.not_before && inputs.now < *schedule.not_before)
    return plan;
  // The spacing also bounds polls that the service answers at once, and reads
  // of a stale copy, which confirm nothing however often they are repeated.
  plan.start_poll = inputs.holds_poll && !schedule.poll_running &&
                    IsOver(schedule.poll_started, kConfirmSpacing, inputs.now);
  plan.start_read =
      !schedule.read_running &&
      IsOver(schedule.read_started,
             Jittered(SpacingFor(inputs), schedule.jitter), inputs.now);
  if (plan.start_poll) {
    schedule.poll_running = true;
    schedule.poll_started = inputs.now;
  }
  if (plan.start_read) {
    schedule.read_running = true;
    schedule.read_started = inputs.now;
    schedule.jitter = inputs.random;
  }
  return plan;
}

void FinishRead(ReadSchedule& schedule,
                ReadKind kind,
                bool answered,
                TimePoint now,
                double random) {
  (kind == ReadKind::kPoll ? schedule.poll_running : schedule.read_running) =
      false;
  schedule.failures = answered ? 0 : schedule.failures + 1;
  schedule.not_before.reset();
  if (!answered)
    schedule.not_before = now + RetryDelay(schedule.failures, random);
}

bool HoldsLongPoll(const InstanceId& self,
                   const DataCentreId& data_centre,
                   const std::vector<InstanceId>& reachable) {
  const uint64_t own = RendezvousScore(data_centre.value(), self.value());
  return std::count_if(
             reachable.begin(), reachable.end(), [&](const InstanceId& id) {
               return RendezvousScore(data_centre.value(), id.value()) > own;
             }) < kPollsPerDataCentre;
}

}  // namespace mangodoor
