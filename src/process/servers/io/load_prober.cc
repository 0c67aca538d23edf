#include "process/servers/io/load_prober.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "request/deadline.h"
#include "request/status_code.h"

namespace mangodoor {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

// A request gains nothing by waiting longer for a probe: it could wait for a
// slot instead.
constexpr std::chrono::milliseconds kProbeTimeout{150};

constexpr uint64_t kMaxProbeBody = 4096;

std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/** One probe. Its handlers run on one strand and keep it alive. */
class LoadProbe : public std::enable_shared_from_this<LoadProbe> {
 public:
  LoadProbe(asio::io_context& io,
            BackendConnectionPool& pool,
            Counters& counters,
            const HttpProfile& http_profile,
            ChosenServer server,
            LoadProber::Done done)
      : strand_(asio::make_strand(io)),
        timer_(strand_),
        pool_(pool),
        counters_(counters),
        http_profile_(http_profile),
        server_(std::move(server)),
        done_(std::move(done)) {}

  void Start() {
    asio::dispatch(strand_, [self = shared_from_this()] { self->Connect(); });
  }

 private:
  void Connect() {
    timer_.expires_after(kProbeTimeout);
    timer_.async_wait([self = shared_from_this()](const ErrorCode& error) {
      if (!error)
        self->HandleTimeout();
    });
    if (BackendConnectionPtr idle = pool_.TakeIdle(server_))
      return SendRequest(std::move(idle));
    ticket_ = pool_.Open(
        server_, [self = shared_from_this()](const ErrorCode& error,
                                             BackendConnectionPtr connection) {
          asio::dispatch(self->strand_,
                         [self, error, connection = std::move(connection)] {
                           self->HandleOpen(error, connection);
                         });
        });
  }

  void HandleOpen(const ErrorCode& error, BackendConnectionPtr connection) {
    ticket_.reset();
    if (ended_) {
      if (connection)
        pool_.Return(std::move(connection));
      return;
    }
    if (!connection) {
      result_.connect_failed = error != asio::error::operation_aborted;
      return End(false);
    }
    SendRequest(std::move(connection));
  }

  void SendRequest(BackendConnectionPtr connection) {
    connection_ = std::move(connection);
    request_text_ = "GET " + server_.health_path +
                    " HTTP/1.1\r\nHost: " + ToString(server_.endpoint) +
                    "\r\n\r\n";
    parser_.body_limit(kMaxProbeBody);
    asio::async_write(
        *connection_->socket, asio::buffer(request_text_),
        asio::bind_executor(strand_, [self = shared_from_this()](
                                         const ErrorCode& error, size_t) {
          if (error)
            return self->End(false);
          self->Read();
        }));
  }

  // Reads the header separately: Beast 1.74 loses the error of an exceeded body
  // limit when bytes of the body arrive together with the header, and allocates
  // the length that the header states.
  void Read() {
    http::async_read_header(
        *connection_->socket, connection_->buffer, parser_,
        asio::bind_executor(strand_, [self = shared_from_this()](
                                         const ErrorCode& error, size_t) {
          if (error)
            return self->End(false);
          self->ReadBody();
        }));
  }

  void ReadBody() {
    http::async_read(
        *connection_->socket, connection_->buffer, parser_,
        asio::bind_executor(strand_, [self = shared_from_this()](
                                         const ErrorCode& error, size_t) {
          if (error)
            return self->End(false);
          self->HandleResponse();
        }));
  }

  void HandleResponse() {
    const auto& response = parser_.get();
    // After an interim response, the response to the probe is still to come.
    if (IsInterimStatus(response.result_int()))
      return End(false);
    if (!IsFinalStatus(response.result_int()))
      return EndWithFault(ResponseFault::kMalformedHead);
    if (HasRequestId())
      return EndWithFault(ResponseFault::kExtraResponse);
    result_.answered = true;
    result_.healthy = response.result() == http::status::ok;
    result_.server_load =
        http_profile_.parse_load(View(response[http_profile_.load]))
            .server_load;
    if (!http_profile_.server_id.empty()) {
      const auto id = response[http_profile_.server_id];
      result_.other_server = !id.empty() && View(id) != server_.server.value();
    }
    if (!http_profile_.cold_time.empty()) {
      if (const auto cold =
              ParseMilliseconds(View(response[http_profile_.cold_time])))
        result_.cold_remaining = *cold;
    }
    End(response.keep_alive());
  }

  /** True for a response to a request: a probe has no id. */
  bool HasRequestId() const {
    return !http_profile_.request_id.empty() &&
           !parser_.get()[http_profile_.request_id].empty();
  }

  void HandleTimeout() {
    if (ended_)
      return;
    if (ticket_)
      pool_.CancelOpen(server_, *ticket_);
    End(false);
  }

  void EndWithFault(ResponseFault fault) {
    ++counters_.response_faults[static_cast<size_t>(fault)];
    End(false);
  }

  void End(bool reusable) {
    if (std::exchange(ended_, true))
      return;
    timer_.cancel();
    // The pointer is kept: a cancelled operation still uses the connection.
    if (connection_ && reusable)
      pool_.Return(connection_);
    else if (connection_)
      pool_.Discard(connection_);
    done_(server_.server, result_);
  }

  Strand strand_;
  StrandTimer timer_;
  BackendConnectionPool& pool_;
  Counters& counters_;
  const HttpProfile& http_profile_;
  const ChosenServer server_;
  const LoadProber::Done done_;
  std::optional<uint64_t> ticket_;
  BackendConnectionPtr connection_;
  std::string request_text_;
  http::response_parser<http::string_body> parser_;
  ProbeResult result_;
  bool ended_ = false;
};

}  // namespace

LoadProber::LoadProber(asio::io_context& io,
                       BackendConnectionPool& pool,
                       Counters& counters,
                       const HttpProfile& http_profile,
                       Done done)
    : io_(io),
      pool_(pool),
      counters_(counters),
      http_profile_(http_profile),
      done_(std::move(done)) {}

void LoadProber::Probe(const ChosenServer& server) {
  ++counters_.probes;
  std::make_shared<LoadProbe>(io_, pool_, counters_, http_profile_, server,
                              done_)
      ->Start();
}

}  // namespace mangodoor
