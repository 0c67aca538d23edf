#ifndef BENCH_LIB_BYTE_RELAY_H_
#define BENCH_LIB_BYTE_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "version/endpoint.h"

namespace mangodoor {

/**
 * The baseline of the data path benchmark: copies bytes between a caller and a
 * server without parsing them.
 */
class ByteRelay {
 public:
  ByteRelay(boost::asio::io_context& io, const Endpoint& target);

  Endpoint endpoint() const;

 private:
  void Accept();

  boost::asio::io_context& io_;
  Endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

/**
 * Sends the same small response to every request. Requests must not have a
 * body.
 */
class PlainServer {
 public:
  explicit PlainServer(boost::asio::io_context& io);

  Endpoint endpoint() const;

 private:
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace mangodoor

#endif  // BENCH_LIB_BYTE_RELAY_H_
