#ifndef PROCESS_LOAD_IO_LOAD_CALLER_H_
#define PROCESS_LOAD_IO_LOAD_CALLER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <string>
#include <vector>

#include "process/clock.h"
#include "process/load/request_result.h"
#include "process/membership/address_cache.h"

namespace mangodoor {

/** The requests of a caller and how it sends them. */
struct CallerOptions {
  /**
   * Instances that are asked for the list of addresses, one after the other,
   * when no known address answers.
   */
  std::vector<Endpoint> bootstrap;
  /** API key sent with each request; empty for routes that need none. */
  std::string key;
  std::string method = "GET";
  std::string target = "/";
  std::string body;
  /** Limit on connecting, and on sending a request and reading its response. */
  std::chrono::milliseconds time_limit{10000};
  int max_attempts = 5;
};

/**
 * A caller that behaves like a client account's own program: it asks an
 * instance which addresses to use, caches them for their time to live, and
 * reuses its connection. Used by one coroutine at a time.
 */
class LoadCaller {
 public:
  /**
   * `address_offset` is the position at which the caller begins in a list of
   * addresses, so that callers with different offsets use different addresses.
   */
  LoadCaller(boost::asio::io_context& context,
             const Clock& clock,
             const CallerOptions& options,
             size_t address_offset);

  /** Sends one request that was due at `due`, and retries it as allowed. */
  RequestResult SendRequest(TimePoint due, boost::asio::yield_context yield);

 private:
  RequestAttempt Attempt(boost::asio::yield_context yield);
  RequestAttempt Exchange(boost::asio::yield_context yield);
  void RefreshAddresses(boost::asio::yield_context yield);
  bool FetchAddressesFromAny(const std::vector<Endpoint>& endpoints,
                             boost::asio::yield_context yield);
  bool FetchAddresses(const Endpoint& endpoint,
                      boost::asio::yield_context yield);
  void Connect(const Endpoint& endpoint, boost::asio::yield_context yield);
  void Disconnect();

  boost::asio::io_context& context_;
  const Clock& clock_;
  const CallerOptions& options_;
  size_t address_offset_;
  AddressCache address_cache_;
  /** Null while not connected. */
  std::unique_ptr<boost::beast::tcp_stream> stream_;
  /**
   * Bounds what is read ahead of the parser, and with it the extension of a
   * chunk and a trailer, which the parser reads as a whole.
   */
  static constexpr size_t kMaxBufferedBytes = 64 * 1024;
  boost::beast::flat_buffer buffer_{kMaxBufferedBytes};
  Endpoint connected_to_;
};

}  // namespace mangodoor

#endif  // PROCESS_LOAD_IO_LOAD_CALLER_H_
