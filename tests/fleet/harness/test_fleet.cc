#include "fleet/harness/test_fleet.h"

#include <signal.h>
#include <unistd.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "version/io/digest.h"

namespace mangodoor {
namespace {

using Json = nlohmann::json;
namespace fs = std::filesystem;

constexpr std::chrono::milliseconds kPollInterval(20);

// Groups of addresses: the third byte within the test's /16 of the loopback
// network. Each instance has a group for its relays to peers.
constexpr int kInstanceGroup = 1;
constexpr int kServerGroup = 2;
constexpr int kPlatformGroup = 3;
constexpr int kConfigurationRelayGroup = 4;
constexpr int kFirstPeerRelayGroup = 10;

constexpr uint16_t kCallerPort = 8100;
constexpr uint16_t kPeerPort = 8200;
constexpr uint16_t kAdminPort = 8300;
constexpr uint16_t kServerPort = 9000;
constexpr uint16_t kConfigurationPort = 7100;
constexpr uint16_t kInstanceListPort = 7200;

}  // namespace

bool WaitFor(const std::function<bool()>& condition,
             std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end)
      return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

TestFleet::TestFleet(const FleetPlan& plan) : plan_(plan) {
  folder_ = (fs::temp_directory_path() /
             ("mangodoor-fleet-" + std::to_string(getpid())))
                .string();
  fs::create_directories(folder_);
  instances_.resize(plan_.instances);
  servers_.resize(static_cast<size_t>(plan_.data_centres) *
                  plan_.servers_per_data_centre);
  for (int from = 0; plan_.relays && from < plan_.instances; ++from) {
    for (int to = 0; to < plan_.instances; ++to) {
      if (from != to)
        peer_relays_[{from, to}] = std::make_unique<FaultRelay>(
            peer_relay_endpoint(from, to), peer_endpoint(to));
    }
  }
  StartPlatform();
  for (int i = 0; i < server_count(); ++i)
    StartServer(i);
  for (int i = 0; i < plan_.instances; ++i)
    StartInstance(i);
}

TestFleet::~TestFleet() {
  instances_.clear();
  servers_.clear();
  instance_lists_.clear();
  configuration_service_.reset();
  if (!std::getenv("MANGODOOR_KEEP_LOGS"))
    fs::remove_all(folder_);
}

void TestFleet::StartPlatform() {
  version = 1;
  const std::string document = WriteFile("document.json", Document());
  const Endpoint service{Host(kPlatformGroup, 0), kConfigurationPort};
  configuration_service_ = std::make_unique<ChildProcess>(
      std::vector<std::string>{Program("standin-configuration"), "-l",
                               ToString(service), "-d", document},
      folder_ + "/configuration.log");
  for (int i = 0; i < plan_.instances; ++i) {
    if (plan_.relays) {
      configuration_relays_.push_back(std::make_unique<FaultRelay>(
          Endpoint{Host(kConfigurationRelayGroup, i), kConfigurationPort},
          service));
    }
    const std::string list =
        WriteFile("list-" + std::to_string(i) + ".json", InstanceListFor(i));
    instance_lists_.push_back(std::make_unique<ChildProcess>(
        std::vector<std::string>{
            Program("standin-instances"), "-l",
            ToString({Host(kPlatformGroup, i + 1), kInstanceListPort}), "-d",
            list},
        folder_ + "/list-" + std::to_string(i) + ".log"));
  }
}

void TestFleet::StartServer(int index) {
  std::vector<std::string> arguments = {Program("standin-backend"), "-l",
                                        ToString(server_endpoint(index))};
  arguments.insert(arguments.end(), plan_.server_arguments.begin(),
                   plan_.server_arguments.end());
  servers_[index] = std::make_unique<ChildProcess>(
      arguments, folder_ + "/server-" + std::to_string(index) + ".log");
}

void TestFleet::RestartServer(int index) {
  servers_[index].reset();
  StartServer(index);
}

void TestFleet::StartInstance(int instance) {
  const std::string name = "instance-" + std::to_string(instance);
  const std::string settings = WriteFile(name + ".json", SettingsFor(instance));
  instances_[instance] = std::make_unique<ChildProcess>(
      std::vector<std::string>{Program("mangodoor-instance"), "-s", settings},
      folder_ + "/" + name + ".log");
}

void TestFleet::KillInstance(int instance) {
  instances_[instance].reset();
}

bool TestFleet::WaitUntilReady(std::chrono::milliseconds timeout) {
  return WaitFor(
      [this] {
        for (int i = 0; i < plan_.instances; ++i) {
          if (CallOnce(admin_endpoint(i), {"GET", "/readyz", {}, ""}).status !=
              200)
            return false;
        }
        return true;
      },
      timeout);
}

Endpoint TestFleet::caller_endpoint(int instance) const {
  return {Host(kInstanceGroup, instance), kCallerPort};
}

Endpoint TestFleet::admin_endpoint(int instance) const {
  return {Host(kInstanceGroup, instance), kAdminPort};
}

Endpoint TestFleet::peer_endpoint(int instance) const {
  return {Host(kInstanceGroup, instance), kPeerPort};
}

Endpoint TestFleet::peer_relay_endpoint(int from, int to) const {
  return {Host(kFirstPeerRelayGroup + from, to), kPeerPort};
}

Endpoint TestFleet::server_endpoint(int server) const {
  return {Host(kServerGroup, server), kServerPort};
}

void TestFleet::CutPeers(const std::vector<int>& group) {
  const auto inside = [&group](int instance) {
    return std::find(group.begin(), group.end(), instance) != group.end();
  };
  for (auto& [pair, relay] : peer_relays_) {
    if (inside(pair.first) != inside(pair.second))
      relay->Cut();
  }
}

void TestFleet::HealPeers() {
  for (auto& [pair, relay] : peer_relays_)
    relay->Heal();
}

void TestFleet::CutConfiguration(int instance) {
  configuration_relays_[instance]->Cut();
}

void TestFleet::HealConfiguration(int instance) {
  configuration_relays_[instance]->Heal();
}

void TestFleet::Publish() {
  ++version;
  CallOnce({Host(kPlatformGroup, 0), kConfigurationPort},
           {"PUT", "/standin/document", {}, Document()});
}

ClientResponse TestFleet::Call(int instance,
                               const std::string& method,
                               const std::string& target,
                               const std::string& request_id) {
  ClientRequest request{method, target, {{"X-Api-Key", kKey}}, ""};
  if (!request_id.empty())
    request.fields["X-Request-Id"] = request_id;
  return CallOnce(caller_endpoint(instance), request);
}

double TestFleet::ReadNumber(const Endpoint& endpoint,
                             const std::string& target,
                             const std::string& json_pointer) {
  const ClientResponse response = CallOnce(endpoint, {"GET", target, {}, ""});
  const Json json = Json::parse(response.body, nullptr, false);
  if (response.status != 200 || json.is_discarded())
    return -1;
  const Json::json_pointer pointer(json_pointer);
  if (!json.contains(pointer) || !json.at(pointer).is_number())
    return -1;
  return json.at(pointer);
}

double TestFleet::ReadMetric(const Endpoint& admin, const std::string& name) {
  const std::string text =
      "\n" + CallOnce(admin, {"GET", "/metrics", {}, ""}).body;
  const size_t line = text.find("\n" + name + " ");
  if (line == std::string::npos)
    return -1;
  return std::stod(text.substr(line + name.size() + 2));
}

void TestFleet::ControlServer(int server, const std::string& target) {
  CallOnce(server_endpoint(server), {"POST", target, {}, ""});
}

std::string TestFleet::Document() const {
  Json data_centres = Json::array();
  for (int i = 0; i < plan_.data_centres; ++i)
    data_centres.push_back({{"id", "dc" + std::to_string(i)},
                            {"region", "test"},
                            {"in_service", !(data_centre_out && i == 0)},
                            {"entry_addresses", Json::array()}});
  for (int i = 0; i < plan_.instances; ++i)
    data_centres[i % plan_.data_centres]["entry_addresses"].push_back(
        ToString(caller_endpoint(i)));
  Json servers = Json::array();
  for (int i = 0; i < server_count(); ++i)
    servers.push_back(
        {{"id", "s" + std::to_string(i)},
         {"data_centre", "dc" + std::to_string(i % plan_.data_centres)},
         {"endpoint", ToString(server_endpoint(i))},
         {"mode", i == drained_server ? "draining" : "active"}});
  Json keys = {
      {{"digest", Sha256Hex("another key")}, {"client_account", "account"}}};
  if (!key_withdrawn)
    keys.push_back(
        {{"digest", Sha256Hex(kKey)}, {"client_account", "account"}});
  const Json document = {
      {"version", version},
      {"data_centres", data_centres},
      {"services",
       {{{"id", "work"},
         {"servers", servers},
         {"cold_concurrency", plan_.cold_concurrency},
         {"ramp_ms", 200},
         {"probe_budget_per_s", plan_.probe_budget_per_s}}}},
      {"routes",
       {{{"path_prefix", "/work"}, {"service", "work"}},
        {{"path_prefix", "/open"}, {"service", "work"}, {"open", true}}}},
      {"client_accounts",
       {{{"id", "account"},
         {"rate_per_s", plan_.rate_per_s},
         {"burst", plan_.burst}}}},
      {"keys", keys}};
  return document.dump(1);
}

std::string TestFleet::InstanceListFor(int instance) const {
  Json instances = Json::array();
  for (int i = 0; i < plan_.instances; ++i)
    instances.push_back(
        {{"id", "i" + std::to_string(i)},
         {"data_centre", "dc" + std::to_string(i % plan_.data_centres)},
         {"caller", ToString(caller_endpoint(i))},
         {"peer", ToString(plan_.relays && i != instance
                               ? peer_relay_endpoint(instance, i)
                               : peer_endpoint(i))},
         {"state", "live"}});
  return Json({{"revision", 1}, {"instances", instances}}).dump(1);
}

std::string TestFleet::SettingsFor(int instance) const {
  return Json(
             {{"id", "i" + std::to_string(instance)},
              {"data_centre",
               "dc" + std::to_string(instance % plan_.data_centres)},
              {"caller", ToString(caller_endpoint(instance))},
              {"peer", ToString(peer_endpoint(instance))},
              {"admin", ToString(admin_endpoint(instance))},
              {"configuration_service",
               ToString({plan_.relays ? Host(kConfigurationRelayGroup, instance)
                                      : Host(kPlatformGroup, 0),
                         kConfigurationPort})},
              {"instance_list", ToString({Host(kPlatformGroup, instance + 1),
                                          kInstanceListPort})},
              {"fleet_secret", "a secret for tests only"}})
      .dump(1);
}

std::string TestFleet::WriteFile(const std::string& name,
                                 const std::string& text) const {
  std::string path = folder_ + "/" + name;
  std::ofstream(path) << text;
  return path;
}

std::string TestFleet::Program(const std::string& name) const {
  return BinaryFolder() + "/" + name;
}

std::string TestFleet::Host(int group, int index) const {
  return network_.Host(group, index);
}

}  // namespace mangodoor
