#include "process/versions/io/propagation_runner.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "process/fake_clock.h"
#include "version/io/digest.h"

namespace mangodoor {
namespace {

using testing::_;
using testing::NiceMock;
using testing::Return;
using testing::SaveArg;

class MockDocumentSource : public DocumentSource {
 public:
  MOCK_METHOD(void,
              Read,
              (uint64_t, std::chrono::seconds, Callback),
              (override));
};

class MockListSource : public InstanceListSource {
 public:
  MOCK_METHOD(void, Read, (Callback), (override));
};

class MockTransport : public PeerTransport {
 public:
  MOCK_METHOD(void, Send, (const InstanceId&, const PeerMessage&), (override));
  MOCK_METHOD(std::vector<InstanceId>, ConnectedPeers, (), (const, override));
};

std::string DocumentOfVersion(uint64_t version) {
  return R"({"version":)" + std::to_string(version) + R"(,
    "data_centres":[{"id":"a","entry_addresses":["10.0.0.1:80"]}],
    "services":[{"id":"orders","servers":[
      {"id":"s1","data_centre":"a","endpoint":"10.1.0.1:80"}]}],
    "routes":[{"path_prefix":"/","service":"orders"}],
    "client_accounts":[{"id":"x","rate_per_s":10,"burst":10}],
    "keys":[]})";
}

DocumentAnswer Answer(uint64_t version) {
  return {DocumentAnswer::Kind::kDocument, version, DocumentOfVersion(version),
          ""};
}

DocumentText FromPeer(uint64_t version) {
  const std::string text = DocumentOfVersion(version);
  return {version, Sha256Hex(text), text};
}

class PropagationRunnerTest : public testing::Test {
 protected:
  PropagationRunnerTest() {
    tables_.membership.self.id = InstanceId("a1");
    ON_CALL(documents_, Read(_, std::chrono::seconds(0), _))
        .WillByDefault(SaveArg<2>(&read_));
    ON_CALL(lists_, Read(_)).WillByDefault(SaveArg<0>(&list_read_));
    ON_CALL(peers_, ConnectedPeers())
        .WillByDefault(Return(std::vector<InstanceId>{InstanceId("a2")}));
  }

  PropagationHooks Hooks() {
    return {[this](const Version& version) {
              in_force_.push_back(version.document.version);
            },
            [this](const std::vector<Instance>& peers) {
              selected_ = peers.size();
            },
            [this] { ++entered_; }};
  }

  NiceMock<MockDocumentSource> documents_;
  NiceMock<MockListSource> lists_;
  NiceMock<MockTransport> peers_;
  FakeClock clock_;
  Tables tables_;
  DocumentSource::Callback read_;
  InstanceListSource::Callback list_read_;
  std::vector<uint64_t> in_force_;
  size_t selected_ = 0;
  int entered_ = 0;
  PropagationRunner runner_{tables_,    clock_, peers_,
                            documents_, lists_, Hooks()};
};

// Guards against a lone instance that never enters service, and against calling
// version_in_force for a version with which keyed requests are still refused.
TEST_F(PropagationRunnerTest, LoneInstanceGoesIntoService) {
  runner_.Tick({}, 0.5);
  ASSERT_TRUE(read_ && list_read_);
  read_(Answer(3));
  EXPECT_EQ(in_force_, std::vector<uint64_t>{3});
  InstanceList list;
  list.revision = 1;
  list.instances = {tables_.membership.self};
  list_read_(list);
  runner_.Tick({}, 0.5);
  EXPECT_EQ(entered_, 1);
  EXPECT_TRUE(MayServeKeyedRequests(tables_.versions, clock_.Now()));
  EXPECT_TRUE(Records(tables_.audit).back().accepted);
}

// Guards against bringing a document from a peer into force although its text
// does not match its digest or version, or is invalid.
TEST_F(PropagationRunnerTest, DocumentFromPeerIsChecked) {
  DocumentText altered = FromPeer(5);
  altered.text += " ";
  runner_.HandleMessage(InstanceId("a2"), altered);
  DocumentText misnamed = FromPeer(5);
  misnamed.version = 6;
  runner_.HandleMessage(InstanceId("a2"), misnamed);
  DocumentText broken{7, Sha256Hex("{"), "{"};
  runner_.HandleMessage(InstanceId("a2"), broken);
  EXPECT_TRUE(in_force_.empty());
  EXPECT_EQ(Records(tables_.audit).size(), 3u);
  runner_.HandleMessage(InstanceId("a2"), FromPeer(5));
  EXPECT_EQ(in_force_, std::vector<uint64_t>{5});
  EXPECT_EQ(Records(tables_.audit).back().source, InstanceId("a2"));
}

// Guards against an invalid document that is recorded, or read, repeatedly.
TEST_F(PropagationRunnerTest, InvalidDocumentIsRecordedOnce) {
  const DocumentAnswer invalid{DocumentAnswer::Kind::kDocument, 8, "{", ""};
  for (int i = 0; i < 3; ++i) {
    runner_.Tick({}, 0.5);
    read_(invalid);
    clock_.Advance(std::chrono::seconds(2));
  }
  EXPECT_EQ(Records(tables_.audit).size(), 1u);
  EXPECT_CALL(documents_, Read(8, _, _)).Times(testing::AtLeast(1));
  runner_.Tick({}, 0.5);
}

// Guards against peers that are not sent this instance's version.
TEST_F(PropagationRunnerTest, HeartbeatsCarryTheVersion) {
  runner_.HandleMessage(InstanceId("a2"), FromPeer(5));
  PeerMessage sent;
  EXPECT_CALL(peers_, Send(InstanceId("a2"), _)).WillOnce(SaveArg<1>(&sent));
  runner_.Tick({{ClientAccountId("x"), 7}}, 0.5);
  const auto& heartbeat = std::get<Heartbeat>(sent);
  EXPECT_EQ(heartbeat.version, 5u);
  EXPECT_EQ(heartbeat.spare.front().tokens, 7);
  EXPECT_EQ(heartbeat.state, InstanceState::kJoining);
}

// Guards against a peer's higher version that is not requested from it.
TEST_F(PropagationRunnerTest, RequestsDocumentFromPeerWithHigherVersion) {
  runner_.Tick({}, 0.5);
  Heartbeat heartbeat;
  heartbeat.version = 9;
  heartbeat.digest = "d";
  heartbeat.timing.sent = clock_.Now();
  heartbeat.timing.echoed = clock_.Now();
  PeerMessage sent;
  EXPECT_CALL(peers_, Send(InstanceId("a2"), _)).WillOnce(SaveArg<1>(&sent));
  runner_.HandleMessage(InstanceId("a2"), heartbeat);
  EXPECT_EQ(std::get<DocumentRequest>(sent).version, 9u);
}

// Guards against a new list that does not lead to new connections.
TEST_F(PropagationRunnerTest, ListFromPeerSelectsPeers) {
  InstanceListMessage message;
  message.list.revision = 4;
  message.list.instances = {tables_.membership.self,
                            {InstanceId("a2"), {}, {}, {}, false},
                            {InstanceId("a3"), {}, {}, {}, false}};
  runner_.HandleMessage(InstanceId("a2"), message);
  EXPECT_EQ(selected_, 2u);
  message.list.revision = 3;
  message.list.instances.pop_back();
  runner_.HandleMessage(InstanceId("a2"), message);
  EXPECT_EQ(selected_, 2u);
}

}  // namespace
}  // namespace mangodoor
