#include "process/load/io/load_caller.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "request/status_code.h"
#include "version/io/json_text.h"

namespace mangodoor {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Response = http::response<http::string_body>;

namespace {

constexpr char kAddressesTarget[] = "/.well-known/mangodoor/addresses";
constexpr uint64_t kMaxBodyBytes = 128 * 1024 * 1024;

// The delay between attempts doubles from the first to the maximum.
constexpr std::chrono::milliseconds kFirstRetryDelay{20};
constexpr std::chrono::milliseconds kMaxRetryDelay{320};

struct Addresses {
  std::vector<Endpoint> addresses;
  std::chrono::milliseconds time_to_live{0};
};

std::optional<Addresses> DecodeAddresses(const std::string& text) {
  try {
    const std::optional<nlohmann::json> json = ParseUntrustedJson(text);
    if (!json)
      return std::nullopt;
    Addresses answer;
    for (const nlohmann::json& address : json->at("addresses"))
      answer.addresses.push_back(ParseEndpoint(address.get<std::string>()));
    answer.time_to_live =
        std::chrono::milliseconds(json->at("keep_ms").get<int64_t>());
    return answer;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

Response Read(beast::tcp_stream& stream,
              beast::flat_buffer& buffer,
              bool has_body,
              asio::yield_context yield) {
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  parser.skip(!has_body);
  // Reads the header separately: Beast 1.74 loses the error of an exceeded body
  // limit when bytes of the body arrive together with the header.
  http::async_read_header(stream, buffer, parser, yield);
  http::async_read(stream, buffer, parser, yield);
  return parser.release();
}

RequestAttempt ToAttempt(const Response& response) {
  RequestAttempt attempt;
  attempt.end = RequestAttempt::End::kResponse;
  attempt.http_status = static_cast<int>(response.result_int());
  attempt.error = std::string(response["Mangodoor-Error"]);
  attempt.outcome = std::string(response["Mangodoor-Outcome"]);
  return attempt;
}

}  // namespace

LoadCaller::LoadCaller(asio::io_context& context,
                       const Clock& clock,
                       const CallerOptions& options,
                       size_t address_offset)
    : context_(context),
      clock_(clock),
      options_(options),
      address_offset_(address_offset) {}

RequestResult LoadCaller::SendRequest(TimePoint due,
                                      asio::yield_context yield) {
  const bool idempotent = IsIdempotentMethod(options_.method);
  RequestResult result;
  std::chrono::milliseconds retry_delay = kFirstRetryDelay;
  for (;;) {
    result.last = Attempt(yield);
    ++result.attempts;
    if (result.attempts >= options_.max_attempts ||
        !MayRetry(result.last, idempotent))
      break;
    asio::steady_timer timer(context_, retry_delay);
    timer.async_wait(yield);
    retry_delay = std::min(2 * retry_delay, kMaxRetryDelay);
  }
  result.latency = clock_.Now() - due;
  return result;
}

RequestAttempt LoadCaller::Attempt(asio::yield_context yield) {
  RequestAttempt attempt;
  if (NeedsRefresh(address_cache_, clock_.Now()))
    RefreshAddresses(yield);
  const auto address =
      ChooseAddress(address_cache_, address_offset_, clock_.Now());
  if (!address)
    return attempt;
  try {
    // An open connection is reused even if its address is not the chosen one.
    if (!stream_)
      Connect(*address, yield);
  } catch (const boost::system::system_error&) {
    AvoidAddress(address_cache_, *address, clock_.Now());
    Disconnect();
    return attempt;
  }
  return Exchange(yield);
}

RequestAttempt LoadCaller::Exchange(asio::yield_context yield) {
  http::request<http::string_body> request(
      http::string_to_verb(options_.method), options_.target, 11);
  request.set(http::field::host, ToString(connected_to_));
  request.set("X-Request-Timeout-Ms",
              std::to_string(options_.time_limit.count()));
  if (!options_.key.empty())
    request.set(http::field::authorization, "Bearer " + options_.key);
  request.body() = options_.body;
  request.prepare_payload();
  RequestAttempt attempt;
  attempt.end = RequestAttempt::End::kBroken;
  try {
    stream_->expires_after(options_.time_limit);
    http::async_write(*stream_, request, yield);
    const Response response =
        Read(*stream_, buffer_, request.method() != http::verb::head, yield);
    // Bytes behind another status belong to no request.
    const bool is_final = IsFinalStatus(response.result_int());
    if (is_final)
      attempt = ToAttempt(response);
    if (!is_final || !response.keep_alive())
      Disconnect();
  } catch (const boost::system::system_error&) {
    AvoidAddress(address_cache_, connected_to_, clock_.Now());
    Disconnect();
  }
  return attempt;
}

void LoadCaller::RefreshAddresses(asio::yield_context yield) {
  if (stream_ && FetchAddresses(connected_to_, yield)) {
    const auto& listed = address_cache_.addresses;
    if (std::find(listed.begin(), listed.end(), connected_to_) == listed.end())
      Disconnect();
    return;
  }
  // The known addresses come first, since the instances at the bootstrap
  // addresses may be gone by now; those are asked if no known address answers.
  const std::vector<Endpoint> known = address_cache_.addresses;
  if (!FetchAddressesFromAny(known, yield))
    FetchAddressesFromAny(options_.bootstrap, yield);
}

bool LoadCaller::FetchAddressesFromAny(const std::vector<Endpoint>& endpoints,
                                       asio::yield_context yield) {
  for (size_t i = 0; i < endpoints.size(); ++i) {
    const Endpoint& endpoint =
        endpoints[(address_offset_ + i) % endpoints.size()];
    if (!FetchAddresses(endpoint, yield))
      continue;
    // The request itself is sent to the address chosen from the answer.
    if (ChooseAddress(address_cache_, address_offset_, clock_.Now()) !=
        endpoint)
      Disconnect();
    return true;
  }
  return false;
}

bool LoadCaller::FetchAddresses(const Endpoint& endpoint,
                                asio::yield_context yield) {
  try {
    if (!stream_ || connected_to_ != endpoint) {
      Disconnect();
      Connect(endpoint, yield);
    }
    http::request<http::empty_body> request(http::verb::get, kAddressesTarget,
                                            11);
    request.set(http::field::host, ToString(endpoint));
    if (!options_.key.empty())
      request.set(http::field::authorization, "Bearer " + options_.key);
    stream_->expires_after(options_.time_limit);
    http::async_write(*stream_, request, yield);
    const Response response = Read(*stream_, buffer_, true, yield);
    if (!response.keep_alive())
      Disconnect();
    const auto answer = DecodeAddresses(response.body());
    if (response.result() != http::status::ok || !answer ||
        answer->addresses.empty()) {
      Disconnect();
      return false;
    }
    SetAddresses(address_cache_, answer->addresses, answer->time_to_live,
                 clock_.Now());
    return true;
  } catch (const boost::system::system_error&) {
    AvoidAddress(address_cache_, endpoint, clock_.Now());
    Disconnect();
    return false;
  }
}

void LoadCaller::Connect(const Endpoint& endpoint, asio::yield_context yield) {
  stream_ = std::make_unique<beast::tcp_stream>(context_);
  connected_to_ = endpoint;
  stream_->expires_after(options_.time_limit);
  stream_->async_connect(
      asio::ip::tcp::endpoint(asio::ip::make_address(endpoint.address),
                              endpoint.port),
      yield);
  stream_->socket().set_option(asio::ip::tcp::no_delay(true));
}

void LoadCaller::Disconnect() {
  stream_.reset();
  buffer_.clear();
}

}  // namespace mangodoor
