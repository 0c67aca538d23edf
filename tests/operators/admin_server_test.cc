#include "process/status/io/admin_server.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include "process/fake_clock.h"
#include "process/status/instance_status.h"
#include "process/status/io/admin_pages.h"
#include "process/status/io/status_codec.h"
#include "process/tables.h"
#include "process/worker_pool.h"

namespace mangodoor {
namespace {

namespace asio = boost::asio;
using ::testing::HasSubstr;
using tcp = asio::ip::tcp;

struct Response {
  int http_status = 0;
  std::string body;
};

// A free port of 127.0.0.1. Another program could take it before the server
// does, but that is unlikely, as the kernel chooses from thousands of ports.
Endpoint FreeEndpoint() {
  asio::io_context context;
  tcp::acceptor acceptor(context,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  return {"127.0.0.1", acceptor.local_endpoint().port()};
}

class AdminServerTest : public ::testing::Test {
 protected:
  AdminServerTest() {
    tables_.membership.self.id = InstanceId("a1");
    pool_.Start();
  }
  ~AdminServerTest() override {
    server_.Stop();
    pool_.Join();
  }

  // Returns status 0 if the connection ends without a response.
  Response Get(const std::string& target) {
    const std::string text = Exchange("GET " + target +
                                      " HTTP/1.1\r\nHost: a1\r\n"
                                      "Connection: close\r\n\r\n");
    const size_t body = text.find("\r\n\r\n");
    if (text.rfind("HTTP/1.1 ", 0) != 0 || body == std::string::npos)
      return {};
    return {std::stoi(text.substr(9, 3)), text.substr(body + 4)};
  }

  // Sends `bytes` and returns all that arrives until the server closes.
  std::string Exchange(const std::string& bytes) {
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address(endpoint_.address), endpoint_.port});
    // Errors are ignored: the server can close the connection early, but what
    // it has sent before is still read.
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    std::string response;
    asio::read(socket, asio::dynamic_buffer(response), error);
    return response;
  }

  Tables tables_;
  FakeClock clock_;
  WorkerPool pool_{2};
  Endpoint endpoint_ = FreeEndpoint();
  AdminServer server_{tables_, clock_, pool_.context(), endpoint_};
};

// Guards against directing requests to an instance that has no document yet.
TEST_F(AdminServerTest, NotReadyWithoutDocument) {
  EXPECT_EQ(Get("/healthz").http_status, 200);
  const Response response = Get("/readyz");
  EXPECT_EQ(response.http_status, 503);
  EXPECT_EQ(response.body, "not ready: no document is in force\n");
}

// Guards against pages that differ from the contents of the tables.
TEST_F(AdminServerTest, PagesShowTheTables) {
  tables_.counters.requests = 3;
  ++tables_.counters.errors[static_cast<size_t>(ErrorKind::kRateExceeded)];
  Record(tables_.audit, {WallTime(), 4, "d", InstanceId("b2"), true, {"x"}});
  EXPECT_EQ(DecodeStatus(Get("/status?x=1").body).self.id, InstanceId("a1"));
  EXPECT_EQ(DecodeAudit(Get("/audit").body).at(0).version, 4U);
  const std::string metrics = Get("/metrics").body;
  EXPECT_THAT(metrics, HasSubstr("\nmangodoor_requests_total 3\n"));
  EXPECT_THAT(metrics, HasSubstr("mangodoor_errors_total{kind=\"rate_exceeded\""
                                 ",outcome=\"not-run\"} 1\n"));
  EXPECT_THAT(metrics, HasSubstr("\nmangodoor_ready 0\n"));
}

// Guards against clients that crash the process or use up its memory.
TEST_F(AdminServerTest, BadRequestsEndOnlyTheirConnection) {
  EXPECT_EQ(Get("/other").http_status, 404);
  EXPECT_THAT(Exchange("POST /status HTTP/1.1\r\nConnection: close\r\n\r\n"),
              HasSubstr("405 Method Not Allowed"));
  EXPECT_EQ(Exchange("no request at all\r\n\r\n"), "");
  EXPECT_EQ(
      Exchange("GET / HTTP/1.1\r\nX: " + std::string(10000, 'x') + "\r\n\r\n"),
      "");
  EXPECT_EQ(Get("/healthz").http_status, 200);
}

// Guards against unlimited connections, and against idle ones that lock out
// operators for ever: connections are accepted again once others have ended.
TEST_F(AdminServerTest, ConnectionsAreLimited) {
  {
    asio::io_context context;
    std::vector<tcp::socket> idle;
    for (int i = 0; i < 16; ++i) {
      idle.emplace_back(context).connect(
          {asio::ip::make_address(endpoint_.address), endpoint_.port});
    }
    EXPECT_EQ(Get("/healthz").http_status, 0);
  }
  for (int i = 0; i < 100; ++i) {
    if (Get("/healthz").http_status == 200)
      return;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  FAIL() << "no connection was accepted after the idle ones had ended";
}

// Guards against a planned stop that waits for an open connection of an
// operator.
TEST_F(AdminServerTest, StopClosesOpenConnections) {
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect({asio::ip::make_address(endpoint_.address), endpoint_.port});
  EXPECT_EQ(Get("/healthz").http_status, 200);
  server_.Stop();
  std::string response;
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(response), error);
  EXPECT_EQ(error, asio::error::eof);
}

// Guards against a crash when the worker pool is stopped without stopping the
// server while an operator is connected.
TEST(AdminServerShutdownTest, WorkerPoolCanStopFirst) {
  Tables tables;
  FakeClock clock;
  const Endpoint endpoint = FreeEndpoint();
  asio::io_context context;
  tcp::socket idle(context);
  {
    WorkerPool pool(2);
    AdminServer server(tables, clock, pool.context(), endpoint);
    pool.Start();
    idle.connect({asio::ip::make_address(endpoint.address), endpoint.port});
    asio::write(idle,
                asio::buffer(std::string("GET /healthz HTTP/1.1\r\n\r\n")));
    std::string response;
    asio::read_until(idle, asio::dynamic_buffer(response), "alive\n");
    pool.Stop();
  }
  std::string rest;
  boost::system::error_code error;
  asio::read(idle, asio::dynamic_buffer(rest), error);
  EXPECT_TRUE(error);
}

// Guards against a /readyz that reports an instance as ready although it would
// refuse keyed requests.
TEST(ReadinessTest, OnlyAServingFreshInstanceIsReady) {
  const auto reason = [](bool document, InstanceState state, bool fresh,
                         bool can_use_share = true) {
    return DecideReadiness(document, state, fresh, can_use_share).reason;
  };
  EXPECT_EQ(reason(true, InstanceState::kServing, true), "");
  EXPECT_THAT(reason(false, InstanceState::kServing, true),
              HasSubstr("no document"));
  EXPECT_THAT(reason(true, InstanceState::kJoining, true),
              HasSubstr("joining"));
  EXPECT_THAT(reason(true, InstanceState::kLeaving, true),
              HasSubstr("leaving"));
  EXPECT_THAT(reason(true, InstanceState::kServing, false),
              HasSubstr("fenced"));
  EXPECT_THAT(reason(true, InstanceState::kServing, true, false),
              HasSubstr("share"));
  EXPECT_EQ(ReadinessPage({true, ""}).http_status, 200);
  EXPECT_EQ(ReadinessPage({false, "x"}).http_status, 503);
}

}  // namespace
}  // namespace mangodoor
