#include <tclap/CmdLine.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "bench/lib/byte_relay.h"
#include "bench/lib/http_load.h"
#include "bench/lib/measured_thread.h"
#include "connection/io/backend_connection_pool.h"
#include "connection/io/caller_listener.h"
#include "process/io/action_runner.h"
#include "process/servers/attempt_table.h"
#include "process/system_clock.h"
#include "process/tables.h"

namespace mangodoor {
namespace {

using Seconds = std::chrono::duration<double>;
using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr int kConnections = 8;

class NoPeers : public PeerTransport {
 public:
  void Send(const InstanceId&, const PeerMessage&) override {}
  std::vector<InstanceId> ConnectedPeers() const override { return {}; }
};

/** The data path of an instance before one backend server. */
class BenchInstance {
 public:
  BenchInstance(boost::asio::io_context& io, const Endpoint& server)
      : transport_(io),
        pool_(transport_, clock_, tables_.counters),
        listener_(io,
                  {"127.0.0.1", 0},
                  SessionContext{tables_, clock_, actions_, pool_, attempts_}) {
    Apply(server);
    listener_.Start();
  }

  Endpoint endpoint() const { return listener_.endpoint(); }

 private:
  void Apply(const Endpoint& server) {
    constexpr int kPlenty = 1000;
    Document document;
    document.version = 1;
    DataCentre site;
    site.id = DataCentreId("dc");
    site.entry_addresses = {endpoint()};
    document.data_centres = {site};
    Service service;
    service.id = ServiceId("s");
    service.cold_concurrency = kPlenty;
    BackendServer backend;
    backend.id = BackendServerId("b");
    backend.data_centre = site.id;
    backend.endpoint = server;
    backend.slots = kPlenty;
    service.servers = {backend};
    document.services = {service};
    Route route;
    route.path_prefix = "/open";
    route.service = service.id;
    route.open = true;
    document.routes = {route};
    const VersionPtr version = MakeVersion(std::move(document), "1", "");
    ApplyVersion(tables_.accounts, *version, endpoint(), clock_.Now());
    ApplyVersion(tables_.servers, *version, endpoint(), site.id, clock_.Now());
    ApplyCandidate(tables_.versions, version);
  }

  SystemClock clock_;
  Tables tables_;
  AttemptTable attempts_;
  NoPeers peers_;
  ActionRunner actions_{peers_, [](const ChosenServer&) {}};
  TcpBackendTransport transport_;
  BackendConnectionPool pool_;
  CallerListener listener_;
};

struct Record {
  std::string measure;
  std::string unit;
  double product = 0;
  double baseline = 0;
};

/** Requests and processor time of one side over all of its slices. */
struct Efficiency {
  size_t requests = 0;
  Duration cpu{};
  Duration time{};
  int errors = 0;

  double per_cpu_second() const {
    return static_cast<double>(requests) / Seconds(cpu).count();
  }
};

void AddSlice(Efficiency& side,
              MeasuredThread& thread,
              const Endpoint& target,
              Duration length) {
  const Duration before = thread.cpu_time();
  const LoadResult result = RunLoad({target, kConnections, length, {}});
  side.cpu += thread.cpu_time() - before;
  side.requests += result.latencies.size();
  side.time += length;
  side.errors += result.errors;
}

void AddLatencies(LoadResult& total, const LoadPlan& plan) {
  const LoadResult result = RunLoad(plan);
  total.errors += result.errors;
  total.latencies.insert(total.latencies.end(), result.latencies.begin(),
                         result.latencies.end());
}

std::vector<Record> Measure(Duration slice, int slices) {
  MeasuredThread server_thread;
  MeasuredThread relay_thread;
  MeasuredThread product_thread;
  PlainServer server(server_thread.io());
  ByteRelay relay(relay_thread.io(), server.endpoint());
  BenchInstance product(product_thread.io(), server.endpoint());
  // Connections, caches and the processor's clock settle first.
  RunLoad({product.endpoint(), kConnections, slice, {}});
  RunLoad({relay.endpoint(), kConnections, slice, {}});
  Efficiency own;
  Efficiency baseline;
  for (int i = 0; i < slices; ++i) {
    AddSlice(own, product_thread, product.endpoint(), slice);
    AddSlice(baseline, relay_thread, relay.endpoint(), slice);
  }
  const double saturation =
      static_cast<double>(own.requests) / Seconds(own.time).count();
  const auto spacing = std::chrono::duration_cast<Duration>(
      Seconds(2.0 * kConnections / saturation));
  LoadResult through;
  LoadResult direct;
  for (int i = 0; i < slices; ++i) {
    AddLatencies(through, {product.endpoint(), kConnections, slice, spacing});
    AddLatencies(direct, {server.endpoint(), kConnections, slice, spacing});
  }
  // The threads end before the objects that their handlers use.
  product_thread.Stop();
  relay_thread.Stop();
  server_thread.Stop();
  if (own.errors + baseline.errors + through.errors + direct.errors > 0)
    throw std::runtime_error("requests failed; the figures are void");
  std::vector<Record> records = {
      {"requests per CPU second", "1/s", own.per_cpu_second(),
       baseline.per_cpu_second()},
      {"saturation of one thread", "1/s", saturation,
       static_cast<double>(baseline.requests) /
           Seconds(baseline.time).count()}};
  for (const auto& [name, quantile] :
       {std::pair{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}}) {
    records.push_back(
        {std::string("latency ") + name, "ms",
         Milliseconds(Quantile(through.latencies, quantile)).count(),
         Milliseconds(Quantile(direct.latencies, quantile)).count()});
  }
  return records;
}

void Print(const std::vector<Record>& records) {
  std::printf("%-28s %-5s %12s %12s %8s %12s\n", "measure", "unit", "product",
              "baseline", "ratio", "difference");
  for (const Record& record : records) {
    std::printf("%-28s %-5s %12.3f %12.3f %8.3f %12.3f\n",
                record.measure.c_str(), record.unit.c_str(), record.product,
                record.baseline, record.product / record.baseline,
                record.product - record.baseline);
  }
}

void AppendRecords(const std::string& path,
                   const std::vector<Record>& records) {
  auto list = nlohmann::json::array();
  if (std::ifstream file(path); file)
    list = nlohmann::json::parse(file);
  for (const Record& record : records) {
    list.push_back({{"measure", "data path: " + record.measure},
                    {"unit", record.unit},
                    {"product", record.product},
                    {"baseline", record.baseline},
                    {"ratio", record.product / record.baseline}});
  }
  std::ofstream(path) << list.dump(2) << "\n";
}

}  // namespace
}  // namespace mangodoor

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command(
        "Measures the data path: requests per CPU second against a byte "
        "relay, and latency at half of saturation against a direct "
        "connection.",
        ' ', MANGODOOR_VERSION);
    TCLAP::ValueArg<std::string> json("j", "json", "List to append records to",
                                      false, "", "file", command);
    TCLAP::ValueArg<int> slice("", "slice-ms", "Length of one slice", false,
                               500, "ms", command);
    TCLAP::ValueArg<int> slices("", "slices", "Slices for each side", false, 6,
                                "count", command);
    command.parse(argc, argv);
    const auto records = mangodoor::Measure(
        std::chrono::milliseconds(slice.getValue()), slices.getValue());
    mangodoor::Print(records);
    if (!json.getValue().empty())
      mangodoor::AppendRecords(json.getValue(), records);
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return 1;
  }
}
