#include "process/peers/io/peer_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>

#include "process/peers/io/cbor_check.h"

namespace mangodoor {
namespace {

using Json = nlohmann::json;

std::string Cbor(const Json& json) {
  std::string frame;
  Json::to_cbor(json, frame);
  return frame;
}

Json HeartbeatJson() {
  return Json::from_cbor(EncodePeerMessage(Heartbeat{}));
}

void ExpectRejected(const Json& json) {
  EXPECT_THROW(DecodePeerMessage(Cbor(json)), PeerMessageError) << json;
}

// One message of each type that a fleet with an instance list sends.
std::vector<PeerMessage> SampleMessages() {
  Heartbeat heartbeat;
  heartbeat.state = InstanceState::kLeaving;
  heartbeat.version = 7;
  heartbeat.digest = std::string(64, 'a');
  heartbeat.read_age = std::chrono::milliseconds(120);
  heartbeat.timing.sent = TimePoint(std::chrono::nanoseconds(12345));
  heartbeat.timing.echoed = TimePoint(std::chrono::nanoseconds(999));
  heartbeat.timing.held = std::chrono::microseconds(5);
  heartbeat.spare = {{ClientAccountId("accounts"), 5}};
  ServerReport report;
  report.server = BackendServerId("orders-1");
  report.state = ServerState::kDraining;
  report.source = InstanceId("a");
  CapacityLease lease{~uint64_t{0},           ClientAccountId("x"), 1, 2, 3,
                      std::chrono::seconds(1)};
  Instance instance{InstanceId("a"),
                    DataCentreId("muscat-1"),
                    {"127.0.0.1", 1},
                    {"::1", 2},
                    true};
  return {Hello{InstanceId("a"), DataCentreId("b"), std::string(32, '\xff')},
          Proof{std::string(32, '\0')},
          heartbeat,
          ServerReports{{report}},
          DocumentRequest{7},
          DocumentText{7, std::string(64, '0'), "{\xff}"},
          LeaseRequest{lease},
          LeaseGrant{lease},
          LeaseRelease{~uint64_t{0}},
          InstanceListMessage{{9, {instance}}}};
}

// Guards against a field that is encoded but not decoded.
TEST(PeerCodecTest, EveryMessageKeepsItsFields) {
  for (const PeerMessage& message : SampleMessages()) {
    const std::string frame = EncodePeerMessage(message);
    const PeerMessage decoded = DecodePeerMessage(frame);
    EXPECT_EQ(decoded.index(), message.index());
    EXPECT_EQ(EncodePeerMessage(decoded), frame) << Json::from_cbor(frame);
  }
  const auto heartbeat = std::get<Heartbeat>(
      DecodePeerMessage(EncodePeerMessage(SampleMessages()[2])));
  EXPECT_EQ(heartbeat.read_age, std::chrono::milliseconds(120));
  EXPECT_EQ(heartbeat.timing.echoed, TimePoint(std::chrono::nanoseconds(999)));
  EXPECT_EQ(heartbeat.spare.front().tokens, 5);
}

// Guards against changes that lose the span which only a comparison of copies
// covers, so that a follower applies what does not fit its copy.
TEST(PeerCodecTest, FeedUpdateKeepsItsSpans) {
  FeedUpdate update;
  update.changes.after = 10;
  update.changes.up_to = 20;
  update.changes.newest = 22;
  update.changes.compared = RevisionSpan{10, 20};
  StoreItem item;
  item.key = "servers/a";
  item.value = "v";
  item.revision = 15;
  update.changes.items = {item};
  const auto decoded =
      std::get<FeedUpdate>(DecodePeerMessage(EncodePeerMessage(update)));
  EXPECT_EQ(decoded.changes.newest, 22U);
  ASSERT_TRUE(decoded.changes.compared);
  EXPECT_EQ(decoded.changes.compared->after, 10U);
  EXPECT_EQ(decoded.changes.compared->up_to, 20U);
  ASSERT_EQ(decoded.changes.items.size(), 1U);
  EXPECT_EQ(decoded.changes.items[0].revision, 15U);
}

// Guards against patches, or the wish for them, that are lost on the way.
TEST(PeerCodecTest, FeedMessagesKeepPatches) {
  StoreItem item;
  item.key = "op/config";
  item.revision = 15;
  item.patches = {{11, 12, "first"}, {12, 15, "second"}};
  FeedUpdate update;
  update.changes.items = {item};
  const auto decoded =
      std::get<FeedUpdate>(DecodePeerMessage(EncodePeerMessage(update)));
  ASSERT_EQ(decoded.changes.items.at(0).patches.size(), 2U);
  const ValuePatch& last = decoded.changes.items[0].patches[1];
  EXPECT_EQ(last.base, 12U);
  EXPECT_EQ(last.revision, 15U);
  EXPECT_EQ(last.bytes, "second");
  const auto request = std::get<FeedRequest>(DecodePeerMessage(
      EncodePeerMessage(FeedRequest{7, FeedEncoding::kPatched})));
  EXPECT_EQ(request.encoding, FeedEncoding::kPatched);
  FleetHeartbeat heartbeat;
  heartbeat.accepts_patches = true;
  EXPECT_TRUE(
      std::get<FleetHeartbeat>(DecodePeerMessage(EncodePeerMessage(heartbeat)))
          .accepts_patches);
}

// Guards against an instance that takes requests of the version before for
// such that accept patches, while a fleet is replaced.
TEST(PeerCodecTest, FeedRequestOfAnEarlierVersionGetsPlainValues) {
  Json json = Json::from_cbor(
      EncodePeerMessage(FeedRequest{7, FeedEncoding::kPatched}));
  json.erase("encoding");
  const auto request = std::get<FeedRequest>(DecodePeerMessage(Cbor(json)));
  EXPECT_EQ(request.encoding, FeedEncoding::kPlain);
}

// Guards against an instance that breaks off the links to instances of the
// version before, while a fleet is replaced.
TEST(PeerCodecTest, FeedUpdateOfAnEarlierVersionIsRead) {
  FeedUpdate update;
  update.changes.up_to = 20;
  Json json = Json::from_cbor(EncodePeerMessage(update));
  json.erase("newest");
  const auto decoded = std::get<FeedUpdate>(DecodePeerMessage(Cbor(json)));
  EXPECT_EQ(decoded.changes.newest, 20U);
}

// Guards against an age that gets smaller when an instance passes it on, and
// against one that is passed on without end.
TEST(PeerCodecTest, AgeOfTheStoreIsRoundedUp) {
  FleetHeartbeat heartbeat;
  heartbeat.store_age = std::chrono::microseconds(1200);
  heartbeat.store_age_hops = 3;
  const auto decoded =
      std::get<FleetHeartbeat>(DecodePeerMessage(EncodePeerMessage(heartbeat)));
  EXPECT_EQ(decoded.store_age, std::chrono::milliseconds(2));
  EXPECT_EQ(decoded.store_age_hops, 3);
}

// Guards against shares of cold servers that differ from what the leader
// granted.
TEST(PeerCodecTest, CapacityGrantIsReadAsSent) {
  FleetHeartbeat heartbeat;
  heartbeat.capacity_grant = CapacityGrant{
      0.25, 24, {InstanceId("a"), InstanceId("b")}, 5, {DataCentreId("west")}};
  const auto decoded =
      std::get<FleetHeartbeat>(DecodePeerMessage(EncodePeerMessage(heartbeat)));
  ASSERT_TRUE(decoded.capacity_grant);
  EXPECT_EQ(decoded.capacity_grant->part, 0.25);
  EXPECT_EQ(decoded.capacity_grant->instances, 24);
  EXPECT_EQ(decoded.capacity_grant->advertised,
            (std::vector<InstanceId>{InstanceId("a"), InstanceId("b")}));
  EXPECT_EQ(decoded.capacity_grant->data_centres, 5);
  EXPECT_EQ(decoded.capacity_grant->unattended,
            std::vector<DataCentreId>{DataCentreId("west")});
}

// Guards against rejecting messages of newer instances that have more fields.
TEST(PeerCodecTest, UnknownFieldsAreIgnored) {
  Json json = HeartbeatJson();
  json["colour"] = {{"of", {"the", "cart"}}};
  EXPECT_NO_THROW(DecodePeerMessage(Cbor(json)));
}

// Guards against values that would overflow or lead to wrong decisions.
TEST(PeerCodecTest, InvalidValuesAreRejected) {
  const std::vector<std::pair<const char*, Json>> changes{
      {"t", "shout"},
      {"t", 5},
      {"p", 2},
      {"p", "1"},
      {"version", -1},
      {"version", ~uint64_t{0}},
      {"version", 1.5},
      {"version", 3},
      {"state", "asleep"},
      {"read_age_us", -1},
      {"fenced", 1},
      {"read_age_us", int64_t{1} << 60},
      {"sent_ns", -1},
      {"list_revision", "seven"},
      {"spare", Json::object()},
      {"spare", {{{"client_account", ""}, {"tokens", 1}}}},
      {"spare", {{{"client_account", "\xff"}, {"tokens", 1}}}},
      {"spare", {{{"client_account", "a\nb"}, {"tokens", 1}}}},
      {"spare", {{{"client_account", "a"}, {"tokens", -1}}}},
      {"spare", {{{"client_account", "a"}, {"tokens", int64_t{1} << 60}}}},
      {"spare", {1}}};
  for (const auto& [field, value] : changes) {
    Json json = HeartbeatJson();
    json[field] = value;
    ExpectRejected(json);
  }
  ExpectRejected(Json::array({1, 2}));
  ExpectRejected(5);
}

// Guards against counting an instance twice when an instance checks whether it
// reaches half of the fleet.
TEST(PeerCodecTest, InstanceListedTwiceIsRejected) {
  auto message = std::get<InstanceListMessage>(SampleMessages().back());
  message.list.instances.push_back(message.list.instances.front());
  EXPECT_THROW(DecodePeerMessage(EncodePeerMessage(message)), PeerMessageError);
}

// Guards against a stack overflow by deep nesting, as the decoder is recursive.
TEST(PeerCodecTest, DeepNestingIsRejected) {
  const size_t levels = kMaxPeerMessageBytes - 1;
  for (const char open : {'\x81', '\x9f', '\x7f', '\x5f', '\xc1', '\xa1'}) {
    EXPECT_THROW(DecodePeerMessage(std::string(levels, open)),
                 PeerMessageError);
  }
}

// Guards against reserving memory for a large element count in a short frame,
// and against frames that are too long or have too many items.
TEST(PeerCodecTest, ExcessiveCountsAreRejected) {
  const std::string many("\x9b\x00\x00\x00\xff\xff\xff\xff\xff", 9);
  EXPECT_THROW(DecodePeerMessage(many), PeerMessageError);
  EXPECT_THROW(DecodePeerMessage(std::string(kMaxPeerMessageBytes + 1, '\x01')),
               PeerMessageError);
  std::string ones("\x9a\x00\x1f\xff\xf0", 5);
  ones += std::string(0x1ffff0, '\x01');
  EXPECT_THROW(DecodePeerMessage(ones), PeerMessageError);
}

// Guards against accepting frames whose end is missing or that have bytes after
// the message.
TEST(PeerCodecTest, TruncatedAndTrailingBytesAreRejected) {
  for (const PeerMessage& message : SampleMessages()) {
    const std::string frame = EncodePeerMessage(message);
    for (size_t size = 0; size < frame.size(); ++size)
      EXPECT_THROW(DecodePeerMessage(frame.substr(0, size)), PeerMessageError);
    EXPECT_THROW(DecodePeerMessage(frame + "\x01"), PeerMessageError);
  }
}

// Guards against a crash or an exception of another type on arbitrary bytes.
RC_GTEST_PROP(PeerCodecProperty, RandomBytesThrowOnlyPeerMessageError, ()) {
  const auto frame = *rc::gen::arbitrary<std::string>();
  try {
    DecodePeerMessage(frame);
  } catch (const PeerMessageError&) {
  }
}

// Guards against a crash or an exception of another type on valid frames in
// which a few bytes are altered.
RC_GTEST_PROP(PeerCodecProperty, AlteredFramesThrowOnlyPeerMessageError, ()) {
  std::string frame = EncodePeerMessage(*rc::gen::elementOf(SampleMessages()));
  const auto changes = *rc::gen::inRange(1, 4);
  for (int i = 0; i < changes; ++i)
    frame[*rc::gen::inRange<size_t>(0, frame.size())] =
        *rc::gen::arbitrary<char>();
  try {
    DecodePeerMessage(frame);
  } catch (const PeerMessageError&) {
  }
}

// Guards against a CBOR check that rejects the output of the encoder.
RC_GTEST_PROP(PeerCodecProperty,
              CborCheckAcceptsEncoderOutput,
              (const std::map<std::string, std::vector<int64_t>>& value)) {
  RC_ASSERT(IsAcceptableCbor(Cbor(Json(value)), {8, 100000}));
}

}  // namespace
}  // namespace mangodoor
