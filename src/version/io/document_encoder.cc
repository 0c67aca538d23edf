#include <nlohmann/json.hpp>

#include "version/document_names.h"
#include "version/io/document_codec.h"
#include "version/utc_time.h"

namespace mangodoor {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kIndent = 2;

Json Encode(const DataCentre& data_centre) {
  Json json;
  json["id"] = data_centre.id.value();
  json["region"] = data_centre.region;
  json["in_service"] = data_centre.in_service;
  json["entry_addresses"] = Json::array();
  for (const Endpoint& address : data_centre.entry_addresses)
    json["entry_addresses"].push_back(ToString(address));
  return json;
}

Json Encode(const BackendServer& server) {
  Json json;
  json["id"] = server.id.value();
  json["data_centre"] = server.data_centre.value();
  json["endpoint"] = ToString(server.endpoint);
  json["slots"] = server.slots;
  json["connection_limit"] = server.connection_limit;
  json["mode"] = Name(server.mode);
  return json;
}

template <typename Entry>
Json EncodeList(const std::vector<Entry>& entries);

Json Encode(const Service& service) {
  Json json;
  json["id"] = service.id.value();
  json["cold_concurrency"] = service.cold_concurrency;
  json["ramp_ms"] = service.ramp.count();
  json["cold_max_ms"] = service.cold_max.count();
  json["probe_budget_per_s"] = service.probe_budget_per_s;
  json["queue_limit"] = service.queue_limit;
  json["discovered"] = service.discovered;
  json["health_path"] = service.health_path;
  json["connection_limit"] = service.connection_limit;
  json["cold_time_ms"] = service.cold_time.count();
  json["cold_rate_per_s"] = service.cold_rate_per_s;
  json["servers"] = EncodeList(service.servers);
  return json;
}

Json Encode(const RoutePart& part) {
  Json json;
  json["service"] = part.service.value();
  json["weight"] = part.weight;
  return json;
}

Json Encode(const Route& route) {
  Json json;
  json["host"] = route.host;
  json["path_prefix"] = route.path_prefix;
  json["service"] = route.service.value();
  json["split"] = EncodeList(route.split);
  json["open"] = route.open;
  json["idempotent"] = route.retry_rule == RetryRule::kAlways;
  json["never_repeat"] = route.retry_rule == RetryRule::kNever;
  json["timeout_ms"] = route.timeout.count();
  json["target_latency_ms"] = route.target_latency.count();
  json["max_attempts"] = route.max_attempts;
  json["priority"] = route.priority;
  return json;
}

Json Encode(const ClientAccount& account) {
  Json json;
  json["id"] = account.id.value();
  json["rate_per_s"] = account.rate_per_s;
  json["burst"] = account.burst;
  json["limited"] = account.limited;
  json["weight"] = account.weight;
  if (account.priority)
    json["priority"] = *account.priority;
  return json;
}

Json Encode(const ApiKey& key) {
  Json json;
  json["digest"] = key.digest;
  json["client_account"] = key.client_account.value();
  return json;
}

Json Encode(const PlannedChange& change) {
  Json json;
  json["at"] = FormatUtcTime(change.at);
  json["kind"] = Name(change.kind);
  json["target"] = change.target;
  return json;
}

Json Encode(const CallerLimits& limits) {
  Json json;
  json["header_bytes"] = limits.header_bytes;
  json["body_bytes"] = limits.body_bytes;
  json["header_time_ms"] = limits.header_time.count();
  json["idle_time_ms"] = limits.idle_time.count();
  return json;
}

template <typename Entry>
Json EncodeList(const std::vector<Entry>& entries) {
  Json list = Json::array();
  for (const Entry& entry : entries)
    list.push_back(Encode(entry));
  return list;
}

}  // namespace

std::string EncodeDocument(const Document& document) {
  Json json;
  json["version"] = document.version;
  json["admission_wait_ms"] = document.admission_wait.count();
  json["address_keep_ms"] = document.address_keep.count();
  json["caller_limits"] = Encode(document.limits);
  json["limit_policy"] = Name(document.limit_policy);
  json["data_centres"] = EncodeList(document.data_centres);
  json["services"] = EncodeList(document.services);
  json["routes"] = EncodeList(document.routes);
  json["client_accounts"] = EncodeList(document.client_accounts);
  json["keys"] = EncodeList(document.keys);
  json["planned_changes"] = EncodeList(document.planned_changes);
  return json.dump(kIndent) + "\n";
}

}  // namespace mangodoor
