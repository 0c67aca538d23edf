#include "connection/io/watchdog.h"

#include <utility>

namespace mangodoor {

struct Watchdog::State : std::enable_shared_from_this<State> {
  State(const Strand& strand, const Clock& state_clock)
      : timer(strand), clock(state_clock) {}

  StrandTimer timer;
  const Clock& clock;
  /** When the timer fires; not later than `limit` while `callback` is set. */
  TimePoint fires_at = TimePoint::max();
  TimePoint limit = TimePoint::max();
  std::function<void()> callback;

  void Arm();
  void Expire();
};

void Watchdog::State::Arm() {
  fires_at = limit;
  // Unlike the timer's own clock, `clock` also counts time in which the system
  // is suspended, so the timer is given a duration and not a time point.
  timer.expires_after(limit - clock.Now());
  timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (!ec)
      self->Expire();
  });
}

void Watchdog::State::Expire() {
  fires_at = TimePoint::max();
  if (!callback)
    return;
  if (clock.Now() < limit) {
    Arm();
    return;
  }
  std::exchange(callback, nullptr)();
}

Watchdog::Watchdog(const Strand& strand, const Clock& clock)
    : state_(std::make_shared<State>(strand, clock)) {}

Watchdog::~Watchdog() {
  Clear();
  state_->timer.cancel();
}

void Watchdog::Set(TimePoint limit, std::function<void()> callback) {
  state_->limit = limit;
  state_->callback = std::move(callback);
  if (limit < state_->fires_at)
    state_->Arm();
}

void Watchdog::Clear() {
  state_->callback = nullptr;
}

}  // namespace mangodoor
