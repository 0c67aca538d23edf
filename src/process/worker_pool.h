#ifndef PROCESS_WORKER_POOL_H_
#define PROCESS_WORKER_POOL_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>
#include <vector>

namespace mangodoor {

/** A fixed number of threads that run one shared io_context. */
class WorkerPool {
 public:
  explicit WorkerPool(int thread_count);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  boost::asio::io_context& context() { return context_; }

  /** Starts the threads. They block in the io_context while idle. */
  void Start();

  /**
   * Waits until all threads have ended. They end when no work is left or the
   * io_context is stopped.
   */
  void Join();

  /** Ends the threads and drops outstanding work. */
  void Stop();

 private:
  int thread_count_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard_;
  std::vector<std::thread> threads_;
};

}  // namespace mangodoor

#endif  // PROCESS_WORKER_POOL_H_
