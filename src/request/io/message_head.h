#ifndef REQUEST_IO_MESSAGE_HEAD_H_
#define REQUEST_IO_MESSAGE_HEAD_H_

#include <boost/beast/http/message.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "process/error_kind.h"
#include "request/attempt.h"
#include "request/http_profile.h"

namespace mangodoor {

using RequestHeader = boost::beast::http::request_header<>;
using ResponseHeader = boost::beast::http::response_header<>;
using Fields = boost::beast::http::fields;

/** How the end of a body is marked. */
struct Framing {
  enum class Kind { kNone, kLength, kChunked, kUntilClose };
  Kind kind = Kind::kNone;
  uint64_t length = 0;
};

/**
 * Returns an error for a header that is not supported or that servers could
 * parse in different ways.
 */
std::optional<ErrorKind> CheckRequestHeader(const RequestHeader& header,
                                            const HttpProfile& http_profile);

/** The API key of a request; empty if it has none. */
std::string_view PresentedKey(const RequestHeader& header,
                              const HttpProfile& http_profile);

/**
 * True if the request id, the signature or the statement that the request did
 * not run occurs more than once.
 */
bool RepeatsDecidingField(const ResponseHeader& header,
                          const HttpProfile& http_profile);

/**
 * True if the body has a transfer coding other than a single chunked, or has
 * one although the response is of HTTP/1.0.
 */
bool HasUnsupportedTransferCoding(const ResponseHeader& header);

/** False if a response ends with its head, whatever the head states. */
bool MayHaveBody(const ResponseHeader& header, bool is_response_to_head);

bool ExpectsContinue(const RequestHeader& header);

/**
 * The head to send to a backend server, without keys and hop-by-hop fields. It
 * lacks the final empty line, so that each attempt can add its fields.
 */
std::string ForwardedRequestHead(const RequestHeader& header,
                                 const Framing& framing,
                                 const std::string& caller_address,
                                 const HttpProfile& http_profile);

/** The head to send to the caller, including the empty line. */
std::string ForwardedResponseHead(const ResponseHeader& header,
                                  const Framing& framing,
                                  bool close,
                                  const HttpProfile& http_profile);

/** Trailer fields that may be forwarded, including the empty line. */
std::string ForwardedTrailers(const Fields& trailers,
                              const HttpProfile& http_profile);

/** A complete response made by this instance. `head_only` omits the body. */
std::string MakeResponse(int status,
                         std::string_view fields,
                         std::string_view body,
                         bool close,
                         bool head_only);

/** The HTTP status of the response to an error. */
int StatusOf(const ErrorPlan& plan, const HttpProfile& http_profile);

std::string ErrorResponse(const ErrorPlan& plan,
                          bool close,
                          bool head_only,
                          const HttpProfile& http_profile);

}  // namespace mangodoor

#endif  // REQUEST_IO_MESSAGE_HEAD_H_
