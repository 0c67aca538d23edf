#ifndef BENCH_LIB_MEASURED_THREAD_H_
#define BENCH_LIB_MEASURED_THREAD_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

#include "process/clock.h"

namespace mangodoor {

/** A thread that runs its own io_context and measures its processor time. */
class MeasuredThread {
 public:
  MeasuredThread();
  ~MeasuredThread();
  MeasuredThread(const MeasuredThread&) = delete;
  MeasuredThread& operator=(const MeasuredThread&) = delete;

  boost::asio::io_context& io() { return io_; }
  Duration cpu_time();
  void Stop();

 private:
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard_{io_.get_executor()};
  std::thread thread_;
};

}  // namespace mangodoor

#endif  // BENCH_LIB_MEASURED_THREAD_H_
