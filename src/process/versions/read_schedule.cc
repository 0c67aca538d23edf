#include "process/versions/read_schedule.h"

#include <algorithm>

#include "process/membership/rendezvous.h"

namespace mangodoor {
namespace {

// Two, so that reads are still confirmed while one of the holders fails or is
// paused.
constexpr ptrdiff_t kPollHoldersPerDataCentre = 2;

// The delay doubles from 250 ms up to 2 s. While the service is down for all,
// 400 instances then send 400 / 2 = 200 requests a second, of the 2,000 that it
// can handle.
constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(250);
constexpr int kMaxDoublings = 3;

// Multiplies the interval by 0.5 to 1.5; `random` is in [0, 1).
Duration AddJitter(Duration interval, double random) {
  return std::chrono::duration_cast<Duration>(interval * (0.5 + random));
}

Duration RetryDelay(int failures, double random) {
  const int doublings = std::clamp(failures - 1, 0, kMaxDoublings);
  return AddJitter(kFirstRetryDelay * (1 << doublings), random);
}

Duration ReadIntervalFor(const ReadInputs& inputs) {
  if (inputs.holds_poll)
    return kConfirmInterval;
  return inputs.read_age > kMaxReadAge ? kMaxReadAge : kReadInterval;
}

bool HasElapsed(const std::optional<TimePoint>& start,
                Duration interval,
                TimePoint now) {
  return !start || now - *start >= interval;
}

}  // namespace

ReadPlan PlanReads(ReadSchedule& schedule, const ReadInputs& inputs) {
  ReadPlan plan;
  if (schedule.not_before && inputs.now < *schedule.not_before)
    return plan;
  // The intervals also limit polls that the service answers at once, and reads
  // of a stale copy of the document, which never confirm anything.
  plan.start_poll =
      inputs.holds_poll && !schedule.poll_running &&
      HasElapsed(schedule.poll_started, kConfirmInterval, inputs.now);
  plan.start_read =
      !schedule.read_running &&
      HasElapsed(schedule.read_started,
                 AddJitter(ReadIntervalFor(inputs), schedule.jitter),
                 inputs.now);
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
             }) < kPollHoldersPerDataCentre;
}

}  // namespace mangodoor
