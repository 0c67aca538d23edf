#ifndef PROCESS_IO_TICKER_H_
#define PROCESS_IO_TICKER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <utility>

#include "process/clock.h"

namespace mangodoor {

/**
 * Calls a function periodically while the io_context runs. The period is
 * counted from the end of a call, so that calls never overlap.
 */
class Ticker {
 public:
  Ticker(boost::asio::io_context& context,
         Duration period,
         std::function<void()> work)
      : timer_(context), period_(period), work_(std::move(work)) {}

  void Start() {
    timer_.expires_after(period_);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (error)
        return;
      work_();
      Start();
    });
  }

 private:
  boost::asio::steady_timer timer_;
  Duration period_;
  std::function<void()> work_;
};

}  // namespace mangodoor

#endif  // PROCESS_IO_TICKER_H_
