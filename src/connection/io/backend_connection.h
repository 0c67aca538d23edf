#ifndef CONNECTION_IO_BACKEND_CONNECTION_H_
#define CONNECTION_IO_BACKEND_CONNECTION_H_

#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/system/error_code.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "connection/io/strand.h"
#include "connection/sent_requests.h"
#include "process/clock.h"
#include "version/endpoint.h"

namespace mangodoor {

/**
 * Maximum number of received bytes that a connection holds: more than the
 * largest head of a response and one read.
 */
constexpr size_t kMaxUnparsedBytes = 96 * 1024;

/** An open connection to a backend server. One attempt uses it at a time. */
struct BackendConnection {
  Endpoint endpoint;
  std::shared_ptr<BackendSocket> socket;
  /** Bytes received and not yet parsed. */
  boost::beast::flat_buffer buffer{kMaxUnparsedBytes};
  /** Why the first write that failed did so; used by ReadSome(). */
  boost::system::error_code write_error;
  /** True if the connection has been returned to the pool before. */
  bool reused = false;
  TimePoint idle_since;
  SentRequests sent;
  /** Id of the last request that was sent; empty if it had none. */
  std::string last_request_id;
};

using BackendConnectionPtr = std::shared_ptr<BackendConnection>;

/**
 * Reads up to `size` bytes into the connection's buffer. The error is `eof`
 * only if the server has ended its stream, also if Write() runs meanwhile: a
 * lost connection is another error. Fails if the buffer has no room.
 */
boost::system::error_code ReadSome(BackendConnection& connection,
                                   size_t size,
                                   YieldContext yield);

/** Writes all of `data`, on the strand on which ReadSome() is called. */
boost::system::error_code Write(BackendConnection& connection,
                                std::string_view data,
                                YieldContext yield);

}  // namespace mangodoor

#endif  // CONNECTION_IO_BACKEND_CONNECTION_H_
