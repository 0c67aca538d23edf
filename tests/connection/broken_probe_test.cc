#include <gtest/gtest.h>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "connection/fake_server.h"
#include "connection/invalid_statuses.h"
#include "process/servers/io/health_prober.h"
#include "process/servers/io/load_prober.h"
#include "process/system_clock.h"
#include "process/worker_pool.h"

namespace mangodoor {
namespace {

constexpr std::chrono::seconds kTimeout{5};
constexpr char kWarm[] = "{\"state\":\"warm\",\"in_flight\":2}";

/** Probes of a server whose responses are broken, or nearly so. */
class BrokenProbeTest : public testing::Test {
 protected:
  BrokenProbeTest() { workers_.Start(); }
  ~BrokenProbeTest() override { workers_.Stop(); }

  /** Probes a server that runs `script`, for its load. */
  ProbeResult ProbeLoad(FakeServer::Script script) {
    return Probe(
        LoadProber(workers_.context(), pool_, counters_, http_profile_, done_),
        std::move(script));
  }

  /** The same, for its health. */
  ProbeResult ProbeHealth(FakeServer::Script script) {
    return Probe(HealthProber(workers_.context(), counters_, done_, kTimeout),
                 std::move(script));
  }

  uint64_t FaultCount(ResponseFault fault) const {
    return counters_.response_faults[static_cast<size_t>(fault)];
  }

 private:
  template <typename Prober>
  ProbeResult Probe(Prober prober, FakeServer::Script script) {
    servers_.push_back(std::make_unique<FakeServer>(std::move(script)));
    result_ = {};
    prober.Probe({BackendServerId("b"), servers_.back()->endpoint(), 3});
    std::future<ProbeResult> result = result_.get_future();
    EXPECT_EQ(result.wait_for(kTimeout), std::future_status::ready);
    return result.get();
  }

  std::vector<std::unique_ptr<FakeServer>> servers_;
  SystemClock clock_;
  Counters counters_;
  HttpProfile http_profile_;
  WorkerPool workers_{1};
  TcpBackendTransport transport_{workers_.context()};
  BackendConnectionPool pool_{transport_, clock_, counters_};
  std::promise<ProbeResult> result_;
  std::function<void(const BackendServerId&, const ProbeResult&)> done_ =
      [this](const BackendServerId&, const ProbeResult& probe_result) {
        result_.set_value(probe_result);
      };
};

// The first bytes of the body have to arrive with the head.
void RespondWithHugeLength(TestConnection& connection) {
  connection.ReadMessage();
  connection.Write(
      "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\nbody");
}

FakeServer::Script RespondWithStatus(const char* status) {
  return [status](TestConnection& connection) {
    connection.ReadMessage();
    connection.Write(
        std::string("HTTP/1.1 ") + status + " Status\r\nContent-Length: " +
        std::to_string(std::string(kWarm).size()) + "\r\n\r\n" + kWarm);
    connection.ReadMessage();
  };
}

/** Responds without a length, and ends the connection with or without reset. */
FakeServer::Script RespondUntilEnd(bool reset) {
  return [reset](TestConnection& connection) {
    connection.ReadMessage();
    connection.Write(std::string("HTTP/1.1 200 OK\r\n\r\n") + kWarm);
    if (reset)
      connection.Reset();
  };
}

// Guards against a process that ends because a health response states a length
// beyond its memory.
TEST_F(BrokenProbeTest, HugeLengthEndsTheLoadProbe) {
  EXPECT_FALSE(ProbeLoad(RespondWithHugeLength).answered);
}

TEST_F(BrokenProbeTest, HugeLengthEndsTheHealthProbe) {
  EXPECT_FALSE(ProbeHealth(RespondWithHugeLength).state.has_value());
}

// Guards against bytes that are no response and still tell the load of a
// server.
TEST_F(BrokenProbeTest, InvalidStatusDoesNotAnswerTheLoadProbe) {
  uint64_t count = 0;
  for (const char* status : kInvalidStatuses) {
    SCOPED_TRACE(status);
    EXPECT_FALSE(ProbeLoad(RespondWithStatus(status)).answered);
    EXPECT_EQ(FaultCount(ResponseFault::kMalformedHead), ++count);
  }
}

TEST_F(BrokenProbeTest, InvalidStatusDoesNotAnswerTheHealthProbe) {
  for (const char* status : kInvalidStatuses) {
    SCOPED_TRACE(status);
    EXPECT_FALSE(ProbeHealth(RespondWithStatus(status)).state.has_value());
  }
}

// Guards against a part of a response that is taken for the whole of it.
TEST_F(BrokenProbeTest, ResetDoesNotAnswerAProbe) {
  EXPECT_FALSE(ProbeLoad(RespondUntilEnd(true)).answered);
  EXPECT_FALSE(ProbeHealth(RespondUntilEnd(true)).state.has_value());
}

TEST_F(BrokenProbeTest, CloseEndsTheResponseToAProbe) {
  EXPECT_TRUE(ProbeLoad(RespondUntilEnd(false)).healthy);
  EXPECT_EQ(ProbeHealth(RespondUntilEnd(false)).state, ServerState::kWarm);
}

}  // namespace
}  // namespace mangodoor
