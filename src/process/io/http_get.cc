#include "process/io/http_get.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <utility>

namespace mangodoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using ErrorCode = boost::system::error_code;

constexpr uint64_t kMaxBodyBytes = 2 * 1024 * 1024;

// Bounds what is read ahead of the parser, and with it the extension of a chunk
// and a trailer, which the parser reads as a whole.
constexpr size_t kMaxBufferedBytes = 64 * 1024;

// One request and its response; kept alive by its pending handlers.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(asio::io_context& context,
           HttpRequest request,
           std::function<void(HttpResult)> done)
      : stream_(asio::make_strand(context)),
        request_(std::move(request)),
        done_(std::move(done)) {
    parser_.body_limit(kMaxBodyBytes);
  }

  void Start(const Endpoint& endpoint, std::chrono::milliseconds timeout) {
    ErrorCode error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error)
      return Fail(error);
    stream_.expires_after(timeout);
    stream_.async_connect(asio::ip::tcp::endpoint(address, endpoint.port),
                          [self = shared_from_this()](const ErrorCode& failed) {
                            if (failed)
                              return self->Fail(failed);
                            self->Write();
                          });
  }

 private:
  void Write() {
    http::async_write(
        stream_, request_,
        [self = shared_from_this()](const ErrorCode& error, size_t) {
          if (error)
            return self->Fail(error);
          self->Read();
        });
  }

  // Reads the header separately: Beast 1.74 loses the error of an exceeded body
  // limit when bytes of the body arrive together with the header.
  void Read() {
    http::async_read_header(
        stream_, buffer_, parser_,
        [self = shared_from_this()](const ErrorCode& error, size_t) {
          if (error)
            return self->Fail(error);
          self->ReadBody();
        });
  }

  void ReadBody() {
    http::async_read(
        stream_, buffer_, parser_,
        [self = shared_from_this()](const ErrorCode& error, size_t) {
          if (error)
            return self->Fail(error);
          self->done_({"", self->parser_.release()});
        });
  }

  // The call of `done_` is posted, because the caller of Start() may hold a
  // lock that `done_` takes.
  void Fail(const ErrorCode& error) {
    asio::post(stream_.get_executor(),
               [self = shared_from_this(), text = error.message()] {
                 self->done_({text, {}});
               });
  }

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_{kMaxBufferedBytes};
  HttpRequest request_;
  http::response_parser<http::string_body> parser_;
  std::function<void(HttpResult)> done_;
};

}  // namespace

HttpRequest MakeGet(const Endpoint& endpoint, const std::string& target) {
  HttpRequest request(http::verb::get, target, 11);
  request.set(http::field::host, ToString(endpoint));
  request.keep_alive(false);
  return request;
}

void SendGet(asio::io_context& context,
             const Endpoint& endpoint,
             HttpRequest request,
             std::chrono::milliseconds timeout,
             std::function<void(HttpResult)> done) {
  std::make_shared<Exchange>(context, std::move(request), std::move(done))
      ->Start(endpoint, timeout);
}

}  // namespace mangodoor
