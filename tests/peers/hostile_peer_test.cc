#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/websocket.hpp>
#include <optional>

#include "connection/io/peer_handshake.h"
#include "peers/test_connection_manager.h"
#include "process/peers/io/peer_codec.h"

namespace mangodoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

constexpr char kSecret[] = "a secret of the test fleet";

/** A WebSocket client that sends whatever frames a test passes to it. */
class RawPeer {
 public:
  explicit RawPeer(const Instance& to) : stream_(context_) {
    beast::get_lowest_layer(stream_).expires_after(kTestTimeout);
    beast::get_lowest_layer(stream_).connect(
        {asio::ip::make_address(to.peer_endpoint.address),
         to.peer_endpoint.port});
    stream_.handshake(ToString(to.peer_endpoint), "/");
    stream_.binary(true);
  }

  void Send(const std::string& frame) {
    beast::error_code ignored;
    stream_.write(asio::buffer(frame), ignored);
  }
  void Send(const PeerMessage& message) { Send(EncodePeerMessage(message)); }

  void Ping() { stream_.ping({}); }

  /** The next message; empty if the connection is closed or times out. */
  std::optional<PeerMessage> Receive() {
    beast::flat_buffer buffer;
    beast::error_code error;
    beast::get_lowest_layer(stream_).expires_after(kTestTimeout);
    stream_.read(buffer, error);
    closed_ = error && error != beast::error::timeout;
    if (error)
      return std::nullopt;
    return DecodePeerMessage(beast::buffers_to_string(buffer.data()));
  }

  /** Authenticates as `self`; false if the connection is closed. */
  bool Authenticate(const Instance& self) {
    PeerHandshake handshake = StartHandshake(PeerRole::kDialler, self);
    Send(handshake.own);
    while (!handshake.authenticated) {
      const auto message = Receive();
      if (!message)
        return false;
      if (const auto proof = AdvanceHandshake(handshake, *message, kSecret))
        Send(*proof);
    }
    return true;
  }

  /** Reads until the connection is closed; false if Receive() times out. */
  bool WaitUntilClosed() {
    while (Receive()) {
    }
    return closed_;
  }

 private:
  bool closed_ = false;
  asio::io_context context_;
  beast::websocket::stream<beast::tcp_stream> stream_;
};

class HostilePeerTest : public testing::Test {
 protected:
  // A hostile peer loses its own connection only, not that of `good_`.
  void ExpectGoodPeerStays() {
    // `instance_` notices the end of a connection a little after its peer does.
    EXPECT_TRUE(Eventually([&] { return instance_.lost() >= expected_lost_; }));
    EXPECT_EQ(instance_.lost(), expected_lost_);
    EXPECT_TRUE(instance_.IsConnected(good_));
  }

  void SetUp() override {
    good_.manager().SetPeers({instance_.self()});
    ASSERT_TRUE(Eventually([&] { return instance_.IsConnected(good_); }));
  }

  TestConnectionManager instance_{TestInstance("instance", 1), kSecret,
                                  LimitsForIdlePeers()};
  TestConnectionManager good_{TestInstance("good", 2), kSecret,
                              LimitsForIdlePeers()};
  int expected_lost_ = 0;
};

// Guards against handling messages before the sender is authenticated.
TEST_F(HostilePeerTest, MessagesBeforeAuthenticationAreRejected) {
  RawPeer peer(instance_.self());
  peer.Send(PeerMessage(DocumentRequest{1}));
  EXPECT_TRUE(peer.WaitUntilClosed());
  EXPECT_TRUE(instance_.received().empty());
  EXPECT_EQ(instance_.counters().peer_protocol_errors, 1u);
  ExpectGoodPeerStays();
}

// Guards against an intruder that authenticates by sending the instance's own
// hello or proof back to it.
TEST_F(HostilePeerTest, ReflectedProofIsRejected) {
  RawPeer peer(instance_.self());
  const auto hello = peer.Receive();
  ASSERT_TRUE(hello);
  Hello reflected = std::get<Hello>(*hello);
  reflected.instance = InstanceId("intruder");
  peer.Send(PeerMessage(reflected));
  EXPECT_TRUE(peer.WaitUntilClosed());
  RawPeer second(instance_.self());
  second.Send(StartHandshake(PeerRole::kDialler, TestInstance("x", 9)).own);
  ASSERT_TRUE(second.Receive());
  const auto proof = second.Receive();
  ASSERT_TRUE(proof);
  second.Send(*proof);
  EXPECT_TRUE(second.WaitUntilClosed());
  ExpectGoodPeerStays();
}

// Guards against a malformed frame that affects other connections.
TEST_F(HostilePeerTest, MalformedFrameClosesItsConnectionOnly) {
  RawPeer peer(instance_.self());
  ASSERT_TRUE(peer.Authenticate(TestInstance("bad", 9)));
  peer.Send(std::string("\xa1\x61\x74", 3));
  EXPECT_TRUE(peer.WaitUntilClosed());
  expected_lost_ = 1;
  ExpectGoodPeerStays();
}

// Guards against unlimited memory use by long frames.
TEST_F(HostilePeerTest, OversizedFrameClosesTheConnection) {
  RawPeer peer(instance_.self());
  ASSERT_TRUE(peer.Authenticate(TestInstance("bad", 9)));
  peer.Send(std::string(kMaxPeerMessageBytes + 1, '\0'));
  EXPECT_TRUE(peer.WaitUntilClosed());
  expected_lost_ = 1;
  ExpectGoodPeerStays();
}

// Guards against unlimited memory use by parts of a message without end.
TEST_F(HostilePeerTest, EndlessPartsCloseTheConnection) {
  constexpr size_t kPartBytes = 64 * 1024;
  RawPeer peer(instance_.self());
  ASSERT_TRUE(peer.Authenticate(TestInstance("bad", 9)));
  for (size_t sent = 0; sent <= kMaxPeerMessageBytes; sent += kPartBytes)
    peer.Send(PeerMessage(MessagePart{std::string(kPartBytes, 'x'), false}));
  EXPECT_TRUE(peer.WaitUntilClosed());
  expected_lost_ = 1;
  ExpectGoodPeerStays();
}

// Guards against parts within a part, which would be decoded without a limit.
TEST_F(HostilePeerTest, PartWithinAPartClosesTheConnection) {
  RawPeer peer(instance_.self());
  ASSERT_TRUE(peer.Authenticate(TestInstance("bad", 9)));
  const MessagePart inner{EncodePeerMessage(DocumentRequest{1}), true};
  peer.Send(PeerMessage(MessagePart{EncodePeerMessage(inner), true}));
  EXPECT_TRUE(peer.WaitUntilClosed());
  EXPECT_TRUE(instance_.received().empty());
  expected_lost_ = 1;
  ExpectGoodPeerStays();
}

// Guards against a message in parts that is lost, altered or overtakes itself.
TEST_F(HostilePeerTest, MessageInPartsIsReceivedOnce) {
  RawPeer peer(instance_.self());
  ASSERT_TRUE(peer.Authenticate(TestInstance("parts", 9)));
  const std::string frame = EncodePeerMessage(
      DocumentText{7, std::string(64, 'a'), "the text of a document"});
  peer.Send(PeerMessage(MessagePart{frame.substr(0, 50), false}));
  peer.Send(PeerMessage(DocumentRequest{3}));
  peer.Send(PeerMessage(MessagePart{frame.substr(50), true}));
  ASSERT_TRUE(Eventually([&] { return instance_.received().size() == 2; }));
  EXPECT_EQ(std::get<DocumentRequest>(instance_.received()[0]).version, 3U);
  EXPECT_EQ(std::get<DocumentText>(instance_.received()[1]).text,
            "the text of a document");
}

// Guards against idle unauthenticated connections that use up the limit on
// them.
TEST_F(HostilePeerTest, ConnectionWithoutHandshakeIsClosed) {
  RawPeer peer(instance_.self());
  EXPECT_TRUE(peer.WaitUntilClosed());
  ExpectGoodPeerStays();
}

// Guards against refusing a restarted peer because its dead connection is still
// registered.
TEST_F(HostilePeerTest, NewerConnectionOfOnePeerReplacesTheOlder) {
  RawPeer older(instance_.self());
  ASSERT_TRUE(older.Authenticate(TestInstance("twice", 9)));
  RawPeer newer(instance_.self());
  ASSERT_TRUE(newer.Authenticate(TestInstance("twice", 9)));
  EXPECT_TRUE(older.WaitUntilClosed());
  newer.Send(PeerMessage(DocumentRequest{5}));
  EXPECT_TRUE(Eventually([&] { return !instance_.received().empty(); }));
  EXPECT_EQ(instance_.manager().ConnectedPeers().size(), 2u);
  ExpectGoodPeerStays();
}

// Guards against a flood of pings whose replies fill the queue.
TEST_F(HostilePeerTest, PingClosesTheConnection) {
  RawPeer peer(instance_.self());
  ASSERT_TRUE(peer.Authenticate(TestInstance("bad", 9)));
  peer.Ping();
  EXPECT_TRUE(peer.WaitUntilClosed());
  expected_lost_ = 1;
  ExpectGoodPeerStays();
}

// Guards against memory use that grows while a peer does not read.
TEST_F(HostilePeerTest, MessagesToASlowReaderAreDropped) {
  RawPeer peer(instance_.self());
  ASSERT_TRUE(peer.Authenticate(TestInstance("slow", 9)));
  ASSERT_TRUE(Eventually(
      [&] { return instance_.manager().ConnectedPeers().size() == 2; }));
  const DocumentText document{1, std::string(64, 'a'),
                              std::string(1000000, 'x')};
  for (int i = 0; i < 100; ++i)
    instance_.manager().Send(InstanceId("slow"), document);
  // The send queues of PeerSockets and websocketpp hold at most 4 MiB each, and
  // the two socket buffers some more. The rest of the 100 documents of 1 MB
  // is dropped.
  EXPECT_TRUE(Eventually(
      [&] { return instance_.counters().peer_messages_dropped > 70; }));
  instance_.manager().Send(good_.self().id, DocumentRequest{3});
  EXPECT_TRUE(Eventually([&] { return !good_.received().empty(); }));
  ExpectGoodPeerStays();
}

}  // namespace
}  // namespace mangodoor
