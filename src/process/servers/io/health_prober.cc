#include "process/servers/io/health_prober.h"

#include <boost/asio/spawn.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <utility>

#include "version/io/json_text.h"

namespace mangodoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr size_t kMaxHealthBytes = 4096;

std::optional<ServerState> StateFromName(const std::string& name) {
  if (name == "warm")
    return ServerState::kWarm;
  if (name == "cold")
    return ServerState::kCold;
  if (name == "draining")
    return ServerState::kDraining;
  return std::nullopt;
}

ProbeResult FetchHealth(beast::tcp_stream& stream,
                        const Endpoint& endpoint,
                        asio::yield_context yield) {
  stream.async_connect(
      {asio::ip::make_address(endpoint.address), endpoint.port}, yield);
  http::request<http::empty_body> request(http::verb::get, "/health", 11);
  request.set(http::field::host, ToString(endpoint));
  request.set(http::field::connection, "close");
  http::async_write(stream, request, yield);
  beast::flat_buffer buffer(kMaxHealthBytes);
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxHealthBytes);
  // Reads the header separately: Beast 1.74 loses the error of an exceeded body
  // limit when bytes of the body arrive together with the header.
  http::async_read_header(stream, buffer, parser, yield);
  http::async_read(stream, buffer, parser, yield);
  if (parser.get().result() != http::status::ok)
    return {};
  return ParseHealth(parser.get().body());
}

}  // namespace

ProbeResult ParseHealth(const std::string& body) {
  ProbeResult result;
  const auto json = ParseUntrustedJson(body);
  if (!json || !json->is_object())
    return result;
  const auto state = json->find("state");
  if (state != json->end() && state->is_string())
    result.state = StateFromName(state->get<std::string>());
  const auto in_flight = json->find("in_flight");
  if (in_flight != json->end() && in_flight->is_number_integer())
    result.in_flight = in_flight->get<int>();
  return result;
}

HealthProber::HealthProber(asio::io_context& io,
                           Counters& counters,
                           Done done,
                           Duration timeout)
    : io_(io), counters_(counters), done_(std::move(done)), timeout_(timeout) {}

void HealthProber::Probe(const ChosenServer& server) {
  ++counters_.probes;
  const auto strand = asio::make_strand(io_);
  asio::spawn(strand, [strand, server, done = done_,
                       timeout = timeout_](asio::yield_context yield) {
    beast::tcp_stream stream(strand);
    stream.expires_after(timeout);
    ProbeResult result;
    try {
      result = FetchHealth(stream, server.endpoint, yield);
    } catch (const boost::system::system_error&) {
      // A probe without a response is reported as a result without a state.
    }
    done(server.server, result);
  });
}

}  // namespace mangodoor
