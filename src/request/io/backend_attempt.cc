#include "request/io/backend_attempt.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/field.hpp>
#include <utility>

#include "process/io/action_runner.h"
#include "process/servers/retry_table.h"
#include "process/tables.h"
#include "request/header_scan.h"
#include "request/io/response_check.h"
#include "request/load_metrics.h"
#include "request/status_code.h"

namespace mangodoor {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr size_t kReadSize = 16 * 1024;
// More than any sound server sends, so that one that never stops is noticed
// long before the deadline.
constexpr int kMaxOtherResponses = 32;

std::string_view BytesOf(const boost::beast::flat_buffer& buffer) {
  const auto data = buffer.cdata();
  return {static_cast<const char*>(data.data()), data.size()};
}

std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/** Appends a field, unless its name is empty because the interface lacks it. */
void AppendField(std::string& out,
                 const std::string& name,
                 const std::string& value) {
  if (!name.empty())
    out += name + ": " + value + "\r\n";
}

}  // namespace

BackendAttempt::BackendAttempt(const SessionContext& context,
                               Strand strand,
                               const OutgoingRequest& request,
                               ChosenServer server,
                               ResponseFaults& faults)
    : context_(context),
      strand_(std::move(strand)),
      request_(request),
      server_(std::move(server)),
      faults_(faults),
      started_at_(context.clock.Now()) {}

AttemptReport BackendAttempt::Run(const std::function<void()>& on_sent,
                                  YieldContext yield) {
  if (!Connect(yield))
    return FinishReport(aborted_.value_or(AttemptReport::End::kNoConnection));
  if (auto rejected = RecheckBeforeSend())
    return FinishReport(*rejected);
  if (!Send(yield))
    return FinishReport(aborted_.value_or(AttemptReport::End::kConnectionLost));
  on_sent();
  const AttemptReport::End end = ReadResponseHead(yield);
  return FinishReport(aborted_.value_or(end));
}

void BackendAttempt::Abort(AttemptReport::End end, ErrorKind error) {
  if (aborted_ || finished_)
    return;
  aborted_ = end;
  report_.error = error;
  if (connection_channel_)
    connection_channel_->Interrupt();
  boost::system::error_code ignored;
  if (connection_)
    connection_->socket->close(ignored);
}

// If a connection has carried a request with the same id, a late second
// response to that one could not be told from the response to this one.
bool BackendAttempt::Connect(YieldContext yield) {
  while (OpenOrReuse(yield) && Find(connection_->sent, request_.id))
    context_.pool.Discard(std::exchange(connection_, nullptr));
  was_reused_ = connection_ && connection_->reused;
  return connection_ != nullptr && !aborted_;
}

bool BackendAttempt::OpenOrReuse(YieldContext yield) {
  connection_ = context_.pool.TakeIdle(server_);
  if (!connection_) {
    connection_channel_ =
        std::make_shared<OneShotChannel<BackendConnectionPtr>>(
            strand_, [&pool = context_.pool](BackendConnectionPtr late) {
              if (late)
                pool.Return(std::move(late));
            });
    const uint64_t ticket = context_.pool.Open(
        server_,
        [channel = connection_channel_](boost::system::error_code,
                                        BackendConnectionPtr connection) {
          channel->Deliver(std::move(connection));
        });
    connection_ = connection_channel_->Wait(yield).value_or(nullptr);
    if (!connection_) {
      connection_channel_->Abandon();
      context_.pool.CancelOpen(server_, ticket);
    }
    connection_channel_ = nullptr;
  }
  return connection_ != nullptr;
}

// The wait for a connection, or a pause of the process, may have taken long, so
// the earlier checks are repeated.
std::optional<AttemptReport::End> BackendAttempt::RecheckBeforeSend() {
  const TimePoint now = context_.clock.Now();
  if (now >= request_.deadline)
    return AttemptReport::End::kDeadline;
  if (request_.caller_gone())
    return AttemptReport::End::kCallerGone;
  if (auto error = RecheckAuthorisation()) {
    report_.error = *error;
    return AttemptReport::End::kRequestRejected;
  }
  if (!MayStillSend(context_.tables.servers, server_.server, now))
    return AttemptReport::End::kServerWithdrawn;
  return std::nullopt;
}

std::optional<ErrorKind> BackendAttempt::RecheckAuthorisation() {
  const VersionPtr current = VersionInForce(context_.tables.versions);
  const bool keyed = request_.authorisation.client_account != nullptr;
  if (keyed &&
      !MayServeKeyedRequests(context_.tables.versions, context_.clock.Now()))
    return ErrorKind::kConfigurationStale;
  if (current == request_.version)
    return std::nullopt;
  const Authorisation current_authorisation =
      Authorise(*current, request_.host, request_.path, request_.key_digest);
  if (current_authorisation.error)
    return current_authorisation.error;
  // The server was chosen for the request's service, and the request was
  // counted against its client account's rate limit. So the current version
  // must still allow that service and lead to the same account.
  if (!MaySendTo(*current_authorisation.route, request_.service) ||
      (current_authorisation.client_account != nullptr) != keyed ||
      (keyed && current_authorisation.client_account->id !=
                    request_.authorisation.client_account->id))
    return ErrorKind::kNoServer;
  return std::nullopt;
}

bool BackendAttempt::Send(YieldContext yield) {
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      request_.deadline - context_.clock.Now());
  std::string message = request_.head;
  AppendField(message, context_.http_profile.time_limit,
              std::to_string(remaining.count()));
  AppendField(message, context_.http_profile.expected_server,
              server_.server.value());
  if (request_.authorisation.client_account) {
    AppendField(message, context_.http_profile.client_account,
                request_.authorisation.client_account->id.value());
  }
  message += "\r\n";
  message += request_.body;
  report_.bytes_sent = true;
  earlier_requests_ = connection_->sent.requests.size();
  connection_->last_request_id = request_.id;
  Add(connection_->sent, request_.id, request_.is_head);
  return !Write(message, yield);
}

boost::system::error_code BackendAttempt::Write(std::string_view data,
                                                YieldContext yield) {
  return mangodoor::Write(*connection_, data, yield);
}

boost::system::error_code BackendAttempt::ReadSome(YieldContext yield) {
  const boost::system::error_code error =
      mangodoor::ReadSome(*connection_, kReadSize, yield);
  if (!error && aborted_)
    return asio::error::operation_aborted;
  return error;
}

boost::system::error_code BackendAttempt::ReadBodyPart(ServerResponse& response,
                                                       YieldContext yield) {
  boost::system::error_code error = ReadSome(yield);
  // Fails unless the body is one that ends with its connection.
  if (error == asio::error::eof && !aborted_)
    response.parser.put_eof(error);
  return error;
}

AttemptReport::End BackendAttempt::ReadResponseHead(YieldContext yield) {
  for (int others = 0; !response_; ++others) {
    if (others > kMaxOtherResponses) {
      RecordFault(ResponseFault::kTooManyResponses);
      return AttemptReport::End::kBadResponse;
    }
    if (const auto failed = ReadNextResponse(yield))
      return *failed;
  }
  const AttemptReport::End end = ClassifyResponse();
  if (end != AttemptReport::End::kBadResponse)
    RecordLoad();
  if (end != AttemptReport::End::kResponse ||
      !context_.http_profile.buffers_responses)
    return end;
  return BufferBody(*response_, yield);
}

/**
 * Reads one response. On success, either `response_` is set, or the response
 * was an interim one or one to an earlier request and has been skipped.
 */
std::optional<AttemptReport::End> BackendAttempt::ReadNextResponse(
    YieldContext yield) {
  size_t size = 0;
  if (const auto failed = ReadHead(size, yield))
    return failed;
  auto response = ParseHead(size, request_.is_head);
  if (!response)
    return AttemptReport::End::kBadResponse;
  if (const auto fault = FaultOfHead(response->header, context_.http_profile)) {
    RecordFault(*fault, response.get());
    return AttemptReport::End::kBadResponse;
  }
  const ResponseOwner owner =
      OwnerOf(RequestIdOf(response->header, context_.http_profile),
              {request_.id, request_.is_head}, connection_->sent);
  // Whether the response has a body depends on the method of its own request.
  if (owner.is_head != request_.is_head)
    response = ParseHead(size, owner.is_head);
  if (!response)
    return AttemptReport::End::kBadResponse;
  connection_->buffer.consume(size);
  // Interim responses are not forwarded: this instance answers Expect itself.
  if (IsInterimStatus(response->header.result_int()))
    return std::nullopt;
  if (owner.kind != ResponseOwner::Kind::kThisRequest)
    return SkipResponse(owner, *response, yield);
  response_ = std::move(response);
  return std::nullopt;
}

/** Skips a response to an earlier request; fails for one of unknown origin. */
std::optional<AttemptReport::End> BackendAttempt::SkipResponse(
    const ResponseOwner& owner,
    ServerResponse& response,
    YieldContext yield) {
  RecordFault(FaultOf(owner.kind), &response);
  if (owner.kind != ResponseOwner::Kind::kEarlierRequest)
    return AttemptReport::End::kBadResponse;
  if (!MayHaveBody(response.header, owner.is_head)) {
    RecordFault(ResponseFault::kUnknownEnd, &response);
    return AttemptReport::End::kBadResponse;
  }
  return SkipBody(response, yield);
}

/**
 * Reads past the body of a response. Fails if the end of the body is unknown,
 * is not reached, or lies beyond kMaxBufferedBody.
 */
std::optional<AttemptReport::End> BackendAttempt::SkipBody(
    ServerResponse& response,
    YieldContext yield) {
  if (response.parser.need_eof() ||
      BufferBody(response, yield) != AttemptReport::End::kResponse ||
      !response.parser.is_done())
    return AttemptReport::End::kBadResponse;
  return std::nullopt;
}

/** Buffers the body until it is complete or the buffer is full. */
AttemptReport::End BackendAttempt::BufferBody(ServerResponse& response,
                                              YieldContext yield) {
  ResponseParser& parser = response.parser;
  std::string& body = response.buffered_body;
  while (!parser.is_done() && body.size() < kMaxBufferedBody) {
    if (DecodeBody(parser, connection_->buffer, body, kMaxBufferedBody)) {
      RecordFault(ResponseFault::kMalformedBody, &response);
      return AttemptReport::End::kBadResponse;
    }
    if (parser.is_done() || body.size() >= kMaxBufferedBody)
      break;
    if (ReadBodyPart(response, yield))
      return AttemptReport::End::kConnectionLost;
  }
  return AttemptReport::End::kResponse;
}

/**
 * Reads until the connection's buffer begins with the complete head of a
 * response, which has `size` bytes.
 */
std::optional<AttemptReport::End> BackendAttempt::ReadHead(size_t& size,
                                                           YieldContext yield) {
  auto& buffer = connection_->buffer;
  HeaderScan scan;
  ScanHeader(scan, BytesOf(buffer), kMaxResponseHeader);
  while (scan.state == HeaderScan::State::kIncomplete) {
    if (ReadSome(yield))
      return AttemptReport::End::kConnectionLost;
    ScanHeader(scan, BytesOf(buffer), kMaxResponseHeader);
  }
  if (scan.state != HeaderScan::State::kComplete) {
    RecordFault(scan.state == HeaderScan::State::kTooLarge
                    ? ResponseFault::kHeadTooLarge
                    : ResponseFault::kMalformedHead,
                nullptr);
    return AttemptReport::End::kBadResponse;
  }
  size = scan.size;
  return std::nullopt;
}

/**
 * Parses the head in the first `size` bytes of the connection's buffer. Null if
 * it is malformed.
 */
std::unique_ptr<ServerResponse> BackendAttempt::ParseHead(
    size_t size,
    bool is_response_to_head) {
  auto response = std::make_unique<ServerResponse>();
  ResponseParser& parser = response->parser;
  parser.header_limit(kMaxResponseHeader);
  parser.body_limit(kNoBodyLimit);
  parser.skip(is_response_to_head);
  boost::system::error_code error;
  parser.put(asio::buffer(connection_->buffer.cdata(), size), error);
  if (error || !parser.is_header_done()) {
    RecordFault(ResponseFault::kMalformedHead, nullptr);
    return nullptr;
  }
  response->header = std::move(parser.get().base());
  return response;
}

AttemptReport::End BackendAttempt::ClassifyResponse() {
  if (const auto fault =
          FaultOfResponse(response_->header, context_.http_profile,
                          request_.traits.idempotent)) {
    RecordFault(*fault);
    return AttemptReport::End::kBadResponse;
  }
  if (StatesNotRun(response_->header, context_.http_profile))
    return AttemptReport::End::kRefusedByServer;
  switch (response_->header.result()) {
    case http::status::service_unavailable:
    case http::status::bad_gateway:
    case http::status::gateway_timeout:
      return AttemptReport::End::kUnavailable;
    default:
      return AttemptReport::End::kResponse;
  }
}

void BackendAttempt::RecordLoad() {
  const LoadMetrics load = context_.http_profile.parse_load(
      View(response_->header[context_.http_profile.load]));
  result_.server_load = load.server_load;
  result_.reported_in_flight = load.in_flight;
  result_.reported_cold = load.cold;
}

AttemptReport BackendAttempt::FinishReport(AttemptReport::End end) {
  report_.end = end;
  report_.body_dropped = report_.body_dropped && report_.bytes_sent;
  result_.latency = context_.clock.Now() - started_at_;
  return report_;
}

void BackendAttempt::RecordFault(ResponseFault fault,
                                 const ServerResponse* response) {
  ++context_.tables.counters.response_faults[static_cast<size_t>(fault)];
  ResponseFaultRecord record{server_.server, fault};
  if (response) {
    record.status = response->status();
    record.response_id = std::string(
        RequestIdOf(response->header, context_.http_profile).value_or(""));
  }
  Add(faults_, std::move(record));
}

// Not done in a destructor: when the program ends, coroutines are unwound after
// the tables and the pool have been destroyed.
void BackendAttempt::Finish(AttemptResult::End end, bool response_complete) {
  const bool keep =
      connection_ && !aborted_ &&
      (response_complete ? response_ && response_->parser.keep_alive()
                         : !report_.bytes_sent);
  // Before `finished_` is set, since it can run out of memory.
  if (keep && connection_->buffer.size() > 0)
    RecordFault(ResponseFault::kBytesAfterResponse);
  finished_ = true;
  if (connection_) {
    if (keep)
      context_.pool.Return(std::move(connection_));
    else
      context_.pool.Discard(std::move(connection_));
  }
  connection_ = nullptr;
  result_.end = end;
  result_.placement = server_.placement;
  context_.actions.Run(ReleaseServer(context_.tables.servers, server_.server,
                                     result_, context_.clock.Now()));
}

void BackendAttempt::FinishUnused(const AttemptReport& report) {
  const bool complete = report.end != AttemptReport::End::kBadResponse &&
                        !aborted_ && IsResponseComplete();
  Finish(ResultOf(report, status()), complete);
}

/** True if the response to the request is short and has arrived completely. */
bool BackendAttempt::IsResponseComplete() {
  if (!response_)
    return false;
  std::string unused;
  return !DecodeBody(response_->parser, connection_->buffer, unused,
                     kMaxBufferedBody) &&
         response_->parser.is_done();
}

}  // namespace mangodoor
