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

/** The answer to GET of one target. */
struct Page {
  int http_status = 200;
  const char* content_type = "text/plain";
  std::string body;
};

/** A request for a page. */
struct PageRequest {
  /** Path and query. */
  std::string_view target;
  /** IP number of the client. */
  std::string_view client;
};

struct PageLimits {
  size_t max_connections = 16;
  /** For a request to arrive; also the longest that a connection idles. */
  std::chrono::milliseconds read{10000};
  std::chrono::milliseconds write{10000};
};

/**
 * Answers GET over HTTP/1.1 with pages that a function makes. Runs on the
 * threads of `context`, which must end before this server does; the number of
 * connections, the size of a request and the time for it are bounded.
 */
class PageServer {
 public:
  /** Called on one thread at a time. */
  using Render = std::function<Page(const PageRequest&)>;

  /** Listens at once. Throws boost::system::system_error if it cannot. */
  PageServer(boost::asio::io_context& context,
             const Endpoint& endpoint,
             Render render,
             PageLimits limits = {});
  ~PageServer();
  PageServer(const PageServer&) = delete;
  PageServer& operator=(const PageServer&) = delete;

  /**
   * Stops listening and closes the connections, so that the threads of the
   * io_context can end. May be called from any thread, more than once.
   */
  void Stop();

 private:
  struct Listener;
  std::shared_ptr<Listener> listener_;
};

}  // namespace mangodoor

#endif  // PROCESS_IO_PAGE_SERVER_H_
