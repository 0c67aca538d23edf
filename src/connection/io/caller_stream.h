#ifndef CONNECTION_IO_CALLER_STREAM_H_
#define CONNECTION_IO_CALLER_STREAM_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "connection/io/strand.h"
#include "connection/io/strand_signal.h"
#include "connection/io/watchdog.h"
#include "process/clock.h"

namespace mangodoor {

/**
 * The socket of a caller and its read buffer. Once the body of the running
 * request has arrived, a read stays outstanding: it receives the next request
 * early, and detects that the caller has hung up. Used on one strand only.
 */
class CallerStream : public std::enable_shared_from_this<CallerStream> {
 public:
  CallerStream(CallerSocket socket, const Clock& clock);

  boost::beast::flat_buffer& buffer() { return buffer_; }
  /** Bytes that were received and not yet consumed. */
  std::string_view bytes() const;
  CallerSocket& socket() { return socket_; }
  Strand executor() { return socket_.get_executor(); }

  /** Waits for more bytes. Fails at the read limit. */
  boost::system::error_code ReadSome(YieldContext yield);

  /** Makes ReadSome fail unless bytes arrive before `limit`. */
  void LimitReads(TimePoint limit);
  /** Makes ReadSome fail until LimitReads, as if the limit had passed. */
  void InterruptReads();
  void ClearReadLimit() { read_watchdog_.Clear(); }
  bool read_limit_passed() const { return read_limit_passed_; }

  /**
   * Reads ahead, up to a limit, and calls `hung_up` once if the caller hangs up
   * meanwhile.
   */
  void WatchForHangUp(std::function<void()> hung_up);
  void StopWatchingForHangUp() { on_hang_up_ = nullptr; }

  /**
   * True if the caller has hung up, even if the outstanding read has not
   * completed yet.
   */
  bool HasHungUp();

  /**
   * Writes all of `data`. Fails if no byte can be written for `progress_limit`.
   */
  boost::system::error_code Write(std::string_view data,
                                  Duration progress_limit,
                                  YieldContext yield);

  /**
   * Enforces the time limits of the running request. All requests of the
   * connection share the watchdog: when a request ends early, the timer keeps
   * running and usually need not be set again for the next one.
   */
  Watchdog& request_watchdog() { return request_watchdog_; }

  void Close();
  /**
   * Closes the connection with a reset, so that the caller sees an error and
   * not the end of a response.
   */
  void Reset();

 private:
  static constexpr size_t kReadSize = 16 * 1024;

  void StartRead();
  void HandleRead(boost::system::error_code error, size_t size);

  CallerSocket socket_;
  const Clock& clock_;
  boost::beast::flat_buffer buffer_;
  // Separate from `buffer_`, which can be consumed while a read is outstanding.
  std::array<char, kReadSize> incoming_{};
  bool reading_ = false;
  bool read_limit_passed_ = false;
  boost::system::error_code read_error_;
  StrandSignal read_signal_;
  std::function<void()> on_hang_up_;
  Watchdog read_watchdog_;
  Watchdog write_watchdog_;
  Watchdog request_watchdog_;
};

}  // namespace mangodoor

#endif  // CONNECTION_IO_CALLER_STREAM_H_
