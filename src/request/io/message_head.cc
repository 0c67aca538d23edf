#include "request/io/message_head.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>

#include "request/deadline.h"

namespace mangodoor {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using http::field;

constexpr std::string_view kViaField = "Via: 1.1 mangodoor\r\n";
constexpr int kHttp10 = 10;

std::string_view View(beast::string_view text) {
  return {text.data(), text.size()};
}

beast::string_view BeastView(std::string_view text) {
  return {text.data(), text.size()};
}

bool EqualsIgnoringCase(beast::string_view name, std::string_view other) {
  return beast::iequals(name, BeastView(other));
}

bool IsHopByHop(field name) {
  switch (name) {
    case field::connection:
    case field::keep_alive:
    case field::proxy_authenticate:
    case field::proxy_authorization:
    case field::proxy_connection:
    case field::te:
    case field::trailer:
    case field::transfer_encoding:
    case field::upgrade:
      return true;
    default:
      return false;
  }
}

/** True if the Connection header lists `name`: that field is hop-by-hop. */
bool IsNamedInConnection(beast::string_view connection,
                         beast::string_view name) {
  return !connection.empty() && http::token_list(connection).exists(name);
}

bool IsNamed(const Fields::value_type& entry, const std::string& name) {
  return !name.empty() && EqualsIgnoringCase(entry.name_string(), name);
}

bool IsKeyField(const Fields::value_type& entry,
                const HttpProfile& http_profile) {
  return entry.name() == field::authorization ||
         IsNamed(entry, http_profile.key_field);
}

/**
 * True for fields that are not forwarded, since this instance writes or
 * evaluates them itself.
 */
bool IsOwnField(const Fields::value_type& entry,
                const HttpProfile& http_profile) {
  if (entry.name() == field::content_length || entry.name() == field::expect)
    return true;
  if (entry.name() != field::unknown)
    return false;
  return IsNamed(entry, http_profile.time_limit) ||
         IsNamed(entry, http_profile.client_account) ||
         IsNamed(entry, http_profile.expected_server) ||
         IsNamed(entry, http_profile.not_run) ||
         IsNamed(entry, http_profile.load) ||
         EqualsIgnoringCase(entry.name_string(), "Mangodoor-Error") ||
         EqualsIgnoringCase(entry.name_string(), "Mangodoor-Outcome");
}

bool IsForwarded(const Fields::value_type& entry,
                 beast::string_view connection,
                 const HttpProfile& http_profile) {
  if (IsHopByHop(entry.name()) || IsKeyField(entry, http_profile) ||
      IsOwnField(entry, http_profile))
    return false;
  // Fields on which the receiver relies are not hop-by-hop, whatever the sender
  // lists.
  return entry.name() == field::host ||
         IsNamed(entry, http_profile.request_id) ||
         IsNamed(entry, http_profile.signature) ||
         !IsNamedInConnection(connection, entry.name_string());
}

void Append(std::string& out, std::string_view text) {
  out.append(text.data(), text.size());
}

void AppendField(std::string& out, const Fields::value_type& entry) {
  Append(out, View(entry.name_string()));
  Append(out, ": ");
  Append(out, View(entry.value()));
  Append(out, "\r\n");
}

void AppendFields(std::string& out,
                  const Fields& fields,
                  const HttpProfile& http_profile) {
  // Connection can occur more than once; its values form one list.
  const size_t connection_count = fields.count(field::connection);
  std::string joined;
  beast::string_view connection = fields[field::connection];
  if (connection_count > 1) {
    const auto [first, last] = fields.equal_range(field::connection);
    for (auto entry = first; entry != last; ++entry)
      joined += std::string(entry->value()) + ",";
    joined.pop_back();
    connection = joined;
  }
  if (beast::iequals(connection, "keep-alive") ||
      beast::iequals(connection, "close"))
    connection = {};
  for (const auto& entry : fields) {
    if (IsForwarded(entry, connection, http_profile))
      AppendField(out, entry);
  }
}

void AppendFraming(std::string& out, const Framing& framing) {
  if (framing.kind == Framing::Kind::kLength)
    out += "Content-Length: " + std::to_string(framing.length) + "\r\n";
  else if (framing.kind == Framing::Kind::kChunked)
    Append(out, "Transfer-Encoding: chunked\r\n");
}

/**
 * Makes a Forwarded field. An IPv6 address is quoted and bracketed (RFC 7239).
 */
std::string ForwardedField(const std::string& caller_address) {
  if (caller_address.find(':') != std::string::npos)
    return "Forwarded: for=\"[" + caller_address + "]\";proto=http\r\n";
  return "Forwarded: for=" + caller_address + ";proto=http\r\n";
}

/** Retry-After in seconds with a fraction; 1 s if `retry_after` is unset. */
std::string RetryAfterField(const std::optional<Duration>& retry_after) {
  const Duration wait = retry_after.value_or(std::chrono::seconds(1));
  std::array<char, 48> field{};
  const int size = std::snprintf(field.data(), field.size(),
                                 "Retry-After: %.6g\r\n", Seconds(wait));
  return {field.data(), static_cast<size_t>(size)};
}

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

std::optional<ErrorKind> CheckFraming(const RequestHeader& header) {
  const size_t lengths = header.count(field::content_length);
  const size_t encodings = header.count(field::transfer_encoding);
  if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0))
    return ErrorKind::kMalformedRequest;
  // Beast also accepts a list of equal lengths, but some servers may not.
  const auto length = header[field::content_length];
  if (lengths > 0 && !std::all_of(length.begin(), length.end(), IsDigit))
    return ErrorKind::kMalformedRequest;
  if (encodings == 0)
    return std::nullopt;
  if (header.version() == kHttp10)
    return ErrorKind::kMalformedRequest;
  if (!beast::iequals(header[field::transfer_encoding], "chunked"))
    return ErrorKind::kUnsupportedRequest;
  return std::nullopt;
}

std::optional<ErrorKind> CheckTarget(const RequestHeader& header) {
  if (header.method() == http::verb::connect || header.target().empty() ||
      header.target().front() != '/')
    return ErrorKind::kUnsupportedRequest;
  return std::nullopt;
}

}  // namespace

std::optional<ErrorKind> CheckRequestHeader(const RequestHeader& header,
                                            const HttpProfile& http_profile) {
  if (auto error = CheckFraming(header))
    return error;
  if (auto error = CheckTarget(header))
    return error;
  const size_t hosts = header.count(field::host);
  if (hosts > 1 || (hosts == 0 && header.version() != kHttp10))
    return ErrorKind::kMalformedRequest;
  // Two keys could belong to two client accounts.
  const size_t other_keys =
      http_profile.key_field.empty() ? 0 : header.count(http_profile.key_field);
  if (header.count(field::authorization) + other_keys > 1)
    return ErrorKind::kMalformedRequest;
  // Servers repeat one id, and it may be either.
  if (!http_profile.request_id.empty() &&
      header.count(http_profile.request_id) > 1)
    return ErrorKind::kMalformedRequest;
  const size_t time_limits = header.count(http_profile.time_limit);
  if (time_limits > 1 ||
      (time_limits == 1 &&
       !ParseMilliseconds(View(header[http_profile.time_limit]))))
    return ErrorKind::kMalformedRequest;
  if (header.count(field::expect) > 0 && !ExpectsContinue(header))
    return ErrorKind::kUnsupportedRequest;
  return std::nullopt;
}

std::string_view PresentedKey(const RequestHeader& header,
                              const HttpProfile& http_profile) {
  const std::string& scheme = http_profile.key_scheme;
  const auto authorization = header[field::authorization];
  if (authorization.size() > scheme.size() &&
      EqualsIgnoringCase(authorization.substr(0, scheme.size()), scheme))
    return View(authorization.substr(scheme.size()));
  return http_profile.key_field.empty() ? std::string_view()
                                        : View(header[http_profile.key_field]);
}

bool RepeatsDecidingField(const ResponseHeader& header,
                          const HttpProfile& http_profile) {
  const auto repeats = [&header](const std::string& name) {
    return !name.empty() && header.count(name) > 1;
  };
  return repeats(http_profile.request_id) || repeats(http_profile.signature) ||
         repeats(http_profile.not_run);
}

bool HasUnsupportedTransferCoding(const ResponseHeader& header) {
  const size_t count = header.count(field::transfer_encoding);
  if (count == 0)
    return false;
  return count > 1 || header.version() == kHttp10 ||
         !beast::iequals(header[field::transfer_encoding], "chunked");
}

bool MayHaveBody(const ResponseHeader& header, bool is_response_to_head) {
  const auto status = header.result();
  return !is_response_to_head && status != http::status::no_content &&
         status != http::status::not_modified;
}

bool ExpectsContinue(const RequestHeader& header) {
  return beast::iequals(header[field::expect], "100-continue");
}

std::string ForwardedRequestHead(const RequestHeader& header,
                                 const Framing& framing,
                                 const std::string& caller_address,
                                 const HttpProfile& http_profile) {
  std::string out;
  out.reserve(1024);
  Append(out, View(header.method_string()));
  out += ' ';
  Append(out, View(header.target()));
  Append(out, " HTTP/1.1\r\n");
  AppendFields(out, header, http_profile);
  if (header.count(field::host) == 0)
    Append(out, "Host: \r\n");
  AppendFraming(out, framing);
  if (http_profile.adds_forwarding_fields) {
    out += ForwardedField(caller_address);
    Append(out, kViaField);
  }
  return out;
}

std::string ForwardedResponseHead(const ResponseHeader& header,
                                  const Framing& framing,
                                  bool close,
                                  const HttpProfile& http_profile) {
  std::string out;
  out.reserve(1024);
  Append(out, "HTTP/1.1 ");
  out += std::to_string(header.result_int());
  out += ' ';
  Append(out, View(header.reason()));
  Append(out, "\r\n");
  AppendFields(out, header, http_profile);
  AppendFraming(out, framing);
  if (http_profile.adds_forwarding_fields)
    Append(out, kViaField);
  Append(out, close ? "Connection: close\r\n\r\n" : "\r\n");
  return out;
}

std::string ForwardedTrailers(const Fields& trailers,
                              const HttpProfile& http_profile) {
  std::string out;
  for (const auto& entry : trailers) {
    if (IsForwarded(entry, {}, http_profile) && entry.name() != field::host)
      AppendField(out, entry);
  }
  return out + "\r\n";
}

std::string MakeResponse(int status,
                         std::string_view fields,
                         std::string_view body,
                         bool close,
                         bool head_only) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  Append(out, View(http::obsolete_reason(static_cast<http::status>(status))));
  Append(out, "\r\n");
  Append(out, fields);
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  Append(out, close ? "Connection: close\r\n\r\n" : "\r\n");
  if (!head_only)
    Append(out, body);
  return out;
}

int StatusOf(const ErrorPlan& plan, const HttpProfile& http_profile) {
  const ErrorAnswer& answer = AnswerFor(plan.error);
  if (plan.error == ErrorKind::kKeyUnknown)
    return http_profile.key_unknown_status;
  const bool refusal = answer.caller_may_retry &&
                       plan.outcome == Outcome::kNotRun &&
                       plan.error != ErrorKind::kRateExceeded &&
                       plan.error != ErrorKind::kRequestTimeout;
  return refusal && http_profile.refusal_status != 0
             ? http_profile.refusal_status
             : answer.http_status;
}

std::string ErrorResponse(const ErrorPlan& plan,
                          bool close,
                          bool head_only,
                          const HttpProfile& http_profile) {
  const ErrorAnswer& answer = AnswerFor(plan.error);
  std::string fields = "Content-Type: text/plain\r\nMangodoor-Error: ";
  fields += answer.name;
  fields += "\r\nMangodoor-Outcome: ";
  fields += OutcomeName(plan.outcome);
  fields += "\r\n";
  // No Retry-After if the request may have run: repeating it may be unsafe.
  if (answer.caller_may_retry && plan.outcome == Outcome::kNotRun)
    fields += RetryAfterField(plan.retry_after);
  return MakeResponse(StatusOf(plan, http_profile), fields,
                      std::string(answer.name) + "\n", close, head_only);
}

}  // namespace mangodoor
