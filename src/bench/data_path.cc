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
#include "process/servers/retry_table.h"
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

/** The data path of an instance that has one backend server. */
class BenchInstance {
 public:
  BenchInstance(boost::asio::io_context& io, const Endpoint& server)
      : transport_(io),
        pool_(transport_, clock_, tables_.counters),
        listener_(
            io,
            {"127.0.0.1", 0},
            SessionContext{tables_, clock_, actions_, pool_, retry_table_}) {
    ApplyDocument(server);
    listener_.Start();
  }

  Endpoint endpoint() const { return listener_.endpoint(); }

 private:
  void ApplyDocument(const Endpoint& server) {
    constexpr int kAmpleConcurrency = 1000;
    Document document;
    document.version = 1;
    DataCentre data_centre;
    data_centre.id = DataCentreId("dc");
    data_centre.entry_addresses = {endpoint()};
    document.data_centres = {data_centre};
    Service service;
    service.id = ServiceId("s");
    service.cold_concurrency = kAmpleConcurrency;
    BackendServer backend;
    backend.id = BackendServerId("b");
    backend.data_centre = data_centre.id;
    backend.endpoint = server;
    backend.slots = kAmpleConcurrency;
    service.servers = {backend};
    document.services = {service};
    Route route;
    route.path_prefix = "/open";
    route.service = service.id;
    route.open = true;
    document.routes = {route};
    const VersionPtr version = MakeVersion(std::move(document), "1", "");
    ApplyVersion(tables_.accounts, *version, endpoint(), clock_.Now());
    ApplyVersion(tables_.servers, *version, endpoint(), data_centre.id,
                 clock_.Now());
    AdoptWithoutPlannedChanges(tables_.versions, version);
  }

  SystemClock clock_;
  Tables tables_;
  RetryTable retry_table_;
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

/** Requests and processor time of the product or the baseline in all slices. */
struct Efficiency {
  size_t requests = 0;
  Duration cpu{};
  Duration wall_time{};
  int errors = 0;

  double per_cpu_second() const {
    return static_cast<double>(requests) / Seconds(cpu).count();
  }
};

/** Measures `target`, whose work runs on `thread`, at full load. */
void AddSlice(Efficiency& efficiency,
              MeasuredThread& thread,
              const Endpoint& target,
              Duration duration) {
  const Duration before = thread.cpu_time();
  const LoadResult result = RunLoad({target, kConnections, duration, {}});
  efficiency.cpu += thread.cpu_time() - before;
  efficiency.requests += result.latencies.size();
  efficiency.wall_time += duration;
  efficiency.errors += result.errors;
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
  // Warm-up: the product opens its connections to the server, and caches and
  // the processor's clock frequency settle.
  RunLoad({product.endpoint(), kConnections, slice, {}});
  RunLoad({relay.endpoint(), kConnections, slice, {}});
  Efficiency product_efficiency;
  Efficiency baseline_efficiency;
  for (int i = 0; i < slices; ++i) {
    AddSlice(product_efficiency, product_thread, product.endpoint(), slice);
    AddSlice(baseline_efficiency, relay_thread, relay.endpoint(), slice);
  }
  const double saturation = static_cast<double>(product_efficiency.requests) /
                            Seconds(product_efficiency.wall_time).count();
  const auto interval = std::chrono::duration_cast<Duration>(
      Seconds(2.0 * kConnections / saturation));
  LoadResult through_product;
  LoadResult direct;
  for (int i = 0; i < slices; ++i) {
    AddLatencies(through_product,
                 {product.endpoint(), kConnections, slice, interval});
    AddLatencies(direct, {server.endpoint(), kConnections, slice, interval});
  }
  // The threads have to stop before the objects that their handlers use are
  // destroyed.
  product_thread.Stop();
  relay_thread.Stop();
  server_thread.Stop();
  if (product_efficiency.errors + baseline_efficiency.errors +
          through_product.errors + direct.errors >
      0)
    throw std::runtime_error("requests failed, so the figures are invalid");
  std::vector<Record> records = {
      {"requests per CPU second", "1/s", product_efficiency.per_cpu_second(),
       baseline_efficiency.per_cpu_second()},
      {"saturation of one thread", "1/s", saturation,
       static_cast<double>(baseline_efficiency.requests) /
           Seconds(baseline_efficiency.wall_time).count()}};
  for (const auto& [name, quantile] :
       {std::pair{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}}) {
    records.push_back(
        {std::string("latency ") + name, "ms",
         Milliseconds(Quantile(through_product.latencies, quantile)).count(),
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
    TCLAP::ValueArg<std::string> json("j", "json",
                                      "JSON file to append records to", false,
                                      "", "file", command);
    TCLAP::ValueArg<int> slice("", "slice-ms", "Length of one slice", false,
                               500, "ms", command);
    TCLAP::ValueArg<int> slices("", "slices",
                                "Slices for the product and for the baseline",
                                false, 6, "count", command);
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
