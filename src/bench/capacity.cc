#include <tclap/CmdLine.h>
#include <unistd.h>

#include <iostream>
#include <thread>

#include "bench/lib/process_usage.h"
#include "bench/lib/sample_document.h"
#include "bench/lib/slope.h"
#include "fleet/harness/test_fleet.h"
#include "process/accounts/account_table.h"
#include "process/peers/io/peer_codec.h"
#include "process/servers/server_table.h"
#include "version/io/document_codec.h"

namespace mangodoor {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::duration;

constexpr int kRepeats = 5;
constexpr std::chrono::seconds kFleetWindow(5);

/**
 * Returns the shortest of several runs, which other load on the machine
 * affects least.
 */
template <typename Work>
double MeasureMicroseconds(Work work) {
  double best = 1e18;
  for (int i = 0; i < kRepeats; ++i) {
    const auto start = Clock::now();
    work();
    best = std::min(best,
                    duration<double, std::micro>(Clock::now() - start).count());
  }
  return best;
}

void Print(const MeasuredSlope& measured) {
  std::cout << MarkdownRow(measured) << "\n" << std::flush;
}

DocumentSize SizeWithServers(int servers) {
  DocumentSize size = TargetSize();
  size.servers = servers;
  size.services = std::max(1, servers / 33);
  size.client_accounts = 8;
  size.keys = 16;
  size.entry_addresses = 18;
  return size;
}

void MeasureDocument() {
  MeasuredSlope text{"document text", "backend servers", "byte", {}};
  MeasuredSlope decode{
      "decode and check a document", "backend servers", "µs", {}};
  MeasuredSlope apply{
      "apply a version to the server table", "backend servers", "µs", {}};
  MeasuredSlope memory{"memory of a version", "backend servers", "byte", {}};
  MeasuredSlope table_memory{
      "memory of the server table", "backend servers", "byte", {}};
  for (const int servers : {40, 500, 1500, 3000, 5300}) {
    const double x = servers;
    const std::string document = SampleDocument(SizeWithServers(servers));
    text.points.push_back({x, static_cast<double>(document.size())});
    decode.points.push_back(
        {x, MeasureMicroseconds([&] { DecodeVersion(document); })});
    const size_t before = HeapBytes();
    const VersionPtr version = DecodeVersion(document);
    const size_t with_version = HeapBytes();
    memory.points.push_back({x, static_cast<double>(with_version - before)});
    auto table = std::make_unique<ServerTable>();
    const Endpoint self = version->entry_addresses.front();
    const DataCentreId own("dc-0");
    ApplyVersion(*table, *version, self, own, Clock::now());
    table_memory.points.push_back(
        {x, static_cast<double>(HeapBytes() - with_version)});
    apply.points.push_back({x, MeasureMicroseconds([&] {
                              ApplyVersion(*table, *version, self, own,
                                           Clock::now());
                            })});
  }
  for (const auto* measured : {&text, &decode, &apply, &memory, &table_memory})
    Print(*measured);
}

void MeasureAccounts() {
  MeasuredSlope text{
      "document text, 3 keys each", "client accounts", "byte", {}};
  MeasuredSlope memory{
      "memory of the account table", "client accounts", "byte", {}};
  MeasuredSlope tick{
      "tick of the account table, idle", "client accounts", "µs", {}};
  MeasuredSlope heartbeat{
      "heartbeat with spare shares", "client accounts", "byte", {}};
  for (const int accounts : {8, 100, 400, 1000}) {
    const double x = accounts;
    DocumentSize size;
    size.client_accounts = accounts;
    size.keys = accounts * 3;
    const std::string document = SampleDocument(size);
    text.points.push_back({x, static_cast<double>(document.size())});
    const VersionPtr version = DecodeVersion(document);
    auto table = std::make_unique<AccountTable>();
    const size_t before = HeapBytes();
    TimePoint now{std::chrono::hours(1)};
    ApplyVersion(*table, *version, version->entry_addresses.front(), now);
    memory.points.push_back({x, static_cast<double>(HeapBytes() - before)});
    // Advances by 12 s: without confirmation by a peer, a process has no share
    // and adds no tokens in the first 10 s (kShareOverlap).
    for (int i = 0; i < 1200; ++i)
      TickAccounts(*table, now += std::chrono::milliseconds(10));
    tick.points.push_back({x, MeasureMicroseconds([&] {
                             TickAccounts(*table,
                                          now += std::chrono::milliseconds(10));
                           })});
    Heartbeat message;
    message.digest = version->digest;
    message.spare = ListSpareTokens(*table, now);
    heartbeat.points.push_back(
        {x, static_cast<double>(EncodePeerMessage(message).size())});
  }
  for (const auto* measured : {&text, &memory, &tick, &heartbeat})
    Print(*measured);
}

void MeasureServerTable() {
  MeasuredSlope tick{
      "tick of the server table, idle", "backend servers", "µs", {}};
  MeasuredSlope choice{
      "choose and release a backend server", "backend servers", "µs", {}};
  for (const int servers : {40, 500, 1500, 5300}) {
    const VersionPtr version =
        DecodeVersion(SampleDocument(SizeWithServers(servers)));
    auto table = std::make_unique<ServerTable>();
    TimePoint now{std::chrono::hours(1)};
    ApplyVersion(*table, *version, version->entry_addresses.front(),
                 DataCentreId("dc-0"), now);
    std::vector<ServerReport> reports;
    for (const Service& service : version->document.services) {
      for (const BackendServer& server : service.servers)
        reports.push_back({server.id, ServerState::kWarm, 0, {}, {}});
    }
    HandleServerReports(*table, reports, now);
    for (int i = 0; i < 2000; ++i)
      TickServers(*table, now += std::chrono::milliseconds(10));
    tick.points.push_back(
        {static_cast<double>(servers), MeasureMicroseconds([&] {
           TickServers(*table, now += std::chrono::milliseconds(10));
         })});
    constexpr int kRequests = 2000;
    uint64_t random = 88172645463325252ULL;
    const double total = MeasureMicroseconds([&] {
      for (int i = 0; i < kRequests; ++i) {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        now += std::chrono::microseconds(50);
        const Service& service =
            version->document.services[i % version->document.services.size()];
        const ServerRequirements requirements{service.id,
                                              ClientAccountId("account-0"),
                                              now + std::chrono::seconds(1),
                                              {}};
        const ServerReply reply =
            AcquireServer(*table, requirements, now, random, [](auto) {});
        if (reply.state != ServerReply::State::kChosen)
          continue;
        AttemptResult result;
        result.end = AttemptResult::End::kAnswered;
        result.latency = std::chrono::milliseconds(5);
        result.reported_in_flight = 1;
        ReleaseServer(*table, reply.chosen.server, result, now);
      }
    });
    choice.points.push_back({static_cast<double>(servers), total / kRequests});
  }
  Print(tick);
  Print(choice);
}

void MeasureMessages() {
  MeasuredSlope bytes{"server_reports message", "reports", "byte", {}};
  MeasuredSlope cpu{"encode and decode server_reports", "reports", "µs", {}};
  for (const int count : {1, 10, 100, 500}) {
    ServerReports message;
    for (int i = 0; i < count; ++i)
      message.reports.push_back(
          {BackendServerId("server-" + std::to_string(i)), ServerState::kWarm,
           2, std::chrono::milliseconds(120), InstanceId("instance-17")});
    const std::string frame = EncodePeerMessage(message);
    bytes.points.push_back(
        {static_cast<double>(count), static_cast<double>(frame.size())});
    cpu.points.push_back({static_cast<double>(count), MeasureMicroseconds([&] {
                            DecodePeerMessage(EncodePeerMessage(message));
                          })});
  }
  Print(bytes);
  Print(cpu);
}

struct FleetUsage {
  double cpu_percent = 0;
  double resident_bytes = 0;
  double peer_bytes_per_s = 0;
};

double PeerBytes(const TestFleet& fleet, int instance) {
  return TestFleet::ReadMetric(fleet.admin_endpoint(instance),
                               "mangodoor_peer_bytes_sent_total") +
         TestFleet::ReadMetric(fleet.admin_endpoint(instance),
                               "mangodoor_peer_bytes_received_total");
}

FleetUsage MeasureIdleFleet(int instances) {
  FleetPlan plan;
  plan.instances = instances;
  plan.data_centres = 4;
  plan.relays = false;
  plan.probe_budget_per_s = 1;
  TestFleet fleet(plan);
  if (!fleet.WaitUntilReady(std::chrono::seconds(30)))
    throw std::runtime_error("a fleet of " + std::to_string(instances) +
                             " instances did not become ready");
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const pid_t pid = fleet.instance(0).pid();
  const auto cpu = CpuTime(pid);
  const double bytes = PeerBytes(fleet, 0);
  std::this_thread::sleep_for(kFleetWindow);
  FleetUsage usage;
  usage.cpu_percent = 100 * duration<double>(CpuTime(pid) - cpu) /
                      duration<double>(kFleetWindow);
  usage.peer_bytes_per_s = (PeerBytes(fleet, 0) - bytes) / kFleetWindow.count();
  usage.resident_bytes = static_cast<double>(ResidentBytes(pid));
  return usage;
}

void MeasureFleet() {
  MeasuredSlope cpu{
      "processor time of an idle instance", "instances", "% of a core", {}};
  MeasuredSlope memory{
      "resident memory of an idle instance", "instances", "byte", {}};
  MeasuredSlope bytes{"messages between instances, sent and received",
                      "instances",
                      "byte/s",
                      {}};
  for (const int instances : {3, 9, 17, 25, 33}) {
    const FleetUsage usage = MeasureIdleFleet(instances);
    const double x = instances;
    cpu.points.push_back({x, usage.cpu_percent});
    memory.points.push_back({x, usage.resident_bytes});
    bytes.points.push_back({x, usage.peer_bytes_per_s});
  }
  for (const auto* measured : {&cpu, &memory, &bytes})
    Print(*measured);
}

/** Measures the time from publishing a version until all instances have it. */
void MeasurePropagation() {
  MeasuredSlope propagation{
      "new version in force everywhere", "instances", "ms", {}};
  for (const int instances : {3, 9, 17, 33}) {
    FleetPlan plan;
    plan.instances = instances;
    plan.data_centres = 4;
    plan.relays = false;
    TestFleet fleet(plan);
    if (!fleet.WaitUntilReady(std::chrono::seconds(30)))
      throw std::runtime_error("the fleet did not become ready");
    const auto start = Clock::now();
    fleet.Publish();
    for (int i = 0; i < instances; ++i) {
      WaitFor(
          [&] {
            return TestFleet::ReadNumber(fleet.admin_endpoint(i), "/status",
                                         "/version") ==
                   static_cast<double>(fleet.version);
          },
          std::chrono::seconds(10));
    }
    propagation.points.push_back(
        {static_cast<double>(instances),
         duration<double, std::milli>(Clock::now() - start).count()});
  }
  Print(propagation);
}

void MeasureConnections() {
  MeasuredSlope memory{
      "resident memory", "open caller connections", "byte", {}};
  FleetPlan plan;
  plan.instances = 1;
  plan.data_centres = 1;
  TestFleet fleet(plan);
  if (!fleet.WaitUntilReady(std::chrono::seconds(30)))
    throw std::runtime_error("the instance did not become ready");
  std::vector<std::unique_ptr<HttpConnection>> connections;
  const ClientRequest request{
      "GET", "/work/x", {{"X-Api-Key", TestFleet::kKey}}, ""};
  for (const int count : {1, 100, 400, 800}) {
    while (static_cast<int>(connections.size()) < count) {
      connections.push_back(
          std::make_unique<HttpConnection>(fleet.caller_endpoint(0)));
      connections.back()->Call(request);
    }
    memory.points.push_back(
        {static_cast<double>(count),
         static_cast<double>(ResidentBytes(fleet.instance(0).pid()))});
  }
  Print(memory);
}

}  // namespace
}  // namespace mangodoor

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command(
        "Measures the slopes of docs/CAPACITY.md and prints them as the rows "
        "of a Markdown table.",
        ' ', MANGODOOR_VERSION);
    command.parse(argc, argv);
    mangodoor::MeasureDocument();
    mangodoor::MeasureAccounts();
    mangodoor::MeasureServerTable();
    mangodoor::MeasureMessages();
    mangodoor::MeasureConnections();
    mangodoor::MeasureFleet();
    mangodoor::MeasurePropagation();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return 1;
  }
}
