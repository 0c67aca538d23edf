#ifndef CONNECTION_IO_BACKEND_TRANSPORT_H_
#define CONNECTION_IO_BACKEND_TRANSPORT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>

#include "connection/io/strand.h"
#include "process/clock.h"
#include "version/endpoint.h"

namespace mangodoor {

/** Opens connections to backend servers. */
class BackendTransport {
 public:
  using ConnectCallback = std::function<void(boost::system::error_code,
                                             std::shared_ptr<BackendSocket>)>;

  virtual ~BackendTransport() = default;

  /** `done` is called once, on any thread. The socket is null on failure. */
  virtual void Connect(const Endpoint& endpoint,
                       Duration limit,
                       ConnectCallback done) = 0;
};

/** Opens TCP connections. */
class TcpBackendTransport : public BackendTransport {
 public:
  explicit TcpBackendTransport(boost::asio::io_context& io) : io_(io) {}

  void Connect(const Endpoint& endpoint,
               Duration limit,
               ConnectCallback done) override;

 private:
  boost::asio::io_context& io_;
};

}  // namespace mangodoor

#endif  // CONNECTION_IO_BACKEND_TRANSPORT_H_
