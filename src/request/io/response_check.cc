#include "request/io/response_check.h"

#include <boost/beast/http/field.hpp>

#include "request/status_code.h"

namespace mangodoor {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kStatusSwitchingProtocols = 101;
constexpr unsigned kSuccessClass = 2;

/** True for the statuses that can mean that a request did not run. */
bool IsRefusal(http::status status) {
  return status == http::status::request_timeout ||
         status == http::status::misdirected_request ||
         status == http::status::too_many_requests ||
         status == http::status::service_unavailable;
}

}  // namespace

std::optional<std::string_view> RequestIdOf(const ResponseHeader& header,
                                            const HttpProfile& http_profile) {
  const std::string& name = http_profile.request_id;
  const auto field = name.empty() ? header.end() : header.find(name);
  if (field == header.end() || field->value().empty())
    return std::nullopt;
  return std::string_view(field->value().data(), field->value().size());
}

ResponseFault FaultOf(ResponseOwner::Kind kind) {
  switch (kind) {
    case ResponseOwner::Kind::kEarlierRequest:
      return ResponseFault::kExtraResponse;
    case ResponseOwner::Kind::kNotStated:
      return ResponseFault::kNoRequestId;
    case ResponseOwner::Kind::kOtherRequest:
    case ResponseOwner::Kind::kThisRequest:
      break;
  }
  return ResponseFault::kOtherRequestId;
}

std::optional<ResponseFault> FaultOfHead(const ResponseHeader& header,
                                         const HttpProfile& http_profile) {
  const unsigned status = header.result_int();
  if (!IsInterimStatus(status) && !IsFinalStatus(status))
    return ResponseFault::kMalformedHead;
  if (status == kStatusSwitchingProtocols)
    return ResponseFault::kProtocolSwitched;
  // The head of a response that breaks off in a field can run into the next.
  if (RepeatsDecidingField(header, http_profile))
    return ResponseFault::kRepeatedField;
  return std::nullopt;
}

std::optional<ResponseFault> FaultOfResponse(const ResponseHeader& header,
                                             const HttpProfile& http_profile,
                                             bool idempotent) {
  if (HasUnsupportedTransferCoding(header))
    return ResponseFault::kTransferCoding;
  if (http_profile.rejects_encoded_responses &&
      header.count(http::field::content_encoding) > 0)
    return ResponseFault::kEncoded;
  const bool success = header.result_int() / 100 == kSuccessClass;
  if (success && !http_profile.signature.empty() &&
      header.count(http_profile.signature) == 0)
    return ResponseFault::kNotSigned;
  if (http_profile.refusals_mean_not_run && !idempotent &&
      IsRefusal(header.result()) && !StatesNotRun(header, http_profile))
    return ResponseFault::kUnconfirmedRefusal;
  return std::nullopt;
}

bool StatesNotRun(const ResponseHeader& header,
                  const HttpProfile& http_profile) {
  if (!http_profile.not_run.empty() && header[http_profile.not_run] == "1")
    return true;
  return !http_profile.expected_server.empty() &&
         header.result() == http::status::misdirected_request;
}

}  // namespace mangodoor
