#include "request/io/response_relay.h"

#include <boost/beast/http/error.hpp>
#include <string>

#include "process/clock.h"

namespace mangodoor {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Written out once this much is decoded; bounds memory for one response.
constexpr size_t kPieceSize = kMaxBufferedBody;

void AppendPiece(std::string& out,
                 const std::string& piece,
                 const Framing& framing) {
  if (framing.kind == Framing::Kind::kChunked)
    AppendChunk(out, piece);
  else
    out += piece;
}

/** Reads more, or ends a body that is marked by the end of the connection. */
boost::system::error_code FillOrEnd(BackendAttempt& attempt,
                                    Watchdog& watch,
                                    const SessionContext& context,
                                    YieldContext yield) {
  watch.Set(context.clock.Now() + context.limits.body_progress,
            [&attempt] { attempt.Abort(AttemptReport::End::kDeadline); });
  boost::system::error_code error = attempt.Fill(yield);
  watch.Clear();
  if (error == asio::error::eof && !attempt.aborted()) {
    boost::system::error_code end_error;
    attempt.parser().put_eof(end_error);
    return end_error;
  }
  return error;
}

void AppendEnd(std::string& out,
               ResponseParser& parser,
               const Framing& framing,
               const HttpProfile& http_profile) {
  if (framing.kind != Framing::Kind::kChunked)
    return;
  out += "0\r\n";
  // Only trailers are left in the message: the header was moved out of it.
  out += ForwardedTrailers(parser.get(), http_profile);
}

}  // namespace

Framing ResponseFraming(ResponseParser& parser,
                        const ResponseHeader& header,
                        const RelayOptions& options) {
  const auto status = header.result();
  const bool may_have_body = status != http::status::no_content &&
                             status != http::status::not_modified &&
                             !options.head_only;
  const auto length = header[http::field::content_length];
  if (!may_have_body) {
    // The length that a GET would have had is passed on.
    if (length.empty() || status == http::status::no_content)
      return {Framing::Kind::kNone, 0};
    return {Framing::Kind::kLength, std::stoull(std::string(length))};
  }
  if (parser.content_length())
    return {Framing::Kind::kLength, *parser.content_length()};
  return {
      options.http_10 ? Framing::Kind::kUntilClose : Framing::Kind::kChunked,
      0};
}

RelayEnd RelayResponse(BackendAttempt& attempt,
                       CallerStream& caller,
                       const SessionContext& context,
                       const RelayOptions& options,
                       YieldContext yield) {
  ResponseParser& parser = attempt.parser();
  const Framing framing = ResponseFraming(parser, attempt.header(), options);
  Watchdog& watch = caller.run_watch();
  std::string out = ForwardedResponseHead(attempt.header(), framing,
                                          options.close, context.http_profile);
  std::string piece = attempt.TakeHeldBody();
  for (;;) {
    if (DecodeBody(parser, attempt.buffer(), piece, kPieceSize))
      return RelayEnd::kServerBroke;
    AppendPiece(out, piece, framing);
    piece.clear();
    if (parser.is_done()) {
      if (!options.head_only)
        AppendEnd(out, parser, framing, context.http_profile);
      break;
    }
    // The head waits for the first part of the body only if that is here.
    attempt.report().response_begun = true;
    if (caller.Write(out, context.limits.body_progress, yield))
      return RelayEnd::kCallerLost;
    out.clear();
    if (FillOrEnd(attempt, watch, context, yield))
      return RelayEnd::kServerBroke;
  }
  attempt.report().response_begun = true;
  return caller.Write(out, context.limits.body_progress, yield)
             ? RelayEnd::kCallerLost
             : RelayEnd::kWhole;
}

}  // namespace mangodoor
