#include "process/worker_pool.h"

namespace mangodoor {

WorkerPool::WorkerPool(int thread_count)
    : thread_count_(thread_count),
      context_(thread_count),
      work_guard_(boost::asio::make_work_guard(context_)) {}

WorkerPool::~WorkerPool() {
  Stop();
}

void WorkerPool::Start() {
  for (int i = 0; i < thread_count_; ++i)
    threads_.emplace_back([this] { context_.run(); });
}

void WorkerPool::Join() {
  work_guard_.reset();
  for (std::thread& thread : threads_)
    thread.join();
  threads_.clear();
}

void WorkerPool::Stop() {
  context_.stop();
  Join();
}

}  // namespace mangodoor
