#ifndef TESTS_MEMBERS_COLD_FLEET_SIM_H_
#define TESTS_MEMBERS_COLD_FLEET_SIM_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "members/fleet_sim.h"
#include "process/servers/server_pool.h"

namespace mangodoor {

/** Requests a second that a cold server of the simulation can handle. */
constexpr double kColdRatePerS = 3.2;

/** Requests that a cold server may get in any second from all instances. */
constexpr double kMaxColdRequestsPerSecond = kColdRatePerS * 1.5 + 8;

/** A request that a cold server received. */
struct ColdRequest {
  TimePoint at{};
  int instance = 0;
};

/** The second in which a server got the most requests while it was cold. */
struct BusiestSecond {
  int server = 0;
  size_t requests = 0;
  /** Number of instances that sent them. */
  size_t senders = 0;
  /** Sum of the shares that all instances used for this server then. */
  double shares = 0;
  /** Start of that second, and of the cold phase that it is in. */
  TimePoint from{};
  TimePoint phase_from{};
};

std::string Describe(const BusiestSecond& second, TimePoint start);

/** A backend server, the only one of its service. */
struct SimServer {
  /** As last written to the store. */
  ServerRecord record;
  TimePoint cold_from{};
  TimePoint cold_until{};
  /** When each running request will be answered. */
  std::deque<TimePoint> running_until;
  /** Requests received in the last second of the cold phase. */
  std::deque<ColdRequest> recent;
  /** All requests received during cold phases. */
  size_t cold_requests = 0;
};

/** A request that an instance has sent. */
struct SimRequest {
  ChosenServer chosen;
  TimePoint sent_at{};
};

/** What one running instance of FleetSim knows of the servers. */
struct ServingInstance {
  ServerPool pool;
  std::deque<SimRequest> running;
  /** Records of the store on their way to this instance, by arrival. */
  std::multimap<TimePoint, ServerRecord> arriving_records;
  uint64_t random = 0;
};

/** How fast instances of a ColdFleetSim learn of each other. */
struct ColdFleetTiming {
  Duration connect_time = std::chrono::milliseconds(100);
  Duration max_message_delay = std::chrono::milliseconds(40);
};

/**
 * Simulates a fleet whose callers keep requesting every service, so that each
 * instance sends to a cold server whenever it may. Instances that are cut off
 * from their peers still have callers, and reach the servers and the store.
 */
class ColdFleetSim {
 public:
  /** `requests_per_s` has the rate of all callers of each data centre. */
  ColdFleetSim(const std::vector<SimDataCentre>& data_centres,
               std::vector<double> requests_per_s,
               int seeds,
               const ColdFleetTiming& timing,
               uint64_t seed);

  /**
   * For cuts, groups, delays, pauses and planned stops; for starts and kills
   * use Start() and Kill() of this object.
   */
  FleetSim& fleet() { return fleet_; }

  /** Adds a warm server with a service of its own; returns its number. */
  int AddServer(const DataCentreId& data_centre);
  void Start(int index);
  void Kill(int index);
  /** Makes a server cold, as it would be after a restart. */
  void TurnCold(int server, Duration duration);
  /** Stops all requests for the servers, or lets callers keep trying again. */
  void SetDemand(bool demand) { demand_ = demand; }
  /** Sets the rate of all callers of a data centre, by its number. */
  void SetCallerRate(size_t data_centre, double requests_per_s);
  void RunFor(Duration duration);

  int servers() const { return static_cast<int>(servers_.size()); }
  bool IsServerCold(int server) const;
  size_t ColdRequestsOf(int server) const;
  const BusiestSecond& busiest_second() const { return busiest_second_; }
  TimePoint now() const { return now_; }

 private:
  void SpreadCallers();
  void UpdateShares(int index);
  double SumOfShares(const DataCentreId& data_centre) const;
  void ReadRecordsAfterStart(ServingInstance& instance);
  void SendRecord(ServingInstance& instance, const ServerRecord& record);
  void ReceiveRecords(ServingInstance& instance);
  void Serve();
  void EndRequests(ServingInstance& instance);
  bool BelievesCold(int index, int server);
  bool WasTold(int index, int server);
  bool HasDemand(int index, int server);
  bool SendOne(int index, int server);
  std::optional<ChosenServer> Acquire(ServingInstance& instance,
                                      const ServiceId& service);
  void Run(ServingInstance& instance, const ServerActions& actions);
  ServerLoad LoadOf(SimServer& server) const;
  void Receive(int server, int index);
  SimServer& ServerOf(const BackendServerId& id);
  Duration RandomUpTo(Duration max);

  FleetSim fleet_;
  std::vector<double> requests_per_s_;
  std::vector<SimServer> servers_;
  /** By index; null while the process does not run. */
  std::vector<std::unique_ptr<ServingInstance>> instances_;
  VersionPtr version_;
  std::mt19937_64 random_;
  bool demand_ = true;
  TimePoint now_{};
  BusiestSecond busiest_second_;
};

}  // namespace mangodoor

#endif  // TESTS_MEMBERS_COLD_FLEET_SIM_H_
