#include "process/io/settings.h"

#include <set>
#include <utility>

#include "process/io/text_file.h"
#include "version/field_check.h"
#include "version/io/json_reader.h"
#include "version/io/json_text.h"

namespace mangodoor {
namespace {

// A shorter secret could be found by brute force from one recorded handshake.
constexpr size_t kMinSecretLength = 16;
constexpr size_t kMaxSecretLength = 1024;

constexpr Range<int64_t> kWorkerThreadsRange{1, 64};
constexpr size_t kMaxSettingsBytes = 64 * 1024;
constexpr Range<int64_t> kPeriodRangeMs{1, 3600000};
constexpr Range<double> kProcessorShareRange{0.001, 1};
constexpr Range<double> kRatioRange{0, 100};
constexpr Range<double> kSlackRange{0, 1000000};

template <typename Tag>
void ReadName(ObjectReader& object, const char* field, StrongId<Tag>& id) {
  const size_t faults_before = object.faults.size();
  ReadId(object, field, id);
  if (object.faults.size() == faults_before)
    CheckName({object.path + "/" + field, object.faults}, id.value());
}

void ReadSecret(ObjectReader& object, std::string& secret) {
  const size_t faults_before = object.faults.size();
  ReadText(object, "fleet_secret", Presence::kRequired, secret,
           Secrecy::kSecret);
  if (object.faults.size() > faults_before)
    return;
  if (secret.size() < kMinSecretLength || secret.size() > kMaxSecretLength) {
    object.faults.push_back({object.path + "/fleet_secret", Redacted(secret),
                             "16 to 1024 characters"});
  }
}

void ReadLogLevel(ObjectReader& object, LogLevel& level) {
  std::string name = "info";
  ReadText(object, "log_level", Presence::kOptional, name);
  if (name == "info") {
    level = LogLevel::kInfo;
  } else if (name == "warning") {
    level = LogLevel::kWarning;
  } else if (name == "error") {
    level = LogLevel::kError;
  } else {
    object.faults.push_back({object.path + "/log_level", Quoted(name),
                             "\"info\", \"warning\" or \"error\""});
  }
}

// Reads an address. `used` holds the listening addresses read so far, which
// must all differ; it is null for an address to connect to.
void ReadAddress(ObjectReader& object,
                 const char* field,
                 Endpoint& endpoint,
                 std::set<Endpoint>* used) {
  const size_t faults_before = object.faults.size();
  ReadEndpoint(object, field, Presence::kRequired, endpoint);
  if (object.faults.size() > faults_before)
    return;
  const FieldContext context{object.path + "/" + field, object.faults};
  CheckEndpoint(context, endpoint);
  if (used && !used->insert(endpoint).second) {
    object.faults.push_back({context.path, Quoted(ToString(endpoint)),
                             "an address that no other field has"});
  }
}

void ReadSeeds(ObjectReader& object, std::vector<Endpoint>& seeds) {
  const nlohmann::json* list = ReadList(object, "seeds", Presence::kRequired);
  if (!list)
    return;
  for (const nlohmann::json& seed : *list) {
    seeds.push_back(DecodeEndpoint(
        seed, object.path + "/seeds/" + std::to_string(seeds.size()),
        object.faults));
  }
}

void ReadTolerance(ObjectReader& object, UsageTolerance& tolerance) {
  std::chrono::milliseconds window(5000);
  ReadMilliseconds(object, "limit_window_ms", kPeriodRangeMs, window);
  tolerance.window = window;
  ReadNumber(object, "limit_overage", Presence::kOptional, kRatioRange,
             tolerance.overage);
  ReadNumber(object, "limit_slack", Presence::kOptional, kSlackRange,
             tolerance.slack);
}

void ReadRetries(ObjectReader& object, RetryPolicy& retries) {
  std::chrono::milliseconds window(10000);
  ReadNumber(object, "retry_ratio", Presence::kOptional, kRatioRange,
             retries.ratio);
  ReadMilliseconds(object, "retry_window_ms", kPeriodRangeMs, window);
  retries.window = window;
  ReadNumber(object, "retry_slack", Presence::kOptional, kSlackRange,
             retries.fleet_slack);
}

void ReadFleet(ObjectReader& parent,
               std::set<Endpoint>& used,
               std::optional<FleetSettings>& fleet) {
  parent.known.emplace_back("fleet");
  if (!parent.json || !parent.json->contains("fleet"))
    return;
  fleet.emplace();
  ObjectReader object = OpenObject(parent.json->at("fleet"),
                                   parent.path + "/fleet", parent.faults);
  ReadSeeds(object, fleet->seeds);
  ReadAddress(object, "store", fleet->store, nullptr);
  ReadAddress(object, "directory", fleet->directory, &used);
  ReadAddress(object, "readiness", fleet->readiness, &used);
  ReadNumber(object, "processor_share", Presence::kOptional,
             kProcessorShareRange, fleet->processor_share);
  ReadTolerance(object, fleet->tolerance);
  ReadRetries(object, fleet->retries);
  ReadNumber(object, "probes_per_s", Presence::kOptional, kProbeBudgetRange,
             fleet->probes_per_s);
  ReadMilliseconds(object, "stop_grace_ms", kPeriodRangeMs, fleet->stop_grace);
  ReadMilliseconds(object, "address_keep_ms", kAddressKeepRangeMs,
                   fleet->address_keep);
  ReadFlag(object, "fenced_when_stale", fleet->fenced_when_stale);
  ReadMilliseconds(object, "fence_after_ms", kPeriodRangeMs,
                   fleet->fence_after);
  RejectUnknownFields(object);
}

Settings ReadFields(ObjectReader& object) {
  Settings settings;
  ReadName(object, "id", settings.self.id);
  ReadName(object, "data_centre", settings.self.data_centre);
  std::set<Endpoint> used;
  ReadAddress(object, "caller", settings.self.caller_endpoint, &used);
  ReadAddress(object, "peer", settings.self.peer_endpoint, &used);
  ReadAddress(object, "admin", settings.admin_endpoint, &used);
  ReadFleet(object, used, settings.fleet);
  if (!settings.fleet) {
    ReadAddress(object, "configuration_service", settings.configuration_service,
                nullptr);
    ReadAddress(object, "instance_list", settings.instance_list, nullptr);
  }
  ReadSecret(object, settings.fleet_secret);
  ReadInteger(object, "worker_threads", Presence::kOptional,
              kWorkerThreadsRange, settings.worker_threads);
  ReadLogLevel(object, settings.log_level);
  RejectUnknownFields(object);
  return settings;
}

std::string FormatFaults(const std::string& file,
                         const std::vector<Fault>& faults) {
  std::string lines;
  for (const Fault& fault : faults) {
    if (!lines.empty())
      lines += '\n';
    lines += file + ": " + ToString(fault);
  }
  return lines;
}

}  // namespace

SettingsError::SettingsError(const std::string& file, std::vector<Fault> faults)
    : std::runtime_error(FormatFaults(file, faults)),
      faults_(std::move(faults)) {}

Settings DecodeSettings(const std::string& text, const std::string& file) {
  std::vector<Fault> faults;
  const std::optional<nlohmann::json> json = ParseJsonText(text, faults);
  if (!json)
    throw SettingsError(file, std::move(faults));
  ObjectReader object = OpenObject(*json, "", faults);
  Settings settings = ReadFields(object);
  if (!faults.empty())
    throw SettingsError(file, std::move(faults));
  return settings;
}

Settings LoadSettings(const std::string& path) {
  return DecodeSettings(ReadTextFile(path, kMaxSettingsBytes), path);
}

}  // namespace mangodoor
