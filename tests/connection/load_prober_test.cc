#include "process/servers/io/load_prober.h"

#include <gtest/gtest.h>
#include <atomic>
#include <future>
#include <memory>

#include "connection/data_path_fixture.h"

namespace mangodoor {
namespace {

constexpr std::chrono::seconds kTimeout{5};

class LoadProberTest : public testing::Test {
 protected:
  LoadProberTest() {
    http_profile_.request_id = "X-Id";
    workers_.Start();
  }
  ~LoadProberTest() override { workers_.Stop(); }

  ProbeResult Probe(const FakeServer& server) {
    std::promise<ProbeResult> promise;
    std::future<ProbeResult> result = promise.get_future();
    LoadProber prober(
        workers_.context(), pool_, counters_, http_profile_,
        [&promise](const BackendServerId&, const ProbeResult& probe_result) {
          promise.set_value(probe_result);
        });
    prober.Probe({BackendServerId("b"), server.endpoint(), 3});
    EXPECT_EQ(result.wait_for(kTimeout), std::future_status::ready);
    return result.get();
  }

  SystemClock clock_;
  Counters counters_;
  HttpProfile http_profile_;
  WorkerPool workers_{1};
  TcpBackendTransport transport_{workers_.context()};
  BackendConnectionPool pool_{transport_, clock_, counters_};
};

// Guards against a late second response to a request that is taken for the
// response to a probe, and against the response to the probe that is then taken
// for the response to a request.
TEST_F(LoadProberTest, ExtraResponseIsNotTakenForTheProbe) {
  FakeServer server([](TestConnection& connection) {
    while (!connection.ReadMessage().empty()) {
      connection.Write(
          "HTTP/1.1 200 OK\r\nX-Id: one\r\nContent-Length: 0\r\n\r\n");
    }
  });
  EXPECT_FALSE(Probe(server).answered);
  EXPECT_FALSE(Probe(server).answered);
  EXPECT_EQ(server.connections(), 2);
  EXPECT_EQ(
      counters_
          .response_faults[static_cast<size_t>(ResponseFault::kExtraResponse)],
      2);
}

// Guards against memory that grows with a response without end to a probe.
TEST_F(LoadProberTest, EndlessFramingIsCutOff) {
  constexpr size_t kPiece = 64 * 1024;
  constexpr size_t kEndlessBytes = 16 * 1024 * 1024;
  const auto written = std::make_shared<std::atomic<size_t>>(kEndlessBytes);
  FakeServer server([written](TestConnection& connection) {
    connection.ReadMessage();
    connection.Write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=");
    size_t sent = 0;
    while (sent < kEndlessBytes && connection.Write(std::string(kPiece, 'x')))
      sent += kPiece;
    *written = sent;
  });
  EXPECT_FALSE(Probe(server).answered);
  EXPECT_TRUE(Eventually([&written] { return *written < kEndlessBytes; }));
}

// Guards against the response to a probe that the next request takes for its
// own, because an interim response was taken for it.
TEST_F(LoadProberTest, InterimResponseIsNotTheResponse) {
  FakeServer server([](TestConnection& connection) {
    while (!connection.ReadMessage().empty())
      connection.Write("HTTP/1.1 100 Continue\r\n\r\n");
  });
  EXPECT_FALSE(Probe(server).answered);
  EXPECT_FALSE(Probe(server).answered);
  EXPECT_EQ(server.connections(), 2);
}

// Guards against a probe that fails, or that closes its connection, although
// the server responds as it should.
TEST_F(LoadProberTest, HealthyServerKeepsItsConnection) {
  FakeServer server(RespondToAll(""));
  EXPECT_TRUE(Probe(server).healthy);
  EXPECT_TRUE(Probe(server).healthy);
  EXPECT_EQ(server.connections(), 1);
}

}  // namespace
}  // namespace mangodoor
