#ifndef PROCESS_IO_PAGE_SERVER_H_
#define PROCESS_IO_PAGE_SERVER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "version/endpoint.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace mangodoor {

/** The response to a GET request. */
struct Page {
  int http_status = 200;
  const char* content_type = "text/plain";
  std::string body;
};

/** A request for a page. */
struct PageRequest {
  /** Path and query. */
  std::string_view target;
  /** IP address of the client. */
  std::string_view client;
};

struct PageLimits {
  size_t max_connections = 16;
  /** Limit for reading a request, including the idle time before it. */
  std::chrono::milliseconds read_timeout{10000};
  std::chrono::milliseconds write_timeout{10000};
};

/**
 * Serves pages over HTTP/1.1 to GET requests. Runs on the threads of `context`,
 * which must have ended before the server is destroyed. The number of
 * connections and the size and duration of a request are bounded.
 */
class PageServer {
 public:
  /** Makes the page for a request. Never called concurrently. */
  using Render = std::function<Page(const PageRequest&)>;

  /** Starts listening. Throws boost::system::system_error on failure. */
  PageServer(boost::asio::io_context& context,
             const Endpoint& endpoint,
             Render render,
             PageLimits limits = {});
  ~PageServer();
  PageServer(const PageServer&) = delete;
  PageServer& operator=(const PageServer&) = delete;

  /**
   * Stops listening and closes the connections, so that the threads of the
   * io_context can end. Can be called from any thread and more than once.
   */
  void Stop();

 private:
  struct Listener;
  std::shared_ptr<Listener> listener_;
};

}  // namespace mangodoor

#endif  // PROCESS_IO_PAGE_SERVER_H_
