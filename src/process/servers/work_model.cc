#include "process/servers/work_model.h"

#include <algorithm>

namespace mangodoor {
namespace {

// From this part of its slots on, a server may slow down.
constexpr double kNearFullPart = 0.8;

constexpr double kWorkWeight = 0.05;
constexpr double kFactorWeight = 0.1;
constexpr double kMostFactor = 4;

Duration Scaled(Duration duration, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

void NoteLatency(WorkModel& model,
                 const PlacementNote& note,
                 Duration latency) {
  if (!note.known || note.slowness <= 0)
    return;
  const Duration usual = Scaled(latency, 1 / note.slowness);
  if (!note.near_full) {
    model.work =
        model.work == Duration::zero()
            ? usual
            : Scaled(model.work, 1 - kWorkWeight) + Scaled(usual, kWorkWeight);
    return;
  }
  if (model.work == Duration::zero())
    return;
  const double factor = std::clamp(static_cast<double>(usual.count()) /
                                       static_cast<double>(model.work.count()),
                                   0.5, kMostFactor);
  model.near_full_factor += kFactorWeight * (factor - model.near_full_factor);
}

bool IsNearFull(int there, int slots) {
  return there + 1 > kNearFullPart * slots;
}

int BestConcurrency(const WorkModel& model, int slots) {
  const int below = std::max(1, static_cast<int>(kNearFullPart * slots));
  return slots / std::max(1.0, model.near_full_factor) > below ? slots : below;
}

}  // namespace mangodoor
