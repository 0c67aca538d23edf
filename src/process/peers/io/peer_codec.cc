#include "process/peers/io/peer_codec.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "connection/io/peer_handshake.h"
#include "process/peers/io/cbor_check.h"
#include "process/peers/io/feed_codec.h"
#include "process/peers/io/peer_fields.h"

namespace mangodoor {
namespace {

using Json = nlohmann::json;

constexpr int kProtocolVersion = 1;

// Enough for the longest array of each message type below, except a feed update
// whose items have fewer than 40 bytes on average. With longer items, the frame
// length is the tighter bound.
constexpr CborLimits kCborLimits{6, 262144};

constexpr size_t kMaxAccountEntries = 16384;
constexpr size_t kMaxServerReports = 16384;
constexpr size_t kMaxInstances = 4096;

// CapacityGrant::part travels as a whole number of these units.
constexpr int64_t kPartUnits = 1000;
constexpr size_t kMaxDocumentTextBytes = 1536 * 1024;
constexpr int64_t kMaxInFlight = 1000000;
constexpr Duration kMaxAge = std::chrono::hours(24 * 366);
constexpr Duration kMaxLeaseDuration = std::chrono::seconds(10);
constexpr int64_t kMaxMillicores = 1000000;
constexpr int64_t kMaxLentTokens = 1000;

// Request rates are sent in tenths of a request per second.
constexpr double kUsageUnitsPerRequest = 10;
constexpr int64_t kMaxUsageUnits = 100000000;

constexpr std::array<const char*, 3> kInstanceStates{"joining", "serving",
                                                     "leaving"};
constexpr std::array<const char*, 5> kServerStates{"cold", "warm", "slow",
                                                   "draining", "down"};
constexpr std::array<const char*, 2> kListedStates{"live", "leaving"};

int64_t ToAgeMicroseconds(Duration age) {
  return ToMicroseconds(std::clamp(age, Duration::zero(), kMaxAge));
}

int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::clamp(duration, Duration::zero(), kMaxAge))
      .count();
}

Json Encode(const Hello& hello) {
  return {{"t", "hello"},
          {"instance", hello.instance.value()},
          {"data_centre", hello.data_centre.value()},
          {"nonce", ToBytes(hello.nonce)},
          {"parts", hello.accepts_parts}};
}

Hello DecodeHello(const Json& json) {
  Hello hello;
  hello.instance = InstanceId(NameAt(json, "instance"));
  hello.data_centre = DataCentreId(NameAt(json, "data_centre"));
  hello.nonce = BytesAt(json, "nonce", kNonceBytes);
  // Absent in messages of earlier versions.
  hello.accepts_parts = json.contains("parts") && FlagAt(json, "parts");
  return hello;
}

Json Encode(const Proof& proof) {
  return {{"t", "proof"}, {"mac", ToBytes(proof.mac)}};
}

Proof DecodeProof(const Json& json) {
  return {BytesAt(json, "mac", kProofBytes)};
}

Json EncodeSpareTokens(const std::vector<AccountSpareTokens>& spare) {
  Json entries = Json::array();
  for (const AccountSpareTokens& account : spare) {
    // Spare tokens are only hints, so entries beyond the maximum number can be
    // left out.
    if (entries.size() == kMaxAccountEntries)
      break;
    entries.push_back({{"client_account", account.client_account.value()},
                       {"tokens", account.tokens}});
  }
  return entries;
}

Json Encode(const Heartbeat& heartbeat) {
  Json json{{"t", "heartbeat"},
            {"state", NameOf(kInstanceStates, heartbeat.state)},
            {"fenced", heartbeat.fenced},
            {"version", heartbeat.version},
            {"list_revision", heartbeat.list_revision},
            {"sent_ns", heartbeat.timing.sent.time_since_epoch().count()},
            {"addresses_unchanged_us",
             ToAgeMicroseconds(heartbeat.addresses_unchanged)},
            {"spare", EncodeSpareTokens(heartbeat.spare)}};
  if (heartbeat.version > 0)
    json["digest"] = heartbeat.digest;
  if (heartbeat.read_age <= kMaxAge)
    json["read_age_us"] = ToAgeMicroseconds(heartbeat.read_age);
  if (heartbeat.timing.echoed) {
    json["echoed_ns"] = heartbeat.timing.echoed->time_since_epoch().count();
    json["held_us"] = ToAgeMicroseconds(heartbeat.timing.held);
  }
  return json;
}

HeartbeatTiming DecodeTiming(const Json& json) {
  HeartbeatTiming timing;
  timing.sent = TimePointAt(json, "sent_ns");
  if (json.contains("echoed_ns")) {
    timing.echoed = TimePointAt(json, "echoed_ns");
    timing.held = MicrosecondsAt(json, "held_us", kMaxAge);
  }
  return timing;
}

Heartbeat DecodeHeartbeat(const Json& json) {
  Heartbeat heartbeat;
  heartbeat.state =
      static_cast<InstanceState>(EnumIndexAt(json, "state", kInstanceStates));
  heartbeat.fenced = FlagAt(json, "fenced");
  heartbeat.timing = DecodeTiming(json);
  heartbeat.version = RevisionAt(json, "version");
  if (heartbeat.version > 0)
    heartbeat.digest = DigestAt(json, "digest");
  if (json.contains("read_age_us"))
    heartbeat.read_age = MicrosecondsAt(json, "read_age_us", kMaxAge);
  heartbeat.list_revision = RevisionAt(json, "list_revision");
  if (json.contains("addresses_unchanged_us")) {
    heartbeat.addresses_unchanged =
        MicrosecondsAt(json, "addresses_unchanged_us", kMaxAge);
  }
  for (const Json& entry : ArrayAt(json, "spare", kMaxAccountEntries))
    heartbeat.spare.push_back({ClientAccountId(NameAt(entry, "client_account")),
                               MicroTokensAt(entry, "tokens")});
  return heartbeat;
}

Json Encode(const ServerReports& reports) {
  Json entries = Json::array();
  for (const ServerReport& report : reports.reports) {
    Json entry{{"server", report.server.value()},
               {"state", NameOf(kServerStates, report.state)},
               {"in_flight", report.in_flight},
               {"age_us", ToAgeMicroseconds(report.age)}};
    if (!report.source.empty())
      entry["source"] = report.source.value();
    entries.push_back(std::move(entry));
  }
  return {{"t", "server_reports"}, {"reports", std::move(entries)}};
}

ServerReports DecodeServerReports(const Json& json) {
  ServerReports reports;
  for (const Json& entry : ArrayAt(json, "reports", kMaxServerReports)) {
    ServerReport report;
    report.server = BackendServerId(NameAt(entry, "server"));
    report.state =
        static_cast<ServerState>(EnumIndexAt(entry, "state", kServerStates));
    report.in_flight =
        static_cast<int>(IntegerAt(entry, "in_flight", -1, kMaxInFlight));
    report.age = MicrosecondsAt(entry, "age_us", kMaxAge);
    // Without a source, the sender itself observed the server's state.
    if (entry.contains("source"))
      report.source = InstanceId(NameAt(entry, "source"));
    reports.reports.push_back(std::move(report));
  }
  return reports;
}

Json Encode(const DocumentRequest& request) {
  return {{"t", "document_request"}, {"version", request.version}};
}

DocumentRequest DecodeDocumentRequest(const Json& json) {
  return {RevisionAt(json, "version")};
}

Json Encode(const DocumentText& document) {
  return {{"t", "document"},
          {"version", document.version},
          {"digest", document.digest},
          {"text", document.text}};
}

DocumentText DecodeDocumentText(const Json& json) {
  return {RevisionAt(json, "version"), DigestAt(json, "digest"),
          TextAt(json, "text", kMaxDocumentTextBytes)};
}

Json EncodeLease(const char* type, const CapacityLease& lease) {
  return {{"t", type},
          {"lease_id", lease.id},
          {"client_account", lease.client_account.value()},
          {"tokens", lease.tokens},
          {"rate_per_s", lease.rate_per_s},
          {"burst", lease.burst},
          {"duration_us", ToMicroseconds(lease.duration)}};
}

// Lease ids can use all 64 bits, so kMaxRevision does not apply.
uint64_t LeaseIdAt(const Json& json) {
  const Json& value = FieldAt(json, "lease_id");
  if (!value.is_number_unsigned())
    throw PeerMessageError("field \"lease_id\": expected an unsigned integer");
  return value.get<uint64_t>();
}

CapacityLease DecodeLease(const Json& json) {
  CapacityLease lease;
  lease.id = LeaseIdAt(json);
  lease.client_account = ClientAccountId(NameAt(json, "client_account"));
  lease.tokens = MicroTokensAt(json, "tokens");
  lease.rate_per_s = MicroTokensAt(json, "rate_per_s");
  lease.burst = MicroTokensAt(json, "burst");
  lease.duration = MicrosecondsAt(json, "duration_us", kMaxLeaseDuration);
  return lease;
}

Json Encode(const LeaseRequest& request) {
  return EncodeLease("lease_request", request.wanted);
}

Json Encode(const LeaseGrant& grant) {
  return EncodeLease("lease_grant", grant.granted);
}

Json Encode(const LeaseRelease& release) {
  return {{"t", "lease_release"}, {"lease_id", release.lease_id}};
}

Json Encode(const InstanceListMessage& message) {
  Json entries = Json::array();
  for (const Instance& instance : message.list.instances)
    entries.push_back({{"id", instance.id.value()},
                       {"data_centre", instance.data_centre.value()},
                       {"caller", ToString(instance.caller_endpoint)},
                       {"peer", ToString(instance.peer_endpoint)},
                       {"state", NameOf(kListedStates, instance.leaving)}});
  return {{"t", "instance_list"},
          {"revision", message.list.revision},
          {"instances", std::move(entries)}};
}

InstanceListMessage DecodeInstanceList(const Json& json) {
  InstanceListMessage message;
  message.list.revision = RevisionAt(json, "revision");
  std::set<std::string> ids;
  for (const Json& entry : ArrayAt(json, "instances", kMaxInstances)) {
    // An instance listed twice would count twice when an instance checks
    // whether it reaches half of the fleet.
    if (!ids.insert(NameAt(entry, "id")).second)
      throw PeerMessageError("an instance is listed twice");
    message.list.instances.push_back(
        {InstanceId(NameAt(entry, "id")),
         DataCentreId(NameAt(entry, "data_centre")),
         EndpointAt(entry, "caller"), EndpointAt(entry, "peer"),
         EnumIndexAt(entry, "state", kListedStates) == 1});
  }
  return message;
}

// Members, account usage and store items are arrays instead of maps, and fleet
// heartbeats and token messages have one-letter fields. They are sent often,
// and this saves bytes on the links between data centres.

Json Encode(const MemberUpdate& update) {
  Json entries = Json::array();
  for (const Member& member : update.members) {
    entries.push_back({member.data_centre.value(),
                       ToString(member.caller_endpoint),
                       ToString(member.peer_endpoint), member.millicores,
                       member.incarnation, static_cast<int>(member.state)});
  }
  return {{"t", "member_news"}, {"members", std::move(entries)}};
}

Member DecodeMember(const Json& entry) {
  Member member;
  member.data_centre = DataCentreId(NameIn(entry, 0));
  member.caller_endpoint = EndpointIn(entry, 1);
  member.peer_endpoint = EndpointIn(entry, 2);
  member.millicores = static_cast<int>(IntegerIn(entry, 3, 1, kMaxMillicores));
  member.incarnation =
      static_cast<uint64_t>(IntegerIn(entry, 4, 0, INT64_MAX - 1));
  member.state = static_cast<MemberState>(IntegerIn(entry, 5, 0, 2));
  member.id = IdOfEndpoint(member.peer_endpoint);
  return member;
}

MemberUpdate DecodeMemberUpdate(const Json& json) {
  MemberUpdate update;
  for (const Json& entry : ArrayAt(json, "members", kMaxInstances))
    update.members.push_back(DecodeMember(entry));
  return update;
}

int64_t ToUsageUnits(double per_s) {
  return std::min<int64_t>(std::llround(per_s * kUsageUnitsPerRequest),
                           kMaxUsageUnits);
}

double FromUsageUnits(int64_t units) {
  return static_cast<double>(units) / kUsageUnitsPerRequest;
}

double RequestRateIn(const Json& entry, size_t index) {
  return FromUsageUnits(IntegerIn(entry, index, 0, kMaxUsageUnits));
}

template <typename Id>
Json EncodeIds(const std::vector<Id>& ids) {
  Json json = Json::array();
  for (const Id& id : ids)
    json.push_back(id.value());
  return json;
}

template <typename Id>
std::vector<Id> IdsAt(const Json& json, const char* name) {
  const Json& names = ArrayAt(json, name, kMaxInstances);
  std::vector<Id> ids;
  for (size_t i = 0; i < names.size(); ++i)
    ids.push_back(Id(NameIn(names, i)));
  return ids;
}

Json Encode(const CapacityGrant& grant) {
  return {{"p", std::llround(grant.part * kPartUnits)},
          {"n", grant.instances},
          {"a", EncodeIds(grant.advertised)},
          {"d", grant.data_centres},
          {"u", EncodeIds(grant.unattended)}};
}

CapacityGrant DecodeCapacityGrant(const Json& json) {
  CapacityGrant grant;
  grant.part =
      static_cast<double>(IntegerAt(json, "p", 0, kPartUnits)) / kPartUnits;
  grant.instances = static_cast<int>(IntegerAt(json, "n", 1, kMaxInstances));
  grant.advertised = IdsAt<InstanceId>(json, "a");
  grant.data_centres = static_cast<int>(IntegerAt(json, "d", 1, kMaxInstances));
  grant.unattended = IdsAt<DataCentreId>(json, "u");
  return grant;
}

Json Encode(const FleetHeartbeat& heartbeat) {
  Json json{{"t", "member_beat"}, {"r", heartbeat.store_revision.number}};
  if (heartbeat.store_revision.era > 0)
    json["w"] = heartbeat.store_revision.era;
  if (heartbeat.carries_items)
    json["k"] = true;
  if (heartbeat.reads_store)
    json["g"] = true;
  if (heartbeat.accepts_patches)
    json["d"] = true;
  // Rounded up, since instances pass the age on to each other.
  if (heartbeat.store_age)
    json["a"] =
        std::chrono::ceil<std::chrono::milliseconds>(*heartbeat.store_age)
            .count();
  if (heartbeat.store_age_hops > 0)
    json["h"] = heartbeat.store_age_hops;
  if (heartbeat.settled)
    json["e"] = true;
  if (heartbeat.capacity_grant)
    json["c"] = Encode(*heartbeat.capacity_grant);
  if (heartbeat.covered == 0)
    return json;
  json["s"] = static_cast<int>(heartbeat.scope);
  json["n"] = heartbeat.covered;
  json["q"] = ToUsageUnits(heartbeat.requests_per_s);
  json["o"] = ToUsageUnits(heartbeat.own_requests_per_s);
  Json usage = Json::array();
  for (const AccountUsage& account : heartbeat.usage) {
    usage.push_back({account.client_account.value(),
                     ToUsageUnits(account.demand_per_s),
                     ToUsageUnits(account.own_per_s)});
  }
  json["u"] = std::move(usage);
  return json;
}

FleetHeartbeat DecodeFleetHeartbeat(const Json& json) {
  FleetHeartbeat heartbeat;
  heartbeat.store_revision = StoreRevisionAt(json, "r", "w");
  heartbeat.carries_items = json.contains("k") && FlagAt(json, "k");
  heartbeat.reads_store = json.contains("g") && FlagAt(json, "g");
  heartbeat.accepts_patches = json.contains("d") && FlagAt(json, "d");
  if (json.contains("a"))
    heartbeat.store_age = std::chrono::milliseconds(
        IntegerAt(json, "a", 0, ToMilliseconds(kMaxAge)));
  if (json.contains("h"))
    heartbeat.store_age_hops =
        static_cast<int>(IntegerAt(json, "h", 0, kMaxInstances));
  heartbeat.settled = json.contains("e") && FlagAt(json, "e");
  if (json.contains("c"))
    heartbeat.capacity_grant = DecodeCapacityGrant(json["c"]);
  if (!json.contains("n"))
    return heartbeat;
  heartbeat.scope = static_cast<UsageScope>(IntegerAt(json, "s", 0, 2));
  heartbeat.covered = static_cast<int>(IntegerAt(json, "n", 1, kMaxInstances));
  heartbeat.requests_per_s =
      FromUsageUnits(IntegerAt(json, "q", 0, kMaxUsageUnits));
  heartbeat.own_requests_per_s =
      FromUsageUnits(IntegerAt(json, "o", 0, kMaxUsageUnits));
  for (const Json& entry : ArrayAt(json, "u", kMaxAccountEntries)) {
    heartbeat.usage.push_back({ClientAccountId(NameIn(entry, 0)),
                               RequestRateIn(entry, 1),
                               RequestRateIn(entry, 2)});
  }
  return heartbeat;
}

Json Encode(const TokenRequest& request) {
  return {{"t", "token_request"},
          {"i", request.id},
          {"c", request.client_account.value()},
          {"n", request.tokens}};
}

TokenRequest DecodeTokenRequest(const Json& json) {
  return {RevisionAt(json, "i"), ClientAccountId(NameAt(json, "c")),
          static_cast<int>(IntegerAt(json, "n", 1, kMaxLentTokens))};
}

Json Encode(const TokenReply& reply) {
  return {{"t", "token_reply"}, {"i", reply.id}, {"g", reply.granted}};
}

TokenReply DecodeTokenReply(const Json& json) {
  return {RevisionAt(json, "i"),
          static_cast<int>(IntegerAt(json, "g", 0, kMaxLentTokens))};
}

Json Encode(const FeedRequest& request) {
  return EncodeFeedRequest(request);
}

Json Encode(const FeedUpdate& update) {
  return EncodeFeedUpdate(update);
}

Json Encode(const MessagePart& part) {
  return {{"t", "part"}, {"bytes", ToBytes(part.bytes)}, {"last", part.last}};
}

MessagePart DecodeMessagePart(const Json& json) {
  const Json& bytes = FieldAt(json, "bytes");
  if (!bytes.is_binary())
    throw PeerMessageError("the bytes of a part are missing");
  const auto& binary = bytes.get_binary();
  return {std::string(binary.begin(), binary.end()), FlagAt(json, "last")};
}

PeerMessage DecodeTyped(const Json& json, const std::string& type) {
  if (type == "hello")
    return DecodeHello(json);
  if (type == "proof")
    return DecodeProof(json);
  if (type == "heartbeat")
    return DecodeHeartbeat(json);
  if (type == "server_reports")
    return DecodeServerReports(json);
  if (type == "document_request")
    return DecodeDocumentRequest(json);
  if (type == "document")
    return DecodeDocumentText(json);
  if (type == "lease_request")
    return LeaseRequest{DecodeLease(json)};
  if (type == "lease_grant")
    return LeaseGrant{DecodeLease(json)};
  if (type == "lease_release")
    return LeaseRelease{LeaseIdAt(json)};
  if (type == "instance_list")
    return DecodeInstanceList(json);
  if (type == "member_news")
    return DecodeMemberUpdate(json);
  if (type == "member_beat")
    return DecodeFleetHeartbeat(json);
  if (type == "token_request")
    return DecodeTokenRequest(json);
  if (type == "token_reply")
    return DecodeTokenReply(json);
  if (type == "feed_request")
    return DecodeFeedRequest(json);
  if (type == "feed_update")
    return DecodeFeedUpdate(json);
  if (type == "part")
    return DecodeMessagePart(json);
  throw PeerMessageError("unknown message type");
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  Json json =
      std::visit([](const auto& typed) { return Encode(typed); }, message);
  json["p"] = kProtocolVersion;
  std::string frame;
  Json::to_cbor(json, frame);
  if (frame.size() > kMaxPeerMessageBytes)
    throw PeerMessageError("message is longer than 2 MiB");
  return frame;
}

PeerMessage DecodePeerMessage(std::string_view frame) {
  if (frame.size() > kMaxPeerMessageBytes)
    throw PeerMessageError("frame is longer than 2 MiB");
  if (!IsAcceptableCbor(frame, kCborLimits))
    throw PeerMessageError("frame is not one CBOR value within the limits");
  try {
    const Json json = Json::from_cbor(frame.begin(), frame.end());
    if (IntegerAt(json, "p", 0, INT32_MAX) != kProtocolVersion)
      throw PeerMessageError("unknown protocol version");
    return DecodeTyped(json, TextAt(json, "t", kMaxIdBytes));
  } catch (const Json::exception& error) {
    throw PeerMessageError(error.what());
  }
}

}  // namespace mangodoor
