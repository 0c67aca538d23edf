#include "connection/io/backend_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

namespace mangodoor {
namespace {

namespace asio = boost::asio;

// A socket tells the loss of its connection once. If a write is told, the next
// read sees an end of file as if the server had ended its stream. A broken pipe
// is no loss: the server had ended its stream before it reset the connection,
// so the read still sees the true end.
bool WriteWasToldOfLoss(const BackendConnection& connection) {
  return connection.write_error &&
         connection.write_error != asio::error::broken_pipe;
}

}  // namespace

boost::system::error_code ReadSome(BackendConnection& connection,
                                   size_t size,
                                   YieldContext yield) {
  auto& buffer = connection.buffer;
  if (buffer.max_size() - buffer.size() < size)
    return boost::beast::http::error::buffer_overflow;
  boost::system::error_code error;
  const size_t received =
      connection.socket->async_read_some(buffer.prepare(size), yield[error]);
  buffer.commit(received);
  if (error == asio::error::eof && WriteWasToldOfLoss(connection))
    return connection.write_error;
  return error;
}

// Writes on the strand, and does not let the reactor write: the error is known
// before the handler of a read that comes after the write runs.
boost::system::error_code Write(BackendConnection& connection,
                                std::string_view data,
                                YieldContext yield) {
  BackendSocket& socket = *connection.socket;
  boost::system::error_code error;
  while (!data.empty() && !error) {
    // Writes directly first, for the reason given in CallerStream::Write.
    data.remove_prefix(
        socket.write_some(asio::const_buffer(data.data(), data.size()), error));
    if (error == asio::error::would_block)
      socket.async_wait(BackendSocket::wait_write, yield[error]);
  }
  if (error && !connection.write_error)
    connection.write_error = error;
  return error;
}

}  // namespace mangodoor
