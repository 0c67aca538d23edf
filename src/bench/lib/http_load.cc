#include "bench/lib/http_load.h"

#include <sys/socket.h>
#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <thread>

namespace mangodoor {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;

constexpr char kRequest[] =
    "GET /open/item/7 HTTP/1.1\r\nHost: 127.0.0.1\r\nUser-Agent: bench\r\n"
    "Accept: */*\r\nX-Request-Id: 0123456789\r\n\r\n";
// Size of the response body of PlainServer.
constexpr size_t kBodySize = 100;

/**
 * Sends one request and reads its response. Returns false if the connection
 * breaks or the status is not 200.
 */
bool Exchange(int socket) {
  if (::send(socket, kRequest, sizeof(kRequest) - 1, MSG_NOSIGNAL) < 0)
    return false;
  std::array<char, 4096> buffer{};
  std::string response;
  for (;;) {
    const ssize_t size = ::recv(socket, buffer.data(), buffer.size(), 0);
    if (size <= 0)
      return false;
    response.append(buffer.data(), static_cast<size_t>(size));
    const size_t end = response.find("\r\n\r\n");
    if (end != std::string::npos && response.size() >= end + 4 + kBodySize)
      return response.compare(0, 12, "HTTP/1.1 200") == 0;
  }
}

void RunConnection(const LoadPlan& plan, int number, LoadResult& result) {
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect(
      {asio::ip::make_address(plan.target.address), plan.target.port});
  socket.set_option(tcp::no_delay(true));
  const auto start = SteadyClock::now();
  // The start times of the connections are spread over one interval, so that
  // requests do not arrive in bursts.
  auto next = start + plan.interval * number / plan.connections;
  while (SteadyClock::now() - start < plan.duration) {
    if (plan.interval > Duration::zero()) {
      std::this_thread::sleep_until(next);
      next += plan.interval;
    }
    const auto sent = SteadyClock::now();
    if (!Exchange(socket.native_handle())) {
      ++result.errors;
      return;
    }
    result.latencies.push_back(SteadyClock::now() - sent);
  }
}

}  // namespace

LoadResult RunLoad(const LoadPlan& plan) {
  std::vector<LoadResult> results(static_cast<size_t>(plan.connections));
  std::vector<std::thread> threads;
  threads.reserve(results.size());
  for (int i = 0; i < plan.connections; ++i)
    threads.emplace_back([&plan, &results, i] {
      RunConnection(plan, i, results[static_cast<size_t>(i)]);
    });
  for (std::thread& thread : threads)
    thread.join();
  LoadResult total;
  for (const LoadResult& result : results) {
    total.errors += result.errors;
    total.latencies.insert(total.latencies.end(), result.latencies.begin(),
                           result.latencies.end());
  }
  return total;
}

Duration Quantile(std::vector<Duration>& latencies, double quantile) {
  if (latencies.empty())
    return {};
  std::sort(latencies.begin(), latencies.end());
  const auto index =
      static_cast<size_t>(quantile * static_cast<double>(latencies.size()));
  return latencies[std::min(index, latencies.size() - 1)];
}

}  // namespace mangodoor
