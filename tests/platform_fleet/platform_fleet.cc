#include "platform_fleet/platform_fleet.h"

#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "fleet/harness/test_fleet.h"
#include "operators/repository.h"
#include "platform_fleet/template.h"
#include "process/status/io/status_codec.h"
#include "store_answer.h"

namespace mangodoor {
namespace {

using Json = nlohmann::json;
namespace fs = std::filesystem;

// Groups of addresses in the test's own /16 of the loopback network.
constexpr int kInstanceGroup = 1;
constexpr int kServerGroup = 2;
constexpr int kStoreGroup = 3;
constexpr int kCallerRelayGroup = 4;
constexpr int kStoreRelayGroup = 5;
constexpr int kServerRelayGroup = 6;

constexpr int kCallerPort = 8100;
constexpr int kReadinessPort = 8101;
constexpr int kPeerPort = 8102;
constexpr int kDirectoryPort = 8103;
constexpr int kAdminPort = 8104;
constexpr int kServerPort = 9000;
constexpr int kStorePort = 7100;

std::string ProgramPath(const std::string& name) {
  return BinaryFolder() + "/" + name;
}

std::string ToHex(uint64_t number) {
  std::ostringstream text;
  text.width(8);
  text.fill('0');
  text << std::hex << number;
  return text.str();
}

}  // namespace

PlatformFleet::PlatformFleet(const PlatformPlan& plan) : plan_(plan) {
  folder_ = (fs::temp_directory_path() /
             ("mangodoor-platform-" + std::to_string(getpid())))
                .string();
  fs::remove_all(folder_);
  fs::create_directories(folder_);
  store_ = std::make_unique<ChildProcess>(
      std::vector<std::string>{ProgramPath("standin-platform-store"), "-l",
                               ToString({Host(kStoreGroup, 0), kStorePort})},
      folder_ + "/store.log");
  WaitFor([this] { return store_request_count() >= 0; },
          std::chrono::seconds(5));
  if (plan_.relays)
    StartRelays();
  servers_.resize(Index(servers()));
  instances_.resize(Index(plan_.instances));
  for (int i = 0; i < servers(); ++i)
    StartServer(i);
  for (int i = 0; i < plan_.instances; ++i) {
    WriteSettings(i, Json::object());
    StartInstance(i);
  }
  Publish();
}

PlatformFleet::~PlatformFleet() {
  instances_.clear();
  servers_.clear();
  store_.reset();
  if (!std::getenv("MANGODOOR_KEEP_LOGS"))
    fs::remove_all(folder_);
}

std::string PlatformFleet::Host(int group, int index) const {
  return network_.Host(group, index);
}

Endpoint PlatformFleet::InstanceAddress(int index, int port) const {
  return {Host(kInstanceGroup, index), static_cast<uint16_t>(port)};
}

Endpoint PlatformFleet::server_address(int index) const {
  return {Host(kServerGroup, index), kServerPort};
}

Endpoint PlatformFleet::announced_address(int index) const {
  return plan_.relays ? Endpoint{Host(kServerRelayGroup, index), kServerPort}
                      : server_address(index);
}

Endpoint PlatformFleet::store_address(int instance) const {
  return plan_.relays ? Endpoint{Host(kStoreRelayGroup, instance), kStorePort}
                      : Endpoint{Host(kStoreGroup, 0), kStorePort};
}

void PlatformFleet::StartRelays() {
  for (int i = 0; i < plan_.instances; ++i) {
    caller_relays_[i] = std::make_unique<FaultRelay>(
        Endpoint{Host(kCallerRelayGroup, i), kCallerPort}, caller_endpoint(i));
    store_relays_[i] = std::make_unique<FaultRelay>(
        store_address(i), Endpoint{Host(kStoreGroup, 0), kStorePort});
  }
  for (int i = 0; i < servers(); ++i) {
    server_relays_[i] =
        std::make_unique<FaultRelay>(announced_address(i), server_address(i));
  }
}

Endpoint PlatformFleet::RouteTo(const Endpoint& address) const {
  for (int i = 0; plan_.relays && i < plan_.instances; ++i) {
    if (address == caller_endpoint(i))
      return {Host(kCallerRelayGroup, i), kCallerPort};
  }
  return address;
}

Endpoint PlatformFleet::caller_endpoint(int index) const {
  return InstanceAddress(index, kCallerPort);
}

// The values that the platform fills into the settings template.
Json PlatformFleet::TemplateFields(int index) const {
  Json seeds = Json::array();
  for (int i = 0; i < std::min(3, plan_.instances); ++i)
    seeds.push_back(ToString(InstanceAddress(i, kPeerPort)));
  Json bounds = SampleBounds();
  bounds["FailClosed"] = plan_.fail_closed;
  return {{"Node", "front-" + std::to_string(index)},
          {"Ip", Host(kInstanceGroup, index)},
          {"Zone", "zone-" + std::to_string(index % plan_.zones)},
          {"Seeds", seeds},
          {"InternalPorts", {kAdminPort, kAdminPort + 10}},
          {"Limits", {{"Cores", 1}, {"CpuShare", 0.2}}},
          {"Listen",
           {{"Front", ToString(InstanceAddress(index, kCallerPort))},
            {"Ready", ToString(InstanceAddress(index, kReadinessPort))},
            {"Control", ToString(InstanceAddress(index, kPeerPort))},
            {"Directory", ToString(InstanceAddress(index, kDirectoryPort))}}},
          {"Platform", {{"Address", ToString(store_address(index))}}},
          {"Bounds", bounds}};
}

std::string PlatformFleet::SettingsPath(int index) const {
  return folder_ + "/settings-" + std::to_string(index) + ".json";
}

void PlatformFleet::WriteSettings(int index, const Json& changes) {
  Json fields = TemplateFields(index);
  fields.merge_patch(changes);
  WriteSettingsText(
      index, RenderTemplate(RepositoryFile("platform/settings.json"), fields));
}

void PlatformFleet::WriteSettingsText(int index, const std::string& text) {
  std::ofstream(SettingsPath(index)) << text;
}

void PlatformFleet::StartInstance(int index) {
  instances_.at(Index(index)) = std::make_unique<ChildProcess>(
      std::vector<std::string>{ProgramPath("mangodoor-platform"), "-s",
                               SettingsPath(index)},
      folder_ + "/instance-" + std::to_string(index) + ".log");
}

void PlatformFleet::StartInstanceWithPipe(int index,
                                          const std::function<void()>& act) {
  const std::string path = SettingsPath(index);
  const std::string file = path + ".file";
  fs::rename(path, file);
  if (mkfifo(path.c_str(), 0600) != 0)
    throw std::runtime_error("mkfifo failed");
  StartInstance(index);
  // Waits until the instance has opened the pipe.
  std::ofstream pipe(path);
  act();
  std::ostringstream text;
  text << std::ifstream(file).rdbuf();
  fs::rename(file, path);
  pipe << text.str();
}

void PlatformFleet::StartServer(int index) {
  servers_.at(Index(index)) = std::make_unique<ChildProcess>(
      std::vector<std::string>{ProgramPath("standin-platform-server"),
                               "-l",
                               ToString(server_address(index)),
                               "-a",
                               ToString(announced_address(index)),
                               "-t",
                               ToString({Host(kStoreGroup, 0), kStorePort}),
                               "-i",
                               ServerId(index),
                               "-s",
                               "work",
                               "-z",
                               "zone-" + std::to_string(zone_of_server(index)),
                               "-w",
                               std::to_string(plan_.work_ms),
                               "-n",
                               std::to_string(plan_.server_slots),
                               "-b",
                               std::to_string(plan_.server_heartbeat.count()),
                               "-c",
                               std::to_string(plan_.cold_time.count()),
                               "-r",
                               RunLogPath(index)},
      folder_ + "/server-" + std::to_string(index) + ".log");
}

bool PlatformFleet::IsReady(int index) const {
  return CallOnce(InstanceAddress(index, kReadinessPort),
                  {"GET", "/readiness", {}, ""})
             .status == 200;
}

bool PlatformFleet::WaitUntilReady(std::chrono::milliseconds timeout) {
  return WaitFor(
      [this] {
        for (int i = 0; i < plan_.instances; ++i) {
          if (!IsReady(i) || Call(caller_endpoint(i), "ready").status != 200)
            return false;
        }
        return true;
      },
      timeout);
}

void PlatformFleet::WriteStoreItem(const std::string& method,
                                   const std::string& key,
                                   const std::string& value) const {
  CallOnce({Host(kStoreGroup, 0), kStorePort},
           {method, "/standin/item?key=" + key, {}, value});
}

std::string PlatformFleet::ItemValue(const std::string& key) const {
  const ClientResponse response =
      CallOnce({Host(kStoreGroup, 0), kStorePort},
               {"GET", "/kv-range?Prefix=" + key, {}, ""});
  const StoreAnswer answer =
      platform::DecodeStoreAnswer(response.status, response.body);
  return answer.items.empty() ? "" : answer.items.front().value;
}

void PlatformFleet::PutItemText(const std::string& key,
                                const std::string& text) const {
  CallOnce({Host(kStoreGroup, 0), kStorePort},
           {"PUT", "/standin/text?key=" + key, {}, text});
}

void PlatformFleet::Publish() {
  ++version;
  const auto route = [this](const std::string& prefix, const char* kind) {
    return Json{{"ResourceKind", "Routes"},
                {"Metadata", {{"Name", prefix}}},
                {"Spec",
                 {{"Host", kHost},
                  {"Prefix", prefix},
                  {"Kind", kind},
                  {"TimeoutMs", route_timeout.count()},
                  {"TargetLatencyMs", 200},
                  {"Priority", 1},
                  {"Service", "work"},
                  {"MaxAttempts", 2},
                  {"Public", false}}}};
  };
  Json resources = {route("/work/", "safe"), route("/order/", "unsafe")};
  if (!extra_prefix.empty())
    resources.push_back(route(extra_prefix, "safe"));
  for (int i = 0; i < filler_routes; ++i)
    resources.push_back(route("/filler/" + std::to_string(i) + "/", "safe"));
  resources.push_back(
      {{"ResourceKind", "Services"},
       {"Metadata", {{"Name", "work"}}},
       {"Spec",
        {{"HealthPath", "/health"},
         {"MaxConns", 200},
         {"ColdStartS", std::chrono::duration<double>(plan_.cold_time).count()},
         {"ColdPerS", plan_.cold_rate_per_s}}}});
  resources.push_back(
      {{"ResourceKind", "Tenants"},
       {"Metadata", {{"Name", "tenant"}}},
       {"Spec",
        {{"ApiKeys", Json::array({key_withdrawn ? "another" : kKey})},
         {"RatePerS", tenant_rate_per_s},
         {"Burst", static_cast<int>(tenant_rate_per_s)}}}});
  WriteAsOperator(
      "op/config",
      Json{{"Version", ToHex(version)}, {"Resources", resources}}.dump());
}

void PlatformFleet::Evacuate(int zone, bool out) {
  WriteAsOperator("op/evacuate/zone-" + std::to_string(zone),
                  out ? std::optional<std::string>("{}") : std::nullopt);
}

void PlatformFleet::WriteAsOperator(const std::string& key,
                                    const std::optional<std::string>& value) {
  operator_writes_[key] = value;
  WriteStoreItem(value ? "PUT" : "DELETE", key, value.value_or(""));
}

void PlatformFleet::RestoreStore(std::chrono::milliseconds away,
                                 std::chrono::milliseconds age) {
  CallOnce({Host(kStoreGroup, 0), kStorePort},
           {"POST",
            "/standin/restore?away_ms=" + std::to_string(away.count()) +
                "&age_ms=" + std::to_string(age.count()),
            {},
            ""});
}

void PlatformFleet::RepeatOperatorWrites() {
  for (const auto& [key, value] : operator_writes_)
    WriteStoreItem(value ? "PUT" : "DELETE", key, value.value_or(""));
}

void PlatformFleet::SetStoreMode(const std::string& mode) {
  CallOnce({Host(kStoreGroup, 0), kStorePort},
           {"PUT", "/standin/mode", {}, mode});
}

void PlatformFleet::CompactStore() {
  CallOnce({Host(kStoreGroup, 0), kStorePort},
           {"POST", "/standin/compact", {}, ""});
}

int PlatformFleet::store_request_count() const {
  const ClientResponse response = CallOnce({Host(kStoreGroup, 0), kStorePort},
                                           {"GET", "/standin/calls", {}, ""});
  const Json json = Json::parse(response.body, nullptr, false);
  return json.is_object() ? json.value("calls", -1) : -1;
}

std::vector<Endpoint> PlatformFleet::Lookup(int index) const {
  const ClientResponse response =
      CallOnce(InstanceAddress(index, kDirectoryPort),
               {"GET",
                std::string("/lookup?Name=") + kHost + "&Region=r&Zone=zone-0",
                {},
                ""});
  std::vector<Endpoint> addresses;
  const Json json = Json::parse(response.body, nullptr, false);
  if (response.status != 200 || !json.is_object())
    return addresses;
  for (const Json& address : json["Addresses"])
    addresses.push_back(ParseEndpoint(address.get<std::string>()));
  return addresses;
}

ClientResponse PlatformFleet::Call(const Endpoint& address,
                                   const std::string& id,
                                   const std::string& method,
                                   const std::string& path) const {
  return CallOnce(address, {method, path, FieldsOf(id), ""});
}

std::map<std::string, std::string> PlatformFleet::FieldsOf(
    const std::string& id,
    std::chrono::milliseconds time_limit) {
  return {{"Host", kHost},
          {"X-Request-Id", id},
          {"X-Request-Deadline-Ms", std::to_string(time_limit.count())},
          {"Authorization", std::string("Token ") + kKey}};
}

Json PlatformFleet::ServerCounters(int index) const {
  const ClientResponse response =
      CallOnce(server_address(index), {"GET", "/standin/counters", {}, ""});
  return Json::parse(response.body, nullptr, false);
}

std::map<std::string, int> PlatformFleet::Runs() const {
  std::map<std::string, int> runs;
  for (int i = 0; i < servers(); ++i) {
    const Json counters = ServerCounters(i);
    if (!counters.is_object())
      continue;
    for (const auto& [id, count] : counters["runs"].items())
      runs[id] += count.get<int>();
  }
  return runs;
}

std::string PlatformFleet::LogOf(int index) const {
  std::ifstream file(folder_ + "/instance-" + std::to_string(index) + ".log");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string PlatformFleet::RunLogPath(int server) const {
  return folder_ + "/runs-" + std::to_string(server) + ".log";
}

bool PlatformFleet::SetServerFaults(int server, const std::string& mode) const {
  constexpr std::chrono::milliseconds kTimeout(300);
  return CallOnce(server_address(server), {"PUT", "/standin/faults", {}, mode},
                  kTimeout)
             .status == 200;
}

bool PlatformFleet::SetServerCold(int server,
                                  std::chrono::milliseconds duration) const {
  return CallOnce(
             server_address(server),
             {"PUT", "/standin/cold", {}, std::to_string(duration.count())})
             .status == 200;
}

std::vector<ColdArrival> PlatformFleet::ColdArrivals(int server) const {
  return DecodeColdArrivals(CallOnce(server_address(server),
                                     {"GET", "/standin/cold-arrivals", {}, ""})
                                .body);
}

InstanceStatus PlatformFleet::StatusOf(int index) const {
  return DecodeStatus(
      CallOnce(InstanceAddress(index, kAdminPort), {"GET", "/status", {}, ""})
          .body);
}

PlatformCallers::PlatformCallers(const PlatformFleet& fleet,
                                 int callers,
                                 std::string method)
    : fleet_(fleet), method_(std::move(method)) {
  for (int i = 0; i < callers; ++i)
    threads_.emplace_back([this, i] { Run(i); });
}

PlatformCallers::~PlatformCallers() {
  Stop();
}

LoadCounts PlatformCallers::Stop() {
  stop_ = true;
  for (std::thread& thread : threads_)
    thread.join();
  threads_.clear();
  return counts_;
}

void PlatformCallers::Run(int caller) {
  constexpr std::chrono::milliseconds kThinkTime(15);
  constexpr std::chrono::seconds kLookupInterval(2);
  std::vector<Endpoint> addresses;
  std::map<Endpoint, std::unique_ptr<HttpConnection>> connections;
  auto looked_up_at = std::chrono::steady_clock::time_point();
  for (int number = 0; !stop_; ++number) {
    const auto now = std::chrono::steady_clock::now();
    if (addresses.empty() || now - looked_up_at > kLookupInterval) {
      for (int i = 0; i < fleet_.instances(); ++i) {
        addresses = fleet_.Lookup((caller + i) % fleet_.instances());
        if (!addresses.empty())
          break;
      }
      looked_up_at = now;
    }
    if (addresses.empty())
      continue;
    const Endpoint address =
        addresses[static_cast<size_t>(number) % addresses.size()];
    auto& connection = connections[address];
    const bool reused = connection != nullptr;
    if (!connection)
      connection = std::make_unique<HttpConnection>(address);
    const std::string id =
        "c" + std::to_string(caller) + "-" + std::to_string(number);
    const std::string path = method_ == "GET" ? "/work/x" : "/order/x";
    const ClientResponse response =
        connection->Call({method_, path, PlatformFleet::FieldsOf(id), ""});
    if (response.status == 0 || response.closes)
      connection.reset();
    if (response.status == 0)
      addresses.clear();
    OrderedLock lock(mutex_);
    if (response.status == 200) {
      ++counts_.answered;
    } else if (response.status == 503 || response.status == 429) {
      ++counts_.refused;
    } else if (response.status == 0 && reused) {
      counts_.unanswered_on_reuse.push_back(id);
    } else {
      ++counts_.failed;
      counts_.failures.push_back(id + " at " + ToString(address) +
                                 (reused ? " (kept)" : " (new)") + ": " +
                                 std::to_string(response.status));
    }
    std::this_thread::sleep_for(kThinkTime);
  }
}

}  // namespace mangodoor
