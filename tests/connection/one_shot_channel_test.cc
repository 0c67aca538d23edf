#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include "connection/data_path_fixture.h"
#include "connection/io/strand_signal.h"
#include "process/servers/io/health_prober.h"

namespace mangodoor {
namespace {

class OneShotChannelTest : public testing::Test {
 protected:
  OneShotChannelTest() {
    channel_ = std::make_shared<OneShotChannel<int>>(
        boost::asio::make_strand(workers_.context()),
        [this](int value) { late_value_ = value; });
    workers_.Start();
  }

  /** Waits in a coroutine. -1 means that the wait was interrupted. */
  void StartWait() {
    boost::asio::spawn(channel_->strand(), [this](YieldContext yield) {
      waiting_ = true;
      const auto value = channel_->Wait(yield);
      if (!value)
        channel_->Abandon();
      result_ = value.value_or(-1);
    });
  }

  void InterruptOnStrand() {
    boost::asio::post(channel_->strand(), [this] { channel_->Interrupt(); });
  }

  std::atomic<bool> waiting_{false};
  std::atomic<int> result_{0};
  std::atomic<int> late_value_{0};
  std::shared_ptr<OneShotChannel<int>> channel_;
  WorkerPool workers_{2};
};

// Guards against losing a value that is delivered before the wait.
TEST_F(OneShotChannelTest, ValueBeforeWait) {
  channel_->Deliver(7);
  StartWait();
  EXPECT_TRUE(Eventually([this] { return result_ == 7; }));
}

TEST_F(OneShotChannelTest, ValueFromAnotherThread) {
  StartWait();
  ASSERT_TRUE(Eventually([this] { return waiting_.load(); }));
  channel_->Deliver(7);
  EXPECT_TRUE(Eventually([this] { return result_ == 7; }));
}

// Guards against losing a value that arrives after the wait was interrupted. If
// the caller hung up while a server was being chosen, that server would stay
// reserved.
TEST_F(OneShotChannelTest, ValueAfterInterruptGoesToLateHandler) {
  StartWait();
  ASSERT_TRUE(Eventually([this] { return waiting_.load(); }));
  InterruptOnStrand();
  ASSERT_TRUE(Eventually([this] { return result_ == -1; }));
  channel_->Deliver(7);
  EXPECT_TRUE(Eventually([this] { return late_value_ == 7; }));
}

class ProberTest : public testing::Test {
 protected:
  ProbeResult Probe(const Endpoint& endpoint) {
    std::atomic<bool> done{false};
    ProbeResult result;
    WorkerPool workers(1);
    HealthProber health_prober(
        workers.context(), counters_,
        [&](const BackendServerId&, const ProbeResult& probed) {
          result = probed;
          done = true;
        },
        std::chrono::milliseconds(200));
    health_prober.Probe({BackendServerId("b"), endpoint, 1});
    workers.Start();
    EXPECT_TRUE(Eventually([&] { return done.load(); }));
    return result;
  }

  Counters counters_;
};

TEST_F(ProberTest, ReadsHealth) {
  FakeServer server(RespondToAll(R"({"state":"cold","in_flight":1})"));
  const ProbeResult result = Probe(server.endpoint());
  EXPECT_EQ(result.state, ServerState::kCold);
  EXPECT_EQ(result.in_flight, 1);
  EXPECT_EQ(counters_.probes, 1);
}

// Guards against a probe that waits for ever, or reports a hung server as
// healthy.
TEST_F(ProberTest, SilentServerHasNoState) {
  FakeServer server(
      [](TestConnection& connection) { connection.ClosedByPeer(); });
  EXPECT_FALSE(Probe(server.endpoint()).state);
}

}  // namespace
}  // namespace mangodoor
