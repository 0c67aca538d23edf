#include "request/io/response_relay.h"

#include <string>

namespace mangodoor {
namespace {

namespace http = boost::beast::http;

// At most this many bytes of a body are decoded before they are written, which
// bounds the memory of one response.
constexpr size_t kRelayBufferSize = kMaxBufferedBody;

void AppendBody(std::string& out,
                const std::string& decoded,
                const Framing& framing) {
  if (framing.kind == Framing::Kind::kChunked)
    AppendChunk(out, decoded);
  else
    out += decoded;
}

void AppendBodyEnd(std::string& out,
                   ResponseParser& parser,
                   const Framing& framing,
                   const HttpProfile& http_profile) {
  if (framing.kind != Framing::Kind::kChunked)
    return;
  out += "0\r\n";
  // Only trailers are left in the message: its header was moved out.
  out += ForwardedTrailers(parser.get(), http_profile);
}

}  // namespace

Framing ResponseFraming(ResponseParser& parser,
                        const ResponseHeader& header,
                        const RelayOptions& options) {
  const auto length = header[http::field::content_length];
  if (!MayHaveBody(header, options.head_only)) {
    // Responses to HEAD and with status 304 can state the length that the
    // response to a GET would have. That length is forwarded.
    if (length.empty() || header.result() == http::status::no_content)
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
                       std::string& rest,
                       YieldContext yield) {
  ServerResponse& response = attempt.response();
  ResponseParser& parser = response.parser;
  const Framing framing = ResponseFraming(parser, response.header, options);
  rest = ForwardedResponseHead(response.header, framing, options.close,
                               context.http_profile);
  std::string decoded = std::move(response.buffered_body);
  for (;;) {
    if (DecodeBody(parser, attempt.buffer(), decoded, kRelayBufferSize)) {
      attempt.RecordFault(ResponseFault::kMalformedBody);
      return RelayEnd::kServerFailed;
    }
    // With a full output, the connection's buffer can hold more of the body.
    const bool all_decoded = decoded.size() < kRelayBufferSize;
    AppendBody(rest, decoded, framing);
    decoded.clear();
    if (parser.is_done()) {
      if (!options.head_only)
        AppendBodyEnd(rest, parser, framing, context.http_profile);
      return RelayEnd::kReceived;
    }
    // The head does not wait for the body: the first write contains the part of
    // the body that has already arrived, if any.
    attempt.report().response_begun = true;
    if (caller.Write(rest, context.limits.body_progress, yield))
      return RelayEnd::kCallerGone;
    rest.clear();
    if (all_decoded && attempt.ReadBodyPart(response, yield))
      return RelayEnd::kServerFailed;
  }
}

}  // namespace mangodoor
