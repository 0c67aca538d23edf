#include "process/io/settings.h"

#include <cmath>
#include <set>
#include <utility>

#include "process/io/figure_reader.h"
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
constexpr Range<double> kPeriodRangeMs{1, 3600000};
constexpr Range<double> kKeepRangeMs{kAddressKeepRangeMs.lowest,
                                     kAddressKeepRangeMs.highest};
constexpr Range<double> kCoresRange{0.001, kWorkerThreadsRange.highest};
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

// A seed that cannot be read is left out: the others are enough to find the
// fleet, and the instances of the fleet can find this one.
void ReadSeeds(FigureReader& reader, std::vector<Endpoint>& seeds) {
  const nlohmann::json* list =
      ReadList(reader.object, "seeds", Presence::kRequired);
  if (!list)
    return;
  for (size_t i = 0; i < list->size(); ++i) {
    std::vector<Fault> faults;
    const Endpoint seed = DecodeEndpoint(
        (*list)[i], reader.object.path + "/seeds/" + std::to_string(i), faults);
    if (faults.empty())
      seeds.push_back(seed);
    for (const Fault& fault : faults)
      reader.replaced.push_back({fault.where, fault.seen, fault.allowed, ""});
  }
}

std::chrono::milliseconds ToMilliseconds(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

void ReadTolerance(FigureReader& reader,
                   UsageTolerance& tolerance,
                   const UsageTolerance& in_use) {
  tolerance.window = ReadTime(
      reader, "limit_window", kPeriodRangeMs,
      {ToMilliseconds(tolerance.window), ToMilliseconds(in_use.window)});
  tolerance.overage = ReadFigure(reader, "limit_overage", kRatioRange,
                                 {tolerance.overage, in_use.overage});
  tolerance.slack = ReadFigure(reader, "limit_slack", kSlackRange,
                               {tolerance.slack, in_use.slack});
}

void ReadRetries(FigureReader& reader,
                 RetryPolicy& retries,
                 const RetryPolicy& in_use) {
  retries.ratio = ReadFigure(reader, "retry_ratio", kRatioRange,
                             {retries.ratio, in_use.ratio});
  retries.window =
      ReadTime(reader, "retry_window", kPeriodRangeMs,
               {ToMilliseconds(retries.window), ToMilliseconds(in_use.window)});
  retries.fleet_slack = ReadFigure(reader, "retry_slack", kSlackRange,
                                   {retries.fleet_slack, in_use.fleet_slack});
}

/** Reads the times and flags that a reload can change. */
void ReadPeriods(FigureReader& reader,
                 FleetSettings& fleet,
                 const FleetSettings& in_use) {
  fleet.stop_grace = ReadTime(reader, "stop_grace", kPeriodRangeMs,
                              {fleet.stop_grace, in_use.stop_grace});
  fleet.address_keep = ReadTime(reader, "address_keep", kKeepRangeMs,
                                {fleet.address_keep, in_use.address_keep});
  fleet.fenced_when_stale =
      ReadSwitch(reader, "fenced_when_stale",
                 {fleet.fenced_when_stale, in_use.fenced_when_stale});
  fleet.fence_after = ReadTime(reader, "fence_after", kPeriodRangeMs,
                               {fleet.fence_after, in_use.fence_after});
}

/** Reads how much of the machine the process may use. */
void ReadProcessor(FigureReader& reader,
                   FleetSettings& fleet,
                   const FleetSettings& in_use,
                   int& worker_threads) {
  fleet.processor_share =
      ReadFigure(reader, "processor_share", kProcessorShareRange,
                 {fleet.processor_share, in_use.processor_share});
  const auto threads = static_cast<double>(worker_threads);
  worker_threads = static_cast<int>(
      std::ceil(ReadFigure(reader, "cores", kCoresRange, {threads, threads})));
}

void ReadFleet(ObjectReader& parent,
               std::set<Endpoint>& used,
               const FleetSettings& in_use,
               Settings& settings) {
  parent.known.emplace_back("fleet");
  if (!parent.json || !parent.json->contains("fleet"))
    return;
  FleetSettings& fleet = settings.fleet.emplace();
  ObjectReader object = OpenObject(parent.json->at("fleet"),
                                   parent.path + "/fleet", parent.faults);
  FigureReader reader{object, settings.replaced};
  ReadSeeds(reader, fleet.seeds);
  ReadAddress(object, "store", fleet.store, nullptr);
  ReadAddress(object, "directory", fleet.directory, &used);
  ReadAddress(object, "readiness", fleet.readiness, &used);
  ReadProcessor(reader, fleet, in_use, settings.worker_threads);
  ReadTolerance(reader, fleet.tolerance, in_use.tolerance);
  ReadRetries(reader, fleet.retries, in_use.retries);
  fleet.probes_per_s = ReadFigure(reader, "probes_per_s", kProbeBudgetRange,
                                  {fleet.probes_per_s, in_use.probes_per_s});
  ReadPeriods(reader, fleet, in_use);
  RejectUnknownFields(object);
}

Settings ReadFields(ObjectReader& object, const FleetSettings& in_use) {
  Settings settings;
  ReadName(object, "id", settings.self.id);
  ReadName(object, "data_centre", settings.self.data_centre);
  std::set<Endpoint> used;
  ReadAddress(object, "caller", settings.self.caller_endpoint, &used);
  ReadAddress(object, "peer", settings.self.peer_endpoint, &used);
  ReadAddress(object, "admin", settings.admin_endpoint, &used);
  ReadInteger(object, "worker_threads", Presence::kOptional,
              kWorkerThreadsRange, settings.worker_threads);
  ReadFleet(object, used, in_use, settings);
  if (!settings.fleet) {
    ReadAddress(object, "configuration_service", settings.configuration_service,
                nullptr);
    ReadAddress(object, "instance_list", settings.instance_list, nullptr);
  }
  ReadSecret(object, settings.fleet_secret);
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

Settings DecodeSettings(const std::string& text,
                        const std::string& file,
                        const FleetSettings& in_use) {
  std::vector<Fault> faults;
  const std::optional<nlohmann::json> json = ParseJsonText(text, faults);
  if (!json)
    throw SettingsError(file, std::move(faults));
  ObjectReader object = OpenObject(*json, "", faults);
  Settings settings = ReadFields(object, in_use);
  if (!faults.empty())
    throw SettingsError(file, std::move(faults));
  return settings;
}

Settings LoadSettings(const std::string& path, const FleetSettings& in_use) {
  return DecodeSettings(ReadTextFile(path, kMaxSettingsBytes), path, in_use);
}

}  // namespace mangodoor
