#ifndef CONNECTION_IO_WATCHDOG_H_
#define CONNECTION_IO_WATCHDOG_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "connection/io/strand.h"
#include "process/clock.h"

namespace mangodoor {

/**
 * Calls a function when a time limit passes. Meant for limits that are moved
 * far more often than they pass: moving a limit to a later time does not touch
 * the timer. Used on one strand only.
 */
class Watchdog {
 public:
  Watchdog(const Strand& strand, const Clock& clock);
  ~Watchdog();
  Watchdog(const Watchdog&) = delete;
  Watchdog& operator=(const Watchdog&) = delete;

  /**
   * Replaces the limit. `callback` is called once, at `limit` or soon after.
   */
  void Set(TimePoint limit, std::function<void()> callback);
  void Clear();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace mangodoor

#endif  // CONNECTION_IO_WATCHDOG_H_
