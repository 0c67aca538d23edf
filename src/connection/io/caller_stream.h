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
 * The socket of a caller with its read buffer. While a request runs, the read
 * for the next one is already outstanding; it also shows that the caller hung
 * up. Used on one strand only.
 */
class CallerStream : public std::enable_shared_from_this<CallerStream> {
 public:
  CallerStream(CallerSocket socket, const Clock& clock);

  boost::beast::flat_buffer& buffer() { return buffer_; }
  std::string_view bytes() const;
  CallerSocket& socket() { return socket_; }
  Strand executor() { return socket_.get_executor(); }

  /** Waits for more bytes. Ends with an error at the read limit. */
  boost::system::error_code Fill(YieldContext yield);

  /** Ends Fill with an error unless bytes arrive before `limit`. */
  void LimitReads(TimePoint limit);
  /** Ends a Fill that is waiting now, as if its limit had passed. */
  void InterruptReads();
  void ClearReadLimit() { read_watch_.Clear(); }
  bool read_limit_passed() const { return read_limit_passed_; }

  /** Reads ahead, and calls `gone` if the caller hangs up. */
  void WatchForHangUp(std::function<void()> gone);
  void StopWatching() { gone_ = nullptr; }

  /**
   * True if the caller has hung up, also where the read that tells has not
   * ended yet.
   */
  bool HasHungUp();

  /** Writes all; fails if no byte is taken for the time of `progress`. */
  boost::system::error_code Write(std::string_view data,
                                  Duration progress,
                                  YieldContext yield);

  /**
   * For the time limits of the running request. It belongs to the connection,
   * since most requests end before a timer has to be set for them.
   */
  Watchdog& run_watch() { return run_watch_; }

  void Close();
  /** Closes so that the caller sees an error and not an end. */
  void Reset();

 private:
  static constexpr size_t kReadSize = 16 * 1024;

  void StartRead();
  void EndRead(boost::system::error_code error, size_t size);

  CallerSocket socket_;
  const Clock& clock_;
  boost::beast::flat_buffer buffer_;
  // Apart from `buffer_`, which may be consumed while a read is outstanding.
  std::array<char, kReadSize> incoming_{};
  bool reading_ = false;
  bool read_limit_passed_ = false;
  boost::system::error_code read_error_;
  StrandSignal filled_;
  std::function<void()> gone_;
  Watchdog read_watch_;
  Watchdog write_watch_;
  Watchdog run_watch_;
};

}  // namespace mangodoor

#endif  // CONNECTION_IO_CALLER_STREAM_H_
