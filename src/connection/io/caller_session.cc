#include "connection/io/caller_session.h"

#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/optional.hpp>
#include <utility>

#include "connection/io/caller_stream.h"
#include "process/tables.h"
#include "request/header_scan.h"
#include "request/io/message_head.h"
#include "request/io/request_handler.h"

namespace mangodoor {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

}  // namespace

class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(CallerSocket socket,
                const SessionContext& context,
                SessionCallbacks callbacks)
      : context_(context),
        callbacks_(std::move(callbacks)),
        stream_(
            std::make_shared<CallerStream>(std::move(socket), context.clock)) {}

  void Drain() {
    asio::post(stream_->executor(), [self = shared_from_this()] {
      self->caller_.draining = true;
      if (self->idle_)
        self->stream_->InterruptReads();
    });
  }

  void Start() {
    asio::spawn(stream_->executor(),
                [self = shared_from_this()](YieldContext yield) {
                  self->Serve(yield);
                });
  }

 private:
  void Serve(YieldContext yield) {
    boost::system::error_code error;
    const auto remote = stream_->socket().remote_endpoint(error);
    if (!error) {
      caller_.address = remote.address().to_string();
      caller_.port = remote.port();
    }
    while (!error && ServeNextRequest(yield)) {
    }
    Linger(yield);
    stream_->Close();
    callbacks_.ended();
  }

  bool ServeNextRequest(YieldContext yield) {
    if (!WaitForRequest(yield))
      return false;
    callbacks_.running_requests_changed(1);
    bool keep_open = false;
    try {
      keep_open = ReadAndHandleRequest(yield);
    } catch (const std::exception&) {
      // Memory ran out. Only this connection is closed.
      stream_->Close();
    }
    callbacks_.running_requests_changed(-1);
    return keep_open;
  }

  /** Waits for the first byte of a request. */
  bool WaitForRequest(YieldContext yield) {
    stream_->LimitReads(context_.clock.Now() + context_.limits.idle);
    idle_ = true;
    bool arrived = SkipEmptyLines();
    while (!arrived && !caller_.draining) {
      if (stream_->ReadSome(yield))
        break;
      arrived = SkipEmptyLines();
    }
    idle_ = false;
    stream_->ClearReadLimit();
    return arrived;
  }

  /**
   * Skips empty lines before a request (RFC 9112, 2.2). True if a byte of the
   * request has arrived.
   */
  bool SkipEmptyLines() {
    while (stream_->bytes().substr(0, 2) == "\r\n")
      stream_->buffer().consume(2);
    return !stream_->bytes().empty() && stream_->bytes() != "\r";
  }

  bool ReadAndHandleRequest(YieldContext yield) {
    RequestParser parser;
    if (auto error = ReadHeader(parser, yield)) {
      SendError(*error, yield);
      return false;
    }
    if (!parser.is_header_done())
      return false;
    RequestHandler handler(context_, *stream_, caller_, parser);
    return handler.Run(yield);
  }

  std::optional<ErrorKind> ReadHeader(RequestParser& parser,
                                      YieldContext yield) {
    HeaderScan scan;
    ScanHeader(scan, stream_->bytes(), kMaxRequestHeader);
    if (scan.state == HeaderScan::State::kIncomplete)
      stream_->LimitReads(context_.clock.Now() + context_.limits.header);
    while (scan.state == HeaderScan::State::kIncomplete) {
      if (stream_->ReadSome(yield)) {
        if (stream_->read_limit_passed())
          return ErrorKind::kRequestTimeout;
        // The caller disconnected before the end of the header, so there is no
        // one to respond to.
        return std::nullopt;
      }
      ScanHeader(scan, stream_->bytes(), kMaxRequestHeader);
    }
    stream_->ClearReadLimit();
    if (scan.state == HeaderScan::State::kTooLarge)
      return ErrorKind::kHeaderTooLarge;
    if (scan.state == HeaderScan::State::kMalformed)
      return ErrorKind::kMalformedRequest;
    return ParseHeader(parser, scan.size);
  }

  std::optional<ErrorKind> ParseHeader(RequestParser& parser, size_t size) {
    parser.header_limit(kMaxRequestHeader);
    parser.body_limit(kNoBodyLimit);
    boost::system::error_code error;
    parser.put(asio::buffer(stream_->buffer().cdata(), size), error);
    stream_->buffer().consume(size);
    if (error || !parser.is_header_done())
      return ErrorKind::kMalformedRequest;
    return std::nullopt;
  }

  void SendError(ErrorKind kind, YieldContext yield) {
    ++context_.tables.counters.requests;
    ++context_.tables.counters.errors[static_cast<size_t>(kind)];
    stream_->Write(ErrorResponse({kind, AnswerFor(kind).outcome, std::nullopt},
                                 true, false, context_.http_profile),
                   context_.limits.body_progress, yield);
  }

  /**
   * Waits for the caller to close the connection, up to the linger time.
   * Closing at once with unread bytes would make the kernel reset the
   * connection, and the caller could lose the last response.
   */
  void Linger(YieldContext yield) {
    boost::system::error_code error;
    stream_->socket().shutdown(tcp::socket::shutdown_send, error);
    if (error)
      return;
    stream_->LimitReads(context_.clock.Now() + context_.limits.linger);
    do {
      stream_->buffer().consume(stream_->buffer().size());
    } while (!stream_->ReadSome(yield));
    stream_->ClearReadLimit();
  }

  SessionContext context_;
  SessionCallbacks callbacks_;
  std::shared_ptr<CallerStream> stream_;
  CallerState caller_;
  /** True while waiting for a request, when Drain can close the connection. */
  bool idle_ = false;
};

std::weak_ptr<CallerSession> StartCallerSession(CallerSocket socket,
                                                const SessionContext& context,
                                                SessionCallbacks callbacks) {
  auto session = std::make_shared<CallerSession>(std::move(socket), context,
                                                 std::move(callbacks));
  session->Start();
  return session;
}

void DrainSession(CallerSession& session) {
  session.Drain();
}

}  // namespace mangodoor
