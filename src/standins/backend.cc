#include <sys/socket.h>
#include <tclap/CmdLine.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>

#include "process/system_clock.h"
#include "standins/backend_model.h"
#include "version/endpoint.h"

namespace mangodoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using Json = nlohmann::json;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr uint64_t kMaxBodyBytes = 256 * 1024 * 1024;

/** The state of the stand-in. Used on one thread, so it has no lock. */
struct Backend {
  explicit Backend(asio::io_context& context) : io(context) {}

  asio::io_context& io;
  SystemClock clock;
  Behaviour behaviour;
  BackendCounters counters;
  int running = 0;
  std::deque<std::shared_ptr<asio::steady_timer>> slot_waiters;
  std::mt19937_64 random{std::random_device{}()};

  bool IsCold() const { return mangodoor::IsCold(behaviour, clock.Now()); }
};

std::string LoadMetrics(const Backend& backend) {
  const int slots = std::max(backend.behaviour.slots, 1);
  return "TEXT application_utilization=" +
         std::to_string(static_cast<double>(backend.running) / slots) +
         ", named_metrics.in_flight=" +
         std::to_string(backend.counters.in_flight) +
         ", named_metrics.cold=" + (backend.IsCold() ? "1" : "0");
}

Response MakeResponse(const Backend& backend, int status, std::string body) {
  Response response(static_cast<http::status>(status), 11);
  response.set("endpoint-load-metrics", LoadMetrics(backend));
  response.set("X-Server", backend.behaviour.name);
  response.body() = std::move(body);
  return response;
}

Response MakeNotRunResponse(const Backend& backend) {
  Response response = MakeResponse(backend, 503, "not run\n");
  response.set("X-Not-Run", "1");
  return response;
}

Response HandleHealth(Backend& backend) {
  ++backend.counters.probes;
  const char* state = backend.behaviour.draining ? "draining"
                      : backend.IsCold()         ? "cold"
                                                 : "warm";
  const Json health{{"state", state},
                    {"in_flight", backend.counters.in_flight}};
  return MakeResponse(backend, 200, health.dump());
}

Response HandleControl(Backend& backend, const Request& request) {
  const auto target = request.target();
  if (target == "/standin/counters" && request.method() == http::verb::get)
    return MakeResponse(backend, 200, CountersJson(backend.counters).dump());
  if (target != "/standin/state")
    return MakeResponse(backend, 404, "no such control\n");
  try {
    if (request.method() == http::verb::post)
      SetState(backend.behaviour, Json::parse(request.body()),
               backend.clock.Now());
    return MakeResponse(
        backend, 200, StateJson(backend.behaviour, backend.clock.Now()).dump());
  } catch (const Json::exception& error) {
    return MakeResponse(backend, 400, std::string(error.what()) + "\n");
  }
}

Response MakeEchoResponse(const Backend& backend, const Request& request) {
  std::string body = std::string(request.method_string()) + " " +
                     std::string(request.target()) + "\n";
  for (const auto& field : request)
    body += std::string(field.name_string()) + ": " +
            std::string(field.value()) + "\n";
  return MakeResponse(backend, 200, body + "\n" + request.body());
}

/** Waits for a slot. Returns false if the queue is full. */
bool AcquireSlot(Backend& backend, asio::yield_context yield) {
  const Behaviour& behaviour = backend.behaviour;
  if (backend.running >= behaviour.slots) {
    if (static_cast<int>(backend.slot_waiters.size()) >= behaviour.queue)
      return false;
    auto wait = std::make_shared<asio::steady_timer>(backend.io);
    wait->expires_at(asio::steady_timer::time_point::max());
    backend.slot_waiters.push_back(wait);
    boost::system::error_code woken;
    wait->async_wait(yield[woken]);
    // ReleaseSlot() has handed its slot to this request, so `running` stays the
    // same.
    return true;
  }
  ++backend.running;
  return true;
}

void ReleaseSlot(Backend& backend) {
  if (backend.slot_waiters.empty()) {
    --backend.running;
    return;
  }
  backend.slot_waiters.front()->cancel();
  backend.slot_waiters.pop_front();
}

/** Waits for the service time. Returns false if the connection was closed. */
bool WaitForServiceTime(Backend& backend,
                        tcp::socket& socket,
                        asio::yield_context yield) {
  auto timer = std::make_shared<asio::steady_timer>(backend.io);
  if (backend.behaviour.hang)
    timer->expires_at(asio::steady_timer::time_point::max());
  else
    timer->expires_after(SampleServiceTime(backend.behaviour, backend.random));
  socket.async_wait(tcp::socket::wait_read,
                    [timer](boost::system::error_code) { timer->cancel(); });
  boost::system::error_code cancelled;
  timer->async_wait(yield[cancelled]);
  boost::system::error_code ignored;
  socket.cancel(ignored);
  char byte = 0;
  return !cancelled ||
         ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void CountRequest(Backend& backend, const Request& request) {
  BackendCounters& counters = backend.counters;
  ++counters.requests;
  counters.keys_seen += static_cast<int>(
      request.count(http::field::authorization) + request.count("X-Api-Key"));
  counters.requests_while_draining += backend.behaviour.draining ? 1 : 0;
  counters.cold_violations +=
      backend.IsCold() &&
              counters.in_flight >= backend.behaviour.cold_concurrency
          ? 1
          : 0;
}

/** Runs a request in a slot. Returns nothing if the connection was closed. */
std::optional<Response> RunInSlot(Backend& backend,
                                  const Request& request,
                                  tcp::socket& socket,
                                  asio::yield_context yield) {
  BackendCounters& counters = backend.counters;
  ++counters.in_flight;
  counters.highest_in_flight =
      std::max(counters.highest_in_flight, counters.in_flight);
  std::optional<Response> response;
  if (!AcquireSlot(backend, yield)) {
    ++counters.shed;
    response = MakeNotRunResponse(backend);
  } else {
    ++counters.runs;
    const auto id = request["X-Request-Id"];
    if (!id.empty())
      ++counters.runs_by_id[std::string(id)];
    if (WaitForServiceTime(backend, socket, yield))
      response = MakeEchoResponse(backend, request);
    else
      ++counters.cancelled;
    ReleaseSlot(backend);
  }
  --counters.in_flight;
  return response;
}

std::optional<Response> Serve(Backend& backend,
                              const Request& request,
                              tcp::socket& socket,
                              asio::yield_context yield) {
  if (request.target().starts_with("/standin/"))
    return HandleControl(backend, request);
  if (request.target() == "/health")
    return HandleHealth(backend);
  const int violations = backend.counters.cold_violations;
  CountRequest(backend, request);
  if (backend.behaviour.fail_fast)
    return MakeResponse(backend, 500, "failed\n");
  if (backend.counters.cold_violations > violations)
    return MakeNotRunResponse(backend);
  return RunInSlot(backend, request, socket, yield);
}

void ServeConnection(Backend& backend,
                     tcp::socket& socket,
                     asio::yield_context yield) {
  beast::flat_buffer buffer;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    http::async_read(socket, buffer, parser, yield);
    const Request request = parser.release();
    auto response = Serve(backend, request, socket, yield);
    if (!response)
      return;
    response->keep_alive(request.keep_alive());
    response->prepare_payload();
    if (request.method() == http::verb::head)
      response->body().clear();
    http::async_write(socket, *response, yield);
    if (!request.keep_alive())
      return;
  }
}

void StartConnection(Backend& backend, tcp::socket accepted) {
  BackendCounters& counters = backend.counters;
  if (counters.connections >= backend.behaviour.connection_limit) {
    ++counters.refused_connections;
    return;
  }
  ++counters.connections;
  counters.highest_connections =
      std::max(counters.highest_connections, counters.connections);
  auto socket = std::make_shared<tcp::socket>(std::move(accepted));
  asio::spawn(backend.io, [&backend, socket](asio::yield_context yield) {
    try {
      socket->set_option(tcp::no_delay(true));
      ServeConnection(backend, *socket, yield);
    } catch (const boost::system::system_error&) {
      // The instance closed the connection.
    }
    --backend.counters.connections;
  });
}

void Accept(tcp::acceptor& acceptor, Backend& backend) {
  acceptor.async_accept(
      [&](boost::system::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
          return;
        if (!error)
          StartConnection(backend, std::move(socket));
        Accept(acceptor, backend);
      });
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine command("Stand-in for a backend server.", ' ',
                         MANGODOOR_VERSION);
  const Behaviour defaults;
  TCLAP::ValueArg<std::string> listen("l", "listen", "Address", true, "",
                                      "ip:port", command);
  TCLAP::ValueArg<int> slots("", "slots", "Requests that run concurrently",
                             false, defaults.slots, "count", command);
  TCLAP::ValueArg<int> queue("", "queue", "Requests that wait for a slot",
                             false, defaults.queue, "count", command);
  TCLAP::ValueArg<int> connections("", "connection-limit",
                                   "Connections accepted at once", false,
                                   defaults.connection_limit, "count", command);
  TCLAP::ValueArg<double> latency("", "latency-ms", "Mean service time", false,
                                  0, "ms", command);
  TCLAP::ValueArg<std::string> distribution(
      "", "distribution", "fixed, exponential or lognormal", false,
      defaults.distribution, "name", command);
  TCLAP::ValueArg<double> cold("", "cold-ms", "How long it is cold after start",
                               false, 0, "ms", command);
  TCLAP::ValueArg<int> cold_concurrency(
      "", "cold-concurrency", "Requests in flight allowed while cold", false,
      defaults.cold_concurrency, "count", command);
  command.parse(argc, argv);
  asio::io_context io(1);
  Backend backend(io);
  backend.behaviour.name = listen.getValue();
  SetState(backend.behaviour,
           {{"slots", slots.getValue()},
            {"queue", queue.getValue()},
            {"connection_limit", connections.getValue()},
            {"latency_ms", latency.getValue()},
            {"distribution", distribution.getValue()},
            {"cold_ms", cold.getValue()},
            {"cold_concurrency", cold_concurrency.getValue()}},
           backend.clock.Now());
  const Endpoint endpoint = ParseEndpoint(listen.getValue());
  tcp::acceptor acceptor(
      io, {asio::ip::make_address(endpoint.address), endpoint.port});
  Accept(acceptor, backend);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait(
      [&io](const boost::system::error_code&, int) { io.stop(); });
  io.run();
  return 0;
}

}  // namespace
}  // namespace mangodoor

int main(int argc, char** argv) {
  try {
    return mangodoor::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return 1;
  }
}
