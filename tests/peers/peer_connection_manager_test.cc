#include "process/peers/io/peer_connection_manager.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "peers/test_connection_manager.h"

namespace mangodoor {
namespace {

constexpr char kSecret[] = "a secret of the test fleet";

DocumentText LargeDocument(size_t size) {
  return {7, std::string(64, 'a'), std::string(size, 'x')};
}

// Guards against messages that are lost or altered between two instances.
TEST(PeerConnectionManagerTest, CarriesMessagesBothWays) {
  TestConnectionManager a(TestInstance("a", 1), kSecret, LimitsForIdlePeers());
  TestConnectionManager b(TestInstance("b", 2), kSecret, LimitsForIdlePeers());
  a.manager().SetPeers({b.self()});
  ASSERT_TRUE(Eventually([&] { return a.IsConnected(b) && b.IsConnected(a); }));
  a.manager().Send(b.self().id, DocumentRequest{7});
  b.manager().Send(a.self().id, LargeDocument(1000000));
  ASSERT_TRUE(Eventually(
      [&] { return !a.received().empty() && !b.received().empty(); }));
  EXPECT_EQ(std::get<DocumentRequest>(b.received().front()).version, 7u);
  EXPECT_EQ(std::get<DocumentText>(a.received().front()).text.size(), 1000000u);
}

// Guards against accepting an instance of another fleet or an intruder.
TEST(PeerConnectionManagerTest, AnotherSecretIsRejected) {
  TestConnectionManager a(TestInstance("a", 1), kSecret, LimitsForIdlePeers());
  TestConnectionManager b(TestInstance("b", 2), "another secret",
                          LimitsForIdlePeers());
  a.manager().SetPeers({b.self()});
  EXPECT_TRUE(Eventually([&] {
    return a.counters().peer_protocol_errors +
               b.counters().peer_protocol_errors >
           1;
  }));
  EXPECT_TRUE(a.manager().ConnectedPeers().empty());
  EXPECT_TRUE(b.manager().ConnectedPeers().empty());
}

// Guards against keeping two connections, or none, when both sides connect at
// the same time.
TEST(PeerConnectionManagerTest, KeepsOneOfTwoConnections) {
  TestConnectionManager a(TestInstance("a", 1), kSecret, LimitsForIdlePeers());
  TestConnectionManager b(TestInstance("b", 2), kSecret, LimitsForIdlePeers());
  a.manager().SetPeers({b.self()});
  b.manager().SetPeers({a.self()});
  ASSERT_TRUE(Eventually([&] { return a.IsConnected(b) && b.IsConnected(a); }));
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  EXPECT_EQ(a.manager().ConnectedPeers(), std::vector<InstanceId>{b.self().id});
  EXPECT_EQ(b.manager().ConnectedPeers(), std::vector<InstanceId>{a.self().id});
  a.manager().Send(b.self().id, DocumentRequest{1});
  b.manager().Send(a.self().id, DocumentRequest{2});
  EXPECT_TRUE(Eventually(
      [&] { return a.received().size() == 1 && b.received().size() == 1; }));
}

// Guards against a peer that is not connected to again after its restart.
TEST(PeerConnectionManagerTest, ReconnectsAfterPeerRestart) {
  TestConnectionManager a(TestInstance("a", 1), kSecret, LimitsForIdlePeers());
  auto b = std::make_unique<TestConnectionManager>(
      TestInstance("b", 2), kSecret, LimitsForIdlePeers());
  const Instance b_instance = b->self();
  a.manager().SetPeers({b_instance});
  ASSERT_TRUE(Eventually([&] { return a.IsConnected(*b); }));
  b.reset();
  ASSERT_TRUE(Eventually([&] { return a.manager().ConnectedPeers().empty(); }));
  EXPECT_TRUE(Eventually([&] { return a.lost() == 1; }));
  b = std::make_unique<TestConnectionManager>(b_instance, kSecret,
                                              LimitsForIdlePeers());
  EXPECT_TRUE(Eventually([&] { return a.IsConnected(*b); }));
}

// Guards against keeping a half-open connection for ever.
TEST(PeerConnectionManagerTest, SilentPeerIsLost) {
  PeerConnectionLimits limits;
  limits.silence_timeout = std::chrono::milliseconds(300);
  TestConnectionManager a(TestInstance("a", 1), kSecret, limits);
  TestConnectionManager b(TestInstance("b", 2), kSecret, LimitsForIdlePeers());
  b.manager().SetPeers({a.self()});
  ASSERT_TRUE(Eventually([&] { return a.IsConnected(b); }));
  EXPECT_TRUE(Eventually([&] { return a.lost() > 0; }));
}

// Guards against a peer that uses up processor time by sending many messages.
TEST(PeerConnectionManagerTest, FloodingPeerIsClosed) {
  PeerConnectionLimits limits = LimitsForIdlePeers();
  limits.message_burst = 20;
  limits.messages_per_s = 1;
  TestConnectionManager a(TestInstance("a", 1), kSecret, limits);
  TestConnectionManager b(TestInstance("b", 2), kSecret, LimitsForIdlePeers());
  b.manager().SetPeers({a.self()});
  ASSERT_TRUE(Eventually([&] { return b.IsConnected(a); }));
  for (int i = 0; i < 100; ++i)
    b.manager().Send(a.self().id, DocumentRequest{1});
  EXPECT_TRUE(Eventually([&] { return a.lost() > 0; }));
  EXPECT_LE(a.received().size(), 20u);
}

// Guards against keeping connections to instances that were removed from the
// peers.
TEST(PeerConnectionManagerTest, ConnectionToRemovedPeerIsClosed) {
  TestConnectionManager a(TestInstance("a", 1), kSecret, LimitsForIdlePeers());
  TestConnectionManager b(TestInstance("b", 2), kSecret, LimitsForIdlePeers());
  a.manager().SetPeers({b.self()});
  ASSERT_TRUE(Eventually([&] { return a.IsConnected(b) && b.IsConnected(a); }));
  a.manager().SetPeers({});
  EXPECT_TRUE(Eventually([&] { return b.manager().ConnectedPeers().empty(); }));
}

}  // namespace
}  // namespace mangodoor
