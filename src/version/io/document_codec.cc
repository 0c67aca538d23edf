#include "version/io/document_codec.h"

#include <set>
#include <utility>

#include "version/document_check.h"
#include "version/document_names.h"
#include "version/io/digest.h"
#include "version/io/json_reader.h"
#include "version/io/json_text.h"
#include "version/utc_time.h"

namespace mangodoor {
namespace {

using Json = nlohmann::json;

// More faults do not help an operator, and a hostile document of 1 MB could
// cause several hundred thousand.
constexpr size_t kMaxFaults = 1000;

// Represents an absent priority; outside kPriorityRange.
constexpr int kNoPriority = -1;

// Decodes each entry of a list, until there are kMaxFaults faults.
template <typename Entry>
void DecodeList(ObjectReader& parent,
                const char* field,
                Presence presence,
                void (*decode)(ObjectReader&, Entry&),
                std::vector<Entry>& entries) {
  const Json* list = ReadList(parent, field, presence);
  if (!list)
    return;
  for (const Json& json : *list) {
    if (parent.faults.size() >= kMaxFaults)
      return;
    // Entries with faults are kept, so that the indexes in the paths of later
    // entries are right.
    Entry& entry = entries.emplace_back();
    ObjectReader object = OpenObject(
        json,
        parent.path + "/" + field + "/" + std::to_string(entries.size() - 1),
        parent.faults);
    decode(object, entry);
    RejectUnknownFields(object);
  }
}

void DecodeDataCentre(ObjectReader& object, DataCentre& data_centre) {
  ReadId(object, "id", data_centre.id);
  ReadText(object, "region", Presence::kOptional, data_centre.region);
  ReadFlag(object, "in_service", data_centre.in_service);
  const Json* list = ReadList(object, "entry_addresses", Presence::kOptional);
  if (!list)
    return;
  const std::string path = object.path + "/entry_addresses/";
  for (const Json& address : *list) {
    if (object.faults.size() >= kMaxFaults)
      return;
    const size_t index = data_centre.entry_addresses.size();
    data_centre.entry_addresses.push_back(
        DecodeEndpoint(address, path + std::to_string(index), object.faults));
  }
}

void DecodeServer(ObjectReader& object, BackendServer& server) {
  ReadId(object, "id", server.id);
  ReadId(object, "data_centre", server.data_centre);
  ReadEndpoint(object, "endpoint", Presence::kRequired, server.endpoint);
  ReadInteger(object, "slots", Presence::kOptional, kSlotsRange, server.slots);
  ReadInteger(object, "connection_limit", Presence::kOptional,
              kConnectionLimitRange, server.connection_limit);
  std::string mode = Name(server.mode);
  ReadText(object, "mode", Presence::kOptional, mode);
  if (const auto known = ParseServerMode(mode)) {
    server.mode = *known;
  } else {
    object.faults.push_back(
        {object.path + "/mode", Quoted(mode), "\"active\" or \"draining\""});
  }
}

void DecodeService(ObjectReader& object, Service& service) {
  ReadId(object, "id", service.id);
  ReadFlag(object, "discovered", service.discovered);
  DecodeList(object, "servers",
             service.discovered ? Presence::kOptional : Presence::kRequired,
             DecodeServer, service.servers);
  ReadText(object, "health_path", Presence::kOptional, service.health_path);
  ReadInteger(object, "connection_limit", Presence::kOptional,
              kConnectionLimitRange, service.connection_limit);
  ReadMilliseconds(object, "cold_time_ms", kColdTimeRangeMs, service.cold_time);
  ReadNumber(object, "cold_rate_per_s", Presence::kOptional, kColdRateRange,
             service.cold_rate_per_s);
  ReadInteger(object, "cold_concurrency", Presence::kOptional,
              kColdConcurrencyRange, service.cold_concurrency);
  ReadMilliseconds(object, "ramp_ms", kRampRangeMs, service.ramp);
  ReadMilliseconds(object, "cold_max_ms", kColdMaxRangeMs, service.cold_max);
  ReadNumber(object, "probe_budget_per_s", Presence::kOptional,
             kProbeBudgetRange, service.probe_budget_per_s);
  ReadInteger(object, "queue_limit", Presence::kOptional, kQueueLimitRange,
              service.queue_limit);
}

void DecodeRoutePart(ObjectReader& object, RoutePart& part) {
  ReadId(object, "service", part.service);
  ReadInteger(object, "weight", Presence::kRequired, kPartWeightRange,
              part.weight);
}

// "idempotent" allows retries of all methods, "never_repeat" of none. If
// neither is set, the method decides.
void DecodeRetryRule(ObjectReader& object, RetryRule& retry_rule) {
  bool always = false;
  bool never = false;
  ReadFlag(object, "idempotent", always);
  ReadFlag(object, "never_repeat", never);
  if (always && never) {
    object.faults.push_back({object.path + "/never_repeat", "true",
                             "false, as \"idempotent\" is true"});
  }
  if (always)
    retry_rule = RetryRule::kAlways;
  else if (never)
    retry_rule = RetryRule::kNever;
}

void DecodeRoute(ObjectReader& object, Route& route) {
  ReadText(object, "host", Presence::kOptional, route.host);
  ReadText(object, "path_prefix", Presence::kRequired, route.path_prefix);
  DecodeList(object, "split", Presence::kOptional, DecodeRoutePart,
             route.split);
  std::string service;
  ReadText(object, "service",
           route.split.empty() ? Presence::kRequired : Presence::kOptional,
           service);
  route.service = ServiceId(service);
  ReadFlag(object, "open", route.open);
  DecodeRetryRule(object, route.retry_rule);
  ReadMilliseconds(object, "timeout_ms", kTimeoutRangeMs, route.timeout);
  ReadMilliseconds(object, "target_latency_ms", kTargetLatencyRangeMs,
                   route.target_latency);
  ReadInteger(object, "max_attempts", Presence::kOptional, kMaxAttemptsRange,
              route.max_attempts);
  ReadInteger(object, "priority", Presence::kOptional, kPriorityRange,
              route.priority);
}

void DecodeAccount(ObjectReader& object, ClientAccount& account) {
  ReadId(object, "id", account.id);
  ReadFlag(object, "limited", account.limited);
  const Presence limits =
      account.limited ? Presence::kRequired : Presence::kOptional;
  ReadNumber(object, "rate_per_s", limits, kRateRange, account.rate_per_s);
  ReadInteger(object, "burst", limits, kBurstRange, account.burst);
  int priority = kNoPriority;
  ReadInteger(object, "priority", Presence::kOptional, kPriorityRange,
              priority);
  if (priority != kNoPriority)
    account.priority = priority;
  ReadInteger(object, "weight", Presence::kOptional, kWeightRange,
              account.weight);
}

void DecodeKey(ObjectReader& object, ApiKey& key) {
  ReadText(object, "digest", Presence::kRequired, key.digest, Secrecy::kSecret);
  ReadId(object, "client_account", key.client_account);
}

void DecodePlannedChange(ObjectReader& object, PlannedChange& change) {
  std::string at;
  std::string kind;
  ReadText(object, "at", Presence::kRequired, at);
  ReadText(object, "kind", Presence::kRequired, kind);
  // Secret, as the target may be a key given by mistake in place of its digest.
  ReadText(object, "target", Presence::kRequired, change.target,
           Secrecy::kSecret);
  const auto time = ParseUtcTime(at);
  const auto known = ParseChangeKind(kind);
  if (!time) {
    object.faults.push_back({object.path + "/at", Quoted(at),
                             "an RFC 3339 time in UTC such as "
                             "\"2026-12-04T10:00:00Z\", years 1970 to 2199"});
  }
  if (!known) {
    object.faults.push_back(
        {object.path + "/kind", Quoted(kind),
         "data_centre_out, data_centre_in, server_drain, server_active or "
         "key_withdraw"});
    // Without a valid kind, the target cannot be checked.
    object.faults.push_back({object.path + "/target", "not checked",
                             "a target that fits the kind"});
  }
  change.at = time.value_or(WallTime());
  change.kind = known.value_or(ChangeKind::kDataCentreIn);
}

void DecodeLimits(ObjectReader& parent, CallerLimits& limits) {
  parent.known.emplace_back("caller_limits");
  if (!parent.json)
    return;
  const auto found = parent.json->find("caller_limits");
  if (found == parent.json->end())
    return;
  ObjectReader object =
      OpenObject(*found, parent.path + "/caller_limits", parent.faults);
  auto header_bytes = static_cast<int64_t>(limits.header_bytes);
  auto body_bytes = static_cast<int64_t>(limits.body_bytes);
  ReadInteger(object, "header_bytes", Presence::kOptional, kHeaderBytesRange,
              header_bytes);
  ReadInteger(object, "body_bytes", Presence::kOptional, kBodyBytesRange,
              body_bytes);
  limits.header_bytes = static_cast<size_t>(header_bytes);
  limits.body_bytes = static_cast<uint64_t>(body_bytes);
  ReadMilliseconds(object, "header_time_ms", kHeaderTimeRangeMs,
                   limits.header_time);
  ReadMilliseconds(object, "idle_time_ms", kIdleTimeRangeMs, limits.idle_time);
  RejectUnknownFields(object);
}

void DecodeLimitPolicy(ObjectReader& object, LimitPolicy& policy) {
  std::string name = Name(policy);
  ReadText(object, "limit_policy", Presence::kOptional, name);
  if (const auto known = ParseLimitPolicy(name)) {
    policy = *known;
  } else {
    object.faults.push_back({object.path + "/limit_policy", Quoted(name),
                             "\"entry_addresses\" or \"shared_usage\""});
  }
}

Document DecodeFields(const Json& json, std::vector<Fault>& faults) {
  Document document;
  ObjectReader object = OpenObject(json, "", faults);
  int64_t version = 0;
  ReadInteger(object, "version", Presence::kRequired, kVersionRange, version);
  document.version = static_cast<uint64_t>(version);
  ReadMilliseconds(object, "admission_wait_ms", kAdmissionWaitRangeMs,
                   document.admission_wait);
  ReadMilliseconds(object, "address_keep_ms", kAddressKeepRangeMs,
                   document.address_keep);
  DecodeLimits(object, document.limits);
  DecodeLimitPolicy(object, document.limit_policy);
  DecodeList(object, "data_centres", Presence::kRequired, DecodeDataCentre,
             document.data_centres);
  DecodeList(object, "services", Presence::kRequired, DecodeService,
             document.services);
  DecodeList(object, "routes", Presence::kRequired, DecodeRoute,
             document.routes);
  DecodeList(object, "client_accounts", Presence::kRequired, DecodeAccount,
             document.client_accounts);
  DecodeList(object, "keys", Presence::kRequired, DecodeKey, document.keys);
  DecodeList(object, "planned_changes", Presence::kOptional,
             DecodePlannedChange, document.planned_changes);
  RejectUnknownFields(object);
  return document;
}

// True if `paths` contains `where` or the path of an object or list around the
// value at `where`.
bool IsWithin(std::string where, const std::set<std::string>& paths) {
  while (paths.count(where) == 0) {
    if (where.empty())
      return false;
    where.erase(where.rfind('/'));
  }
  return true;
}

// Adds the faults that CheckDocument finds, except at paths that could not be
// decoded: there CheckDocument sees a default value instead of the one in the
// text.
void AddContentFaults(const Document& document, std::vector<Fault>& faults) {
  std::set<std::string> invalid_paths;
  for (const Fault& fault : faults)
    invalid_paths.insert(fault.where);
  for (Fault& fault : CheckDocument(document)) {
    if (!IsWithin(fault.where, invalid_paths))
      faults.push_back(std::move(fault));
  }
}

std::vector<Fault> TruncateFaults(std::vector<Fault> faults) {
  if (faults.size() > kMaxFaults) {
    faults.resize(kMaxFaults);
    faults.push_back({"", "more faults, not listed", "none"});
  }
  return faults;
}

}  // namespace

DocumentError::DocumentError(std::vector<Fault> faults)
    : std::runtime_error(ToString(faults)), faults_(std::move(faults)) {}

Document DecodeDocument(const std::string& text) {
  if (text.size() > kMaxDocumentBytes) {
    throw DocumentError(
        {{"", std::to_string(text.size()) + " bytes",
          "at most " + std::to_string(kMaxDocumentBytes) + " bytes"}});
  }
  std::vector<Fault> faults;
  const std::optional<Json> json = ParseJsonText(text, faults);
  if (!json)
    throw DocumentError(std::move(faults));
  Document document = DecodeFields(*json, faults);
  if (faults.size() < kMaxFaults)
    AddContentFaults(document, faults);
  if (!faults.empty())
    throw DocumentError(TruncateFaults(std::move(faults)));
  return document;
}

VersionPtr DecodeVersion(const std::string& text) {
  return MakeVersion(DecodeDocument(text), Sha256Hex(text), text);
}

}  // namespace mangodoor
