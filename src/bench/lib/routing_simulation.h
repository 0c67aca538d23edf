#ifndef BENCH_LIB_ROUTING_SIMULATION_H_
#define BENCH_LIB_ROUTING_SIMULATION_H_

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "bench/lib/routing_server.h"
#include "bench/lib/routing_sim.h"

namespace mangodoor::bench {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kAccounts = 8;
constexpr int kLargeAccounts = 2;
constexpr Duration kTick = milliseconds(10);
constexpr Duration kRequestTimeout = seconds(10);
constexpr Duration kLateThreshold = seconds(1);
/** How long servers are cold after an outage. */
constexpr Duration kColdTime = seconds(3);
/** Time from taking a data centre out of service until its servers stop. */
constexpr Duration kOutageNotice = seconds(3);
constexpr int kMaxVersionDelayMs = 1000;
constexpr double kIdempotentShare = 0.8;
/** Hedges allowed, as a share of the requests. */
constexpr double kHedgeShare = 0.2;
// Rate of a client account as a multiple of its normal load. The margin lets a
// token bucket admit all requests of an account that keeps to its rate.
constexpr double kRateFactor = 1.1;
inline const ServiceId service_id{"service"};
constexpr TimePoint kStart{std::chrono::hours(1)};

struct SimRequest {
  int instance = 0;
  int account = 0;
  TimePoint arrived;
  bool idempotent = false;
  bool finished = false;
  /** Server and start time of each attempt that has not been released. */
  std::vector<std::pair<int, TimePoint>> attempts;
};
using SimRequestPtr = std::shared_ptr<SimRequest>;

struct SimInstance {
  ServerPool pool;
  /** Outstanding requests by server; only for the baseline policies. */
  std::vector<int> outstanding;
  /** Whether the baseline policies use the first data centre. */
  bool first_data_centre_in_service = true;
  /** Only for round robin; 0 before the first request. */
  size_t next_server = 0;
  double hedge_tokens = 0;
};

struct SimEvent {
  TimePoint at;
  /** Events of the same time run in this order. */
  uint64_t order = 0;
  std::function<void()> run;
};
struct IsLater {
  bool operator()(const SimEvent& a, const SimEvent& b) const {
    return std::tie(a.at, a.order) > std::tie(b.at, b.order);
  }
};

/** Discrete-event simulation of a SimConfig. */
class Simulation {
 public:
  explicit Simulation(const SimConfig& config);
  SimResult Run();

 private:
  bool IsProduct() const { return config_.policy >= Policy::kProduct; }
  void ScheduleAfter(Duration delay, std::function<void()> run);
  double RandomFraction() {
    return std::uniform_real_distribution<>(0, 1)(random_);
  }
  int RandomBelow(int count) { return static_cast<int>(random_() % count); }
  TimePoint TimeAt(Duration since_start) const { return kStart + since_start; }

  Document MakeDocument(bool first_data_centre_in_service) const;
  void PropagateVersion(bool first_data_centre_in_service);
  void ScheduleDataCentreOutage();
  void ScheduleArrival(int account, double rate);
  bool Admit(int account, double rate);
  void BeginRequest(int account);
  int ChooseBaseline(SimInstance& instance);
  void BeginProductRequest(const SimRequestPtr& request);
  void SendAttempt(const SimRequestPtr& request, int server);
  void ScheduleHedge(const SimRequestPtr& request);
  void SendHedge(const SimRequestPtr& request);
  void HandleResponse(const SimRequestPtr& request,
                      int server,
                      TimePoint sent,
                      JobResult);
  void ReleaseAttempt(const SimRequest& request,
                      int server,
                      TimePoint sent,
                      AttemptResult::End end);
  void FinishRequest(SimRequest& request, bool failed);
  void Tick(int instance);
  void PerformActions(int instance, const ServerActions& actions);
  Duration SampleServiceTime(int server);

  SimConfig config_;
  std::mt19937_64 random_;
  TimePoint now_ = kStart;
  uint64_t last_order_ = 0;
  uint64_t last_job_id_ = 0;
  uint64_t probes_ = 0;
  std::priority_queue<SimEvent, std::vector<SimEvent>, IsLater> events_;
  std::vector<SimInstance> instances_;
  std::vector<SimServer> servers_;
  std::vector<double> tokens_;
  std::vector<TimePoint> refilled_at_;
  Scheduler scheduler_;
  SimResult result_;
};

inline BackendServerId ServerName(int index) {
  return BackendServerId("s" + std::to_string(index));
}

inline int ServerIndex(const BackendServerId& server) {
  return std::stoi(server.value().substr(1));
}

}  // namespace mangodoor::bench

#endif  // BENCH_LIB_ROUTING_SIMULATION_H_
