#include "process/peers/io/peer_connection_manager.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "peers/test_fleet.h"

namespace mangodoor {
namespace {

constexpr char kSecret[] = "a secret of the test fleet";

DocumentText LargeDocument(size_t size) {
  return {7, std::string(64, 'a'), std::string(size, 'x')};
}

// Guards against messages that are lost or altered between two hubs.
TEST(PeerHubTest, CarriesMessagesBothWays) {
  TestHub a(TestInstance("a", 1), kSecret, PatientLimits());
  TestHub b(TestInstance("b", 2), kSecret, PatientLimits());
  a.hub().SetPeers({b.self()});
  ASSERT_TRUE(Eventually([&] { return a.IsConnected(b) && b.IsConnected(a); }));
  a.hub().Send(b.self().id, DocumentRequest{7});
  b.hub().Send(a.self().id, LargeDocument(1000000));
  ASSERT_TRUE(Eventually(
      [&] { return !a.received().empty() && !b.received().empty(); }));
  EXPECT_EQ(std::get<DocumentRequest>(b.received().front()).version, 7u);
  EXPECT_EQ(std::get<DocumentText>(a.received().front()).text.size(), 1000000u);
}

// Guards against an instance of another fleet, or an intruder, as a peer.
TEST(PeerHubTest, AnotherSecretIsRefused) {
  TestHub a(TestInstance("a", 1), kSecret, PatientLimits());
  TestHub b(TestInstance("b", 2), "another secret", PatientLimits());
  a.hub().SetPeers({b.self()});
  EXPECT_TRUE(Eventually([&] {
    return a.counters().peer_protocol_errors +
               b.counters().peer_protocol_errors >
           1;
  }));
  EXPECT_TRUE(a.hub().ConnectedPeers().empty());
  EXPECT_TRUE(b.hub().ConnectedPeers().empty());
}

// Guards against two connections, or none, when both sides connect at once.
TEST(PeerHubTest, KeepsOneOfTwoConnections) {
  TestHub a(TestInstance("a", 1), kSecret, PatientLimits());
  TestHub b(TestInstance("b", 2), kSecret, PatientLimits());
  a.hub().SetPeers({b.self()});
  b.hub().SetPeers({a.self()});
  ASSERT_TRUE(Eventually([&] { return a.IsConnected(b) && b.IsConnected(a); }));
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  EXPECT_EQ(a.hub().ConnectedPeers(), std::vector<InstanceId>{b.self().id});
  EXPECT_EQ(b.hub().ConnectedPeers(), std::vector<InstanceId>{a.self().id});
  a.hub().Send(b.self().id, DocumentRequest{1});
  b.hub().Send(a.self().id, DocumentRequest{2});
  EXPECT_TRUE(Eventually(
      [&] { return a.received().size() == 1 && b.received().size() == 1; }));
}

// Guards against a fleet that stays apart after an instance was replaced.
TEST(PeerHubTest, ReconnectsAfterAPeerRestarts) {
  TestHub a(TestInstance("a", 1), kSecret, PatientLimits());
  auto b =
      std::make_unique<TestHub>(TestInstance("b", 2), kSecret, PatientLimits());
  const Instance address = b->self();
  a.hub().SetPeers({address});
  ASSERT_TRUE(Eventually([&] { return a.IsConnected(*b); }));
  b.reset();
  ASSERT_TRUE(Eventually([&] { return a.hub().ConnectedPeers().empty(); }));
  EXPECT_TRUE(Eventually([&] { return a.lost() == 1; }));
  b = std::make_unique<TestHub>(address, kSecret, PatientLimits());
  EXPECT_TRUE(Eventually([&] { return a.IsConnected(*b); }));
}

// Guards against a half-open connection that looks alive for ever.
TEST(PeerHubTest, SilentPeerIsLost) {
  PeerHubLimits limits;
  limits.silence_timeout = std::chrono::milliseconds(300);
  TestHub a(TestInstance("a", 1), kSecret, limits);
  TestHub b(TestInstance("b", 2), kSecret, PatientLimits());
  b.hub().SetPeers({a.self()});
  ASSERT_TRUE(Eventually([&] { return a.IsConnected(b); }));
  EXPECT_TRUE(Eventually([&] { return a.lost() > 0; }));
}

// Guards against a peer that makes this instance spend its processor time.
TEST(PeerHubTest, FloodingPeerIsClosed) {
  PeerHubLimits limits = PatientLimits();
  limits.message_burst = 20;
  limits.messages_per_s = 1;
  TestHub a(TestInstance("a", 1), kSecret, limits);
  TestHub b(TestInstance("b", 2), kSecret, PatientLimits());
  b.hub().SetPeers({a.self()});
  ASSERT_TRUE(Eventually([&] { return b.IsConnected(a); }));
  for (int i = 0; i < 100; ++i)
    b.hub().Send(a.self().id, DocumentRequest{1});
  EXPECT_TRUE(Eventually([&] { return a.lost() > 0; }));
  EXPECT_LE(a.received().size(), 20u);
}

// Guards against a hub that keeps connecting to instances that were replaced.
TEST(PeerHubTest, UnwantedConnectionIsClosed) {
  TestHub a(TestInstance("a", 1), kSecret, PatientLimits());
  TestHub b(TestInstance("b", 2), kSecret, PatientLimits());
  a.hub().SetPeers({b.self()});
  ASSERT_TRUE(Eventually([&] { return a.IsConnected(b) && b.IsConnected(a); }));
  a.hub().SetPeers({});
  EXPECT_TRUE(Eventually([&] { return b.hub().ConnectedPeers().empty(); }));
}

}  // namespace
}  // namespace mangodoor
