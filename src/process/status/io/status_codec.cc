#include "process/status/io/status_codec.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "version/utc_time.h"

namespace mangodoor {
namespace {

using Json = nlohmann::ordered_json;
using std::chrono::duration_cast;
using FloatMilliseconds = std::chrono::duration<double, std::milli>;

constexpr int kIndent = 2;
// Instance ids contain no space, so this differs from every instance id.
constexpr char kConfigurationServiceSource[] = "configuration service";

std::string Dump(const Json& json) {
  // Replaces text that is not valid UTF-8, for which dump() would throw.
  return json.dump(kIndent, ' ', false, Json::error_handler_t::replace) + "\n";
}

double Tokens(MicroTokens tokens) {
  return static_cast<double>(tokens) / kMicroTokensPerToken;
}

MicroTokens MicroTokensAt(const Json& json, const char* field) {
  return std::llround(json.at(field).get<double>() * kMicroTokensPerToken);
}

double Milliseconds(Duration duration) {
  return FloatMilliseconds(duration).count();
}

Duration MillisecondsAt(const Json& json, const char* field) {
  return duration_cast<Duration>(
      FloatMilliseconds(json.at(field).get<double>()));
}

std::string EndpointText(const Endpoint& endpoint) {
  return endpoint.address.empty() ? "" : ToString(endpoint);
}

Endpoint EndpointAt(const Json& json, const char* field) {
  const std::string text = json.at(field);
  return text.empty() ? Endpoint() : ParseEndpoint(text);
}

// `last_state` is the last enumerator of State.
template <typename State>
State StateAt(const Json& json, State last_state) {
  const std::string name = json.at("state");
  for (int i = 0; i <= static_cast<int>(last_state); ++i) {
    if (name == Name(static_cast<State>(i)))
      return static_cast<State>(i);
  }
  throw std::runtime_error("unknown state \"" + name + "\"");
}

Json EncodeInstance(const Instance& instance) {
  return {{"id", instance.id.value()},
          {"data_centre", instance.data_centre.value()},
          {"caller", EndpointText(instance.caller_endpoint)},
          {"peer", EndpointText(instance.peer_endpoint)},
          {"leaving", instance.leaving}};
}

Instance DecodeInstance(const Json& json) {
  Instance instance;
  instance.id = InstanceId(json.at("id").get<std::string>());
  instance.data_centre =
      DataCentreId(json.at("data_centre").get<std::string>());
  instance.caller_endpoint = EndpointAt(json, "caller");
  instance.peer_endpoint = EndpointAt(json, "peer");
  instance.leaving = json.at("leaving");
  return instance;
}

Json EncodePeer(const PeerStatus& peer) {
  Json json = EncodeInstance(peer.instance);
  json["state"] = Name(peer.state);
  json["reachable"] = peer.reachable;
  json["last_heard_ms"] = nullptr;
  if (peer.time_since_heard != Duration::max())
    json["last_heard_ms"] = Milliseconds(peer.time_since_heard);
  json["version"] = peer.version;
  return json;
}

PeerStatus DecodePeer(const Json& json) {
  PeerStatus peer;
  peer.instance = DecodeInstance(json);
  peer.state = StateAt(json, InstanceState::kLeaving);
  peer.reachable = json.at("reachable");
  if (!json.at("last_heard_ms").is_null())
    peer.time_since_heard = MillisecondsAt(json, "last_heard_ms");
  peer.version = json.at("version");
  return peer;
}

Json EncodeServer(const ServerStatus& server) {
  return {{"id", server.server.value()},
          {"service", server.service.value()},
          {"data_centre", server.data_centre.value()},
          {"state", Name(server.state)},
          {"reason", server.reason},
          {"outstanding", server.outstanding},
          {"allowance", server.allowance},
          {"latency_ms", Milliseconds(server.latency)},
          {"waiting", server.waiting}};
}

ServerStatus DecodeServer(const Json& json) {
  ServerStatus server;
  server.server = BackendServerId(json.at("id").get<std::string>());
  server.service = ServiceId(json.at("service").get<std::string>());
  server.data_centre = DataCentreId(json.at("data_centre").get<std::string>());
  server.state = StateAt(json, ServerState::kDown);
  server.reason = json.at("reason");
  server.outstanding = json.at("outstanding");
  server.allowance = json.at("allowance");
  server.latency = MillisecondsAt(json, "latency_ms");
  server.waiting = json.at("waiting");
  return server;
}

Json EncodeAccount(const AccountStatus& account) {
  return {{"id", account.client_account.value()},
          {"tokens", Tokens(account.tokens)},
          {"rate_per_s", Tokens(account.rate_per_s)},
          {"burst", Tokens(account.burst)},
          {"lent", Tokens(account.lent)},
          {"borrowed", Tokens(account.borrowed)},
          {"admitted", account.admitted},
          {"refused", account.refused},
          {"waiting", account.waiting}};
}

AccountStatus DecodeAccount(const Json& json) {
  AccountStatus account;
  account.client_account = ClientAccountId(json.at("id").get<std::string>());
  account.tokens = MicroTokensAt(json, "tokens");
  account.rate_per_s = MicroTokensAt(json, "rate_per_s");
  account.burst = MicroTokensAt(json, "burst");
  account.lent = MicroTokensAt(json, "lent");
  account.borrowed = MicroTokensAt(json, "borrowed");
  account.admitted = json.at("admitted");
  account.refused = json.at("refused");
  account.waiting = json.at("waiting");
  return account;
}

Json EncodeMember(const MemberStatus& status) {
  const Member& member = status.member;
  Json json = {{"id", member.id.value()},
               {"data_centre", member.data_centre.value()},
               {"caller", EndpointText(member.caller_endpoint)},
               {"peer", EndpointText(member.peer_endpoint)},
               {"state", Name(member.state)},
               {"millicores", member.millicores},
               {"incarnation", member.incarnation},
               {"linked", status.linked},
               {"last_heard_ms", nullptr},
               {"store_revision", status.store_revision},
               {"reads_store", status.reads_store}};
  if (status.time_since_heard != Duration::max())
    json["last_heard_ms"] = Milliseconds(status.time_since_heard);
  return json;
}

MemberStatus DecodeMember(const Json& json) {
  MemberStatus status;
  Member& member = status.member;
  member.id = InstanceId(json.at("id").get<std::string>());
  member.data_centre = DataCentreId(json.at("data_centre").get<std::string>());
  member.caller_endpoint = EndpointAt(json, "caller");
  member.peer_endpoint = EndpointAt(json, "peer");
  member.state = StateAt(json, MemberState::kGone);
  member.millicores = json.at("millicores");
  member.incarnation = json.at("incarnation");
  status.linked = json.at("linked");
  if (!json.at("last_heard_ms").is_null())
    status.time_since_heard = MillisecondsAt(json, "last_heard_ms");
  status.store_revision = json.at("store_revision");
  status.reads_store = json.at("reads_store");
  return status;
}

Json EncodeColdServers(const ColdServersStatus& status) {
  return {{"cold", status.cold},
          {"requests", status.requests},
          {"share", status.share},
          {"instances", status.counts.instances},
          {"advertised", status.counts.advertised_instances},
          {"all_instances", status.counts.all_instances},
          {"is_advertised", status.counts.is_advertised},
          {"granted", status.counts.granted}};
}

ColdServersStatus DecodeColdServers(const Json& json) {
  ColdServersStatus status;
  status.cold = json.at("cold");
  status.requests = json.at("requests");
  status.share = json.at("share");
  status.counts.instances = json.at("instances");
  status.counts.advertised_instances = json.at("advertised");
  status.counts.all_instances = json.at("all_instances");
  status.counts.is_advertised = json.at("is_advertised");
  status.counts.granted = json.at("granted");
  return status;
}

Json EncodeFleet(const FleetStatus& fleet) {
  Json json = {{"rank", fleet.rank},
               {"store_revision", fleet.store_revision},
               {"store_era", fleet.store_era},
               {"carried_items", fleet.carried_items},
               {"store_age_ms", nullptr},
               {"reads_store", fleet.reads_store},
               {"entries_refused", fleet.entries_refused},
               {"calls_per_s", fleet.requests_per_s},
               {"cold_servers", EncodeColdServers(fleet.cold_servers)},
               {"members", Json::array()}};
  if (fleet.store_age)
    json["store_age_ms"] = Milliseconds(*fleet.store_age);
  for (const MemberStatus& member : fleet.members)
    json["members"].push_back(EncodeMember(member));
  return json;
}

FleetStatus DecodeFleet(const Json& json) {
  FleetStatus fleet;
  fleet.rank = json.at("rank");
  fleet.store_revision = json.at("store_revision");
  fleet.store_era = json.at("store_era");
  fleet.carried_items = json.at("carried_items");
  if (!json.at("store_age_ms").is_null())
    fleet.store_age = MillisecondsAt(json, "store_age_ms");
  fleet.reads_store = json.at("reads_store");
  fleet.entries_refused = json.at("entries_refused");
  fleet.requests_per_s = json.at("calls_per_s");
  fleet.cold_servers = DecodeColdServers(json.at("cold_servers"));
  for (const Json& member : json.at("members"))
    fleet.members.push_back(DecodeMember(member));
  return fleet;
}

AuditRecord DecodeRecord(const Json& json) {
  AuditRecord record;
  const std::string at = json.at("at");
  const std::optional<WallTime> time = ParseUtcTime(at);
  if (!time)
    throw std::runtime_error("\"" + at + "\" is not a time in UTC");
  record.at = *time;
  record.version = json.at("version");
  record.digest = json.at("digest");
  const std::string source = json.at("source");
  if (source != kConfigurationServiceSource)
    record.source = InstanceId(source);
  record.accepted = json.at("accepted");
  record.details = json.at("details").get<std::vector<std::string>>();
  return record;
}

}  // namespace

std::string EncodeStatus(const InstanceStatus& status) {
  Json json;
  json["instance"] = EncodeInstance(status.self);
  json["state"] = Name(status.state);
  json["ready"] = status.readiness.ready;
  json["not_ready_reason"] = status.readiness.reason;
  json["version"] = status.version;
  json["digest"] = status.digest;
  json["configuration_fresh"] = status.configuration_fresh;
  json["list_revision"] = status.list_revision;
  json["peers"] = Json::array();
  for (const PeerStatus& peer : status.peers)
    json["peers"].push_back(EncodePeer(peer));
  json["servers"] = Json::array();
  for (const ServerStatus& server : status.servers)
    json["servers"].push_back(EncodeServer(server));
  json["client_accounts"] = Json::array();
  for (const AccountStatus& account : status.accounts)
    json["client_accounts"].push_back(EncodeAccount(account));
  if (status.fleet)
    json["fleet"] = EncodeFleet(*status.fleet);
  return Dump(json);
}

InstanceStatus DecodeStatus(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    InstanceStatus status;
    status.self = DecodeInstance(json.at("instance"));
    status.state = StateAt(json, InstanceState::kLeaving);
    status.readiness = {json.at("ready"), json.at("not_ready_reason")};
    status.version = json.at("version");
    status.digest = json.at("digest");
    status.configuration_fresh = json.at("configuration_fresh");
    status.list_revision = json.at("list_revision");
    for (const Json& peer : json.at("peers"))
      status.peers.push_back(DecodePeer(peer));
    for (const Json& server : json.at("servers"))
      status.servers.push_back(DecodeServer(server));
    for (const Json& account : json.at("client_accounts"))
      status.accounts.push_back(DecodeAccount(account));
    if (json.contains("fleet"))
      status.fleet = DecodeFleet(json.at("fleet"));
    return status;
  } catch (const std::exception& error) {
    throw std::runtime_error(std::string("not a status: ") + error.what());
  }
}

std::string EncodeAudit(const std::vector<AuditRecord>& records) {
  Json json = Json::array();
  for (const AuditRecord& record : records) {
    json.push_back(
        {{"at", FormatUtcTime(record.at)},
         {"version", record.version},
         {"digest", record.digest},
         {"source", record.source.empty() ? kConfigurationServiceSource
                                          : record.source.value()},
         {"accepted", record.accepted},
         {"details", record.details}});
  }
  return Dump(json);
}

std::vector<AuditRecord> DecodeAudit(const std::string& text) {
  try {
    std::vector<AuditRecord> records;
    for (const Json& record : Json::parse(text))
      records.push_back(DecodeRecord(record));
    return records;
  } catch (const std::exception& error) {
    throw std::runtime_error(std::string("not an audit trail: ") +
                             error.what());
  }
}

}  // namespace mangodoor
