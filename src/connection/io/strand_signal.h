#ifndef CONNECTION_IO_STRAND_SIGNAL_H_
#define CONNECTION_IO_STRAND_SIGNAL_H_

#include <boost/asio/async_result.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace mangodoor {

/** Lets one coroutine wait for a notification. Used on one strand only. */
class StrandSignal {
 public:
  /**
   * Suspends the coroutine until it is notified. Callers check the awaited
   * condition themselves.
   */
  void Wait(YieldContext yield) {
    boost::asio::async_initiate<YieldContext, void()>(
        [this](auto handler) { resume_ = std::move(handler); }, yield);
  }

  /**
   * Resumes the coroutine before returning. The coroutine can free the object
   * that called Notify.
   */
  void Notify() {
    if (auto resume = std::exchange(resume_, nullptr))
      resume();
  }

  /** Resumes the coroutine after the running handler has returned. */
  void NotifySoon(const Strand& strand) {
    if (auto resume = std::exchange(resume_, nullptr))
      boost::asio::post(strand, std::move(resume));
  }

 private:
  std::function<void()> resume_;
};

/**
 * Passes one value from any thread to a coroutine. A value that arrives after
 * Abandon goes to the late handler instead.
 */
template <typename Value>
class OneShotChannel
    : public std::enable_shared_from_this<OneShotChannel<Value>> {
 public:
  using LateHandler = std::function<void(Value)>;
  OneShotChannel(Strand strand, LateHandler late_handler)
      : strand_(std::move(strand)), late_handler_(std::move(late_handler)) {}

  /** Can be called on any thread, also before Wait. */
  void Deliver(Value value) {
    boost::asio::post(strand_, [self = this->shared_from_this(),
                                value = std::move(value)]() mutable {
      if (self->abandoned_) {
        if (self->late_handler_)
          self->late_handler_(std::move(value));
        return;
      }
      self->value_ = std::move(value);
      self->signal_.Notify();
    });
  }

  const Strand& strand() const { return strand_; }

  // The functions below are called on the strand.

  /** Waits for the value. Returns no value if Interrupt was called first. */
  std::optional<Value> Wait(YieldContext yield) {
    if (!value_ && !interrupted_)
      signal_.Wait(yield);
    return value_;
  }

  void Interrupt() {
    interrupted_ = true;
    signal_.NotifySoon(strand_);
  }

  void Abandon() { abandoned_ = true; }

 private:
  Strand strand_;
  LateHandler late_handler_;
  std::optional<Value> value_;
  bool interrupted_ = false;
  bool abandoned_ = false;
  StrandSignal signal_;
};

}  // namespace mangodoor

#endif  // CONNECTION_IO_STRAND_SIGNAL_H_
