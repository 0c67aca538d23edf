#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <thread>

#include "fleet/harness/fault_relay.h"
#include "peers/test_connection_manager.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;

constexpr char kSecret[] = "a secret of the test fleet";

// Half of the silence after which a fleet declares a member gone.
constexpr milliseconds kHeartbeatInterval(400);

// A delayed relay forwards 16 KiB each 120 ms, so this takes about five
// seconds, more than twice the time after which a silent peer is lost.
constexpr size_t kLongMessageBytes = 700 * 1000;

/** Sends heartbeats between two instances, as a fleet does. */
class Heartbeats {
 public:
  Heartbeats(TestConnectionManager& a, TestConnectionManager& b)
      : thread_([this, &a, &b] {
          while (!stopped_) {
            a.manager().Send(b.self().id, FleetHeartbeat());
            b.manager().Send(a.self().id, FleetHeartbeat());
            std::this_thread::sleep_for(kHeartbeatInterval);
          }
        }) {}
  ~Heartbeats() {
    stopped_ = true;
    thread_.join();
  }

 private:
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

template <typename Message>
bool HasReceived(const TestConnectionManager& manager) {
  const std::vector<PeerMessage> received = manager.received();
  return std::any_of(received.begin(), received.end(), [](const auto& message) {
    return std::holds_alternative<Message>(message);
  });
}

// Guards against a peer that counts as silent, and is disconnected, while a
// long message from it is on its way over a slow link.
TEST(SlowLinkTest, LongMessageDoesNotEndTheConnection) {
  TestConnectionManager a(TestInstance("a", 1), kSecret);
  TestConnectionManager b(TestInstance("b", 2), kSecret);
  const Endpoint relayed = LoopbackEndpoint(3);
  FaultRelay relay(relayed, b.self().peer_endpoint);
  relay.SetFault(LinkFault::kDelayed);
  Instance target = b.self();
  target.peer_endpoint = relayed;
  a.manager().SetPeers({target});
  ASSERT_TRUE(Eventually([&] { return a.IsConnected(b) && b.IsConnected(a); }));
  const Heartbeats heartbeats(a, b);
  a.manager().Send(b.self().id,
                   DocumentText{7, std::string(64, 'a'),
                                std::string(kLongMessageBytes, 'x')});
  EXPECT_TRUE(Eventually([&] { return HasReceived<DocumentText>(b); }));
  EXPECT_EQ(a.lost(), 0);
  EXPECT_EQ(b.lost(), 0);
}

}  // namespace
}  // namespace mangodoor
