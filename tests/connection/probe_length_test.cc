#include <gtest/gtest.h>
#include <functional>
#include <future>

#include "connection/fake_server.h"
#include "process/servers/io/health_prober.h"
#include "process/servers/io/load_prober.h"
#include "process/system_clock.h"
#include "process/worker_pool.h"

namespace mangodoor {
namespace {

constexpr std::chrono::seconds kTimeout{5};

// The first bytes of the body have to arrive with the head.
void RespondWithHugeLength(TestConnection& connection) {
  connection.ReadMessage();
  connection.Write(
      "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\nbody");
}

// Guards against a process that ends because a health response states a length
// beyond its memory.
class ProbeLengthTest : public testing::Test {
 protected:
  ProbeLengthTest() { workers_.Start(); }
  ~ProbeLengthTest() override { workers_.Stop(); }

  template <typename Prober>
  ProbeResult ResultOf(Prober& prober) {
    prober.Probe({BackendServerId("b"), server_.endpoint(), 3});
    std::future<ProbeResult> result = result_.get_future();
    EXPECT_EQ(result.wait_for(kTimeout), std::future_status::ready);
    return result.get();
  }

  FakeServer server_{RespondWithHugeLength};
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

TEST_F(ProbeLengthTest, HugeLengthEndsTheLoadProbe) {
  LoadProber prober(workers_.context(), pool_, counters_, http_profile_, done_);
  EXPECT_FALSE(ResultOf(prober).answered);
}

TEST_F(ProbeLengthTest, HugeLengthEndsTheHealthProbe) {
  HealthProber prober(workers_.context(), counters_, done_, kTimeout);
  EXPECT_FALSE(ResultOf(prober).state.has_value());
}

}  // namespace
}  // namespace mangodoor
