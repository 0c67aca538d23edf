#include "bench/lib/byte_relay.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <utility>

namespace mangodoor {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr size_t kBufferSize = 16 * 1024;
constexpr char kResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 100\r\n"
    "endpoint-load-metrics: TEXT named_metrics.in_flight=1\r\n\r\n"
    "0123456789012345678901234567890123456789012345678"
    "90123456789012345678901234567890123456789012345678\n";

tcp::endpoint AnyPort() {
  return {asio::ip::make_address("127.0.0.1"), 0};
}

Endpoint LocalEndpoint(const tcp::acceptor& acceptor) {
  return {"127.0.0.1", acceptor.local_endpoint().port()};
}

/** Copies from one socket to the other until either closes. */
struct OneWayCopy : std::enable_shared_from_this<OneWayCopy> {
  OneWayCopy(std::shared_ptr<tcp::socket> source,
             std::shared_ptr<tcp::socket> sink)
      : from(std::move(source)), to(std::move(sink)) {}

  std::shared_ptr<tcp::socket> from;
  std::shared_ptr<tcp::socket> to;
  std::array<char, kBufferSize> buffer{};

  void Read() {
    from->async_read_some(asio::buffer(buffer),
                          [self = shared_from_this()](
                              boost::system::error_code error, size_t size) {
                            if (!error) {
                              self->Write(size);
                              return;
                            }
                            boost::system::error_code ignored;
                            self->to->close(ignored);
                          });
  }

  void Write(size_t size) {
    asio::async_write(
        *to, asio::buffer(buffer.data(), size),
        [self = shared_from_this()](boost::system::error_code error, size_t) {
          if (!error)
            self->Read();
        });
  }
};

struct PlainConnection : std::enable_shared_from_this<PlainConnection> {
  explicit PlainConnection(tcp::socket accepted)
      : socket(std::move(accepted)) {}

  tcp::socket socket;
  std::array<char, kBufferSize> buffer{};
  std::string received;

  void Read() {
    socket.async_read_some(asio::buffer(buffer),
                           [self = shared_from_this()](
                               boost::system::error_code error, size_t size) {
                             if (error)
                               return;
                             self->received.append(self->buffer.data(), size);
                             const size_t end = self->received.find("\r\n\r\n");
                             if (end == std::string::npos) {
                               self->Read();
                               return;
                             }
                             self->received.erase(0, end + 4);
                             self->Write();
                           });
  }

  void Write() {
    asio::async_write(
        socket, asio::buffer(kResponse, sizeof(kResponse) - 1),
        [self = shared_from_this()](boost::system::error_code error, size_t) {
          if (!error)
            self->Read();
        });
  }
};

}  // namespace

ByteRelay::ByteRelay(asio::io_context& io, const Endpoint& target)
    : io_(io), target_(target), acceptor_(io, AnyPort()) {
  Accept();
}

Endpoint ByteRelay::endpoint() const {
  return LocalEndpoint(acceptor_);
}

void ByteRelay::Accept() {
  acceptor_.async_accept([this](boost::system::error_code error,
                                tcp::socket accepted) {
    if (error)
      return;
    auto caller = std::make_shared<tcp::socket>(std::move(accepted));
    auto server = std::make_shared<tcp::socket>(io_);
    server->connect({asio::ip::make_address(target_.address), target_.port});
    caller->set_option(tcp::no_delay(true));
    server->set_option(tcp::no_delay(true));
    std::make_shared<OneWayCopy>(caller, server)->Read();
    std::make_shared<OneWayCopy>(server, caller)->Read();
    Accept();
  });
}

PlainServer::PlainServer(asio::io_context& io) : acceptor_(io, AnyPort()) {
  Accept();
}

Endpoint PlainServer::endpoint() const {
  return LocalEndpoint(acceptor_);
}

void PlainServer::Accept() {
  acceptor_.async_accept(
      [this](boost::system::error_code error, tcp::socket accepted) {
        if (error)
          return;
        accepted.set_option(tcp::no_delay(true));
        std::make_shared<PlainConnection>(std::move(accepted))->Read();
        Accept();
      });
}

}  // namespace mangodoor
