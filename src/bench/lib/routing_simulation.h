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
constexpr Duration kDeadline = seconds(10);
constexpr Duration kLate = seconds(1);
constexpr Duration kColdTime = seconds(3);
constexpr Duration kNoticeOfLeaving = seconds(3);
constexpr int kMostVersionDelayMs = 1000;
constexpr double kIdempotentShare = 0.8;
constexpr double kRetryShare = 0.2;
// Accounts stay a little below their rates, so a perfect bucket admits all.
constexpr double kRateMargin = 1.1;
inline const ServiceId service_id{"service"};
constexpr TimePoint kStart{std::chrono::hours(1)};

struct Call {
  int instance = 0;
  int account = 0;
  TimePoint arrived;
  bool idempotent = false;
  bool finished = false;
  /** Server and time of each attempt that has not been released. */
  std::vector<std::pair<int, TimePoint>> attempts;
};
using CallPtr = std::shared_ptr<Call>;

struct SimInstance {
  ServerPool pool;
  std::vector<int> outstanding;
  /** What baselines know of data centres. */
  bool first_centre_in = true;
  size_t next = 0;
  double hedge_tokens = 0;
};

struct SimEvent {
  TimePoint at;
  uint64_t order = 0;
  std::function<void()> run;
};
struct Later {
  bool operator()(const SimEvent& a, const SimEvent& b) const {
    return std::tie(a.at, a.order) > std::tie(b.at, b.order);
  }
};

/** One run of a SimConfig: events in the order of their times. */
class Simulation {
 public:
  explicit Simulation(const SimConfig& config);
  SimResult Run();

 private:
  bool IsProduct() const { return config_.policy >= Policy::kProduct; }
  void After(Duration delay, std::function<void()> run);
  double Uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }
  int Below(int count) { return static_cast<int>(random_() % count); }
  TimePoint At(Duration since_start) const { return kStart + since_start; }

  Document MakeDocument(bool first_centre_in) const;
  void PropagateVersion(bool first_centre_in);
  void PlanDataCentre();
  void Arrive(int account, double rate);
  bool Admit(int account, double rate);
  void Begin(int account);
  int ChooseBaseline(SimInstance& instance);
  void BeginProduct(const CallPtr& call);
  void Send(const CallPtr& call, int server);
  void PlanHedge(const CallPtr& call);
  void Hedge(const CallPtr& call);
  void Answer(const CallPtr& call, int server, TimePoint sent, ServerAnswer);
  void Release(const Call& call,
               int server,
               TimePoint sent,
               AttemptResult::End end);
  void Finish(Call& call, bool failed);
  void Tick(int instance);
  void Perform(int instance, const ServerActions& actions);
  Duration Work(int server);

  SimConfig config_;
  std::mt19937_64 random_;
  TimePoint now_ = kStart;
  uint64_t order_ = 0;
  uint64_t jobs_ = 0;
  uint64_t probes_ = 0;
  std::priority_queue<SimEvent, std::vector<SimEvent>, Later> events_;
  std::vector<SimInstance> instances_;
  std::vector<SimServer> servers_;
  std::vector<double> buckets_;
  std::vector<TimePoint> refilled_;
  Scheduler scheduler_;
  SimResult result_;
};

inline BackendServerId ServerName(int index) {
  return BackendServerId("s" + std::to_string(index));
}

inline int NumberOf(const BackendServerId& server) {
  return std::stoi(server.value().substr(1));
}

}  // namespace mangodoor::bench

#endif  // BENCH_LIB_ROUTING_SIMULATION_H_
