#include "connection/io/caller_stream.h"

#include <sys/socket.h>
#include <boost/asio/buffer.hpp>
#include <cerrno>
#include <utility>

namespace mangodoor {

namespace asio = boost::asio;

namespace {

// Pipelined requests are read ahead up to this size.
constexpr size_t kMaxReadAhead = 16 * 1024;

}  // namespace

CallerStream::CallerStream(CallerSocket socket, const Clock& clock)
    : socket_(std::move(socket)),
      clock_(clock),
      read_watchdog_(socket_.get_executor(), clock),
      write_watchdog_(socket_.get_executor(), clock),
      request_watchdog_(socket_.get_executor(), clock) {
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
}

std::string_view CallerStream::bytes() const {
  const auto data = buffer_.cdata();
  return {static_cast<const char*>(data.data()), data.size()};
}

boost::system::error_code CallerStream::ReadSome(YieldContext yield) {
  if (read_error_)
    return read_error_;
  const size_t before = buffer_.size();
  if (!reading_)
    StartRead();
  while (buffer_.size() == before && !read_error_ && !read_limit_passed_)
    read_signal_.Wait(yield);
  if (buffer_.size() > before)
    return {};
  return read_error_ ? read_error_ : asio::error::timed_out;
}

void CallerStream::LimitReads(TimePoint limit) {
  read_limit_passed_ = false;
  read_watchdog_.Set(limit, [this] { InterruptReads(); });
}

void CallerStream::InterruptReads() {
  read_limit_passed_ = true;
  read_signal_.NotifySoon(executor());
}

void CallerStream::WatchForHangUp(std::function<void()> hung_up) {
  on_hang_up_ = std::move(hung_up);
  if (!reading_ && !read_error_ && buffer_.size() < kMaxReadAhead)
    StartRead();
}

// Checks the socket itself, since on a busy processor the outstanding read
// completes late.
bool CallerStream::HasHungUp() {
  if (read_error_)
    return true;
  char byte = 0;
  const ssize_t received =
      ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received == 0 ||
         (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void CallerStream::StartRead() {
  reading_ = true;
  socket_.async_read_some(asio::buffer(incoming_),
                          [self = shared_from_this()](
                              boost::system::error_code error, size_t size) {
                            self->HandleRead(error, size);
                          });
}

void CallerStream::HandleRead(boost::system::error_code error, size_t size) {
  reading_ = false;
  if (size > 0) {
    asio::buffer_copy(buffer_.prepare(size), asio::buffer(incoming_, size));
    buffer_.commit(size);
  }
  read_error_ = error;
  if (error && on_hang_up_)
    std::exchange(on_hang_up_, nullptr)();
  else if (on_hang_up_ && buffer_.size() < kMaxReadAhead)
    StartRead();
  read_signal_.Notify();
}

boost::system::error_code CallerStream::Write(std::string_view data,
                                              Duration progress_limit,
                                              YieldContext yield) {
  boost::system::error_code error;
  while (!data.empty() && !error) {
    // Nearly every write fits into the socket's send buffer. Writing directly
    // then saves a pass through the scheduler and the strand.
    const asio::const_buffer rest(data.data(), data.size());
    size_t size = socket_.write_some(rest, error);
    if (error == asio::error::would_block) {
      write_watchdog_.Set(clock_.Now() + progress_limit, [this] { Close(); });
      size = socket_.async_write_some(rest, yield[error]);
      write_watchdog_.Clear();
    }
    data.remove_prefix(size);
  }
  return error;
}

void CallerStream::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void CallerStream::Reset() {
  boost::system::error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
}

}  // namespace mangodoor
