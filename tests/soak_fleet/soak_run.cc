#include "soak_fleet/soak_run.h"

#include <signal.h>

#include <algorithm>

#include "fleet/harness/test_fleet.h"
#include "soak_fleet/soak_caller.h"
#include "standins/lib/run_log.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kStartTimeout(10);
// Bounds that the users require.
constexpr seconds kRecoveryBound(15);
constexpr seconds kStopBound(6);
// What a cold server may get in one second from all instances together, once
// they must know that it is cold.
constexpr double kColdRatePerS = 3.2;
constexpr double kMaxColdRequestsPerSecond = kColdRatePerS * 1.5 + 8;
constexpr seconds kColdNewsBound(2);

constexpr milliseconds kThinkTime(20);
constexpr milliseconds kVersionCheckInterval(200);
constexpr milliseconds kRequestTimeout(3000);
constexpr seconds kClearFaultsTimeout(5);
// Together more than an instance accepts in one answer of the store.
constexpr int kLargeVersions = 14;
constexpr int kFillerRoutes = 3000;
constexpr milliseconds kTick(20);
// From the time when the store is to be back until it is.
constexpr milliseconds kReturnMargin(100);

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

PlatformPlan PlanFor(const SoakSize& size) {
  PlatformPlan plan;
  plan.instances = size.instances;
  plan.zones = size.zones;
  plan.servers_per_zone = size.servers_per_zone;
  plan.relays = true;
  plan.cold_rate_per_s = kColdRatePerS;
  return plan;
}

std::string VersionPrefix(uint64_t version) {
  return "/v" + std::to_string(version) + "/";
}

}  // namespace

SoakRun::SoakRun(uint64_t seed, const SoakSize& size)
    : size_(size),
      plan_(PlanSoak(seed, size)),
      fleet_(PlanFor(size)),
      incarnations_(static_cast<size_t>(size.instances)) {}

SoakRun::~SoakRun() {
  StopThreads();
}

std::vector<std::string> SoakRun::Run() {
  // WaitUntilReady and WaitForRecovery send requests with the id "ready".
  // Without this record, FindViolations would report that no caller sent them.
  ObservedRequest ready;
  ready.id = "ready";
  ready.path = "/work/x";
  RecordRequest(ready);
  if (!fleet_.WaitUntilReady(kStartTimeout))
    return {"the fleet did not start"};
  StartThreads();
  InjectFaults();
  FinishAllFaults();
  if (!WaitForRecovery())
    violations_.emplace_back("the fleet did not recover");
  StopThreads();
  for (int i = 0; i < fleet_.servers(); ++i)
    CollectRuns(i);
  OrderedLock lock(mutex_);
  for (const std::string& violation : FindViolations(record_))
    violations_.push_back(violation);
  return violations_;
}

int SoakRun::served() const {
  OrderedLock lock(mutex_);
  return static_cast<int>(std::count_if(
      record_.requests.begin(), record_.requests.end(),
      [](const ObservedRequest& request) { return request.status == 200; }));
}

std::string SoakRun::summary() const {
  std::map<int, int> by_status;
  {
    OrderedLock lock(mutex_);
    for (const ObservedRequest& request : record_.requests)
      ++by_status[request.status];
  }
  std::string text = std::to_string(plan_.size()) + " faults; calls by status:";
  for (const auto& [status, count] : by_status)
    text += " " + std::to_string(status) + "=" + std::to_string(count);
  return text;
}

void SoakRun::StartThreads() {
  PublishVersion();
  for (int i = 0; i < size_.callers; ++i)
    threads_.emplace_back([this, i] { RunCaller(i); });
  for (int i = 0; i < size_.instances; ++i)
    threads_.emplace_back([this, i] { RunVersionChecks(i); });
}

void SoakRun::StopThreads() {
  stop_ = true;
  for (std::thread& thread : threads_)
    thread.join();
  threads_.clear();
}

void SoakRun::RecordRequest(const ObservedRequest& request) {
  OrderedLock lock(mutex_);
  record_.requests.push_back(request);
}

void SoakRun::RunCaller(int number) {
  SoakObserver observer;
  observer.on_request = [this](const ObservedRequest& request) {
    RecordRequest(request);
  };
  observer.on_stray_bytes = [this](const StrayBytes& stray) {
    OrderedLock lock(mutex_);
    record_.stray_bytes.push_back(stray);
  };
  SoakCaller caller(fleet_, number, observer);
  while (!stop_) {
    std::this_thread::sleep_for(kThinkTime);
    caller.SendNext();
  }
  caller.Finish();
}

void SoakRun::RunVersionChecks(int instance) {
  const auto index = static_cast<size_t>(instance);
  for (int number = 0; !stop_; ++number) {
    std::this_thread::sleep_for(kVersionCheckInterval);
    VersionCheck check;
    check.instance = instance;
    check.incarnation = incarnations_[index];
    check.version = current_version_;
    check.sent_at = Now();
    ObservedRequest request;
    request.id = "v" + std::to_string(instance) + "-" + std::to_string(number);
    request.path = VersionPrefix(check.version) + request.id;
    request.instance = instance;
    request.sent_at = check.sent_at;
    const ClientResponse response =
        CallOnce(fleet_.caller_endpoint(instance),
                 {"GET", request.path, PlatformFleet::FieldsOf(request.id), ""},
                 kRequestTimeout);
    SetResponse(request, response);
    RecordRequest(request);
    check.answered_at = Now();
    check.in_force = response.status == 200;
    // Any other outcome does not show whether the version is in force.
    if (check.in_force || response.status == 404) {
      OrderedLock lock(mutex_);
      record_.version_checks.push_back(check);
    }
  }
}

void SoakRun::InjectFaults() {
  const TimePoint start = Now();
  {
    OrderedLock lock(mutex_);
    record_.started_at = start;
  }
  auto next = plan_.begin();
  while (Now() - start < size_.length) {
    const Duration elapsed = Now() - start;
    for (; next != plan_.end() && next->at <= elapsed; ++next)
      BeginFault(*next);
    for (size_t i = 0; i < active_.size();) {
      const SoakFault& fault = active_[i].fault;
      if (fault.at + fault.duration > elapsed) {
        ++i;
        continue;
      }
      const ActiveFault finished = active_[i];
      active_.erase(active_.begin() + static_cast<std::ptrdiff_t>(i));
      FinishFault(finished.fault);
      OrderedLock lock(mutex_);
      for (const size_t fault_period : finished.fault_periods)
        record_.fault_periods[fault_period].to = Now();
    }
    UpdateServerFaults();
    CheckProcesses();
    std::this_thread::sleep_for(kTick);
  }
}

void SoakRun::FinishAllFaults() {
  for (const ActiveFault& active : std::exchange(active_, {})) {
    FinishFault(active.fault);
    OrderedLock lock(mutex_);
    for (const size_t fault_period : active.fault_periods)
      record_.fault_periods[fault_period].to = Now();
  }
  const bool cleared = WaitFor(
      [this] {
        UpdateServerFaults();
        return server_faults_.empty();
      },
      kClearFaultsTimeout);
  if (!cleared)
    violations_.emplace_back("a stand-in server did not clear its faults");
  while (!stopping_.empty()) {
    CheckProcesses();
    std::this_thread::sleep_for(kTick);
  }
}

size_t SoakRun::BeginFaultPeriod(int instance) {
  OrderedLock lock(mutex_);
  record_.fault_periods.push_back({instance, Now(), TimePoint::max()});
  return record_.fault_periods.size() - 1;
}

void SoakRun::BeginFault(const SoakFault& fault) {
  active_.push_back({fault, {}});
  switch (fault.kind) {
    case SoakFaultKind::kNewVersion:
      return PublishVersion();
    case SoakFaultKind::kLargeVersions:
      return PublishLargeVersions();
    case SoakFaultKind::kStoreStale:
      // Not a fault period: any read that may be stale can be answered so.
      return fleet_.SetStoreMode("stale");
    case SoakFaultKind::kReloadInstance:
      if (fleet_.HasInstance(fault.target))
        SignalInstance(fault.target, SIGHUP);
      return;
    case SoakFaultKind::kServerResponses:
      return;  // UpdateServerFaults begins and ends it.
    case SoakFaultKind::kStoreMode:
    case SoakFaultKind::kStoreCompact:
    case SoakFaultKind::kStoreRestore:
      active_.back().fault_periods = {
          BeginFaultPeriod(FaultPeriod::kAllInstances)};
      return BeginOnStore(fault);
    case SoakFaultKind::kEvacuate: {
      fleet_.Evacuate(fault.target, true);
      OrderedLock lock(mutex_);
      record_.evacuations.push_back({fault.target, Now()});
      return;
    }
    case SoakFaultKind::kKillAllInstances:
      active_.back().fault_periods = {
          BeginFaultPeriod(FaultPeriod::kAllInstances)};
      for (int i = 0; i < size_.instances; ++i)
        fleet_.KillInstance(i);
      stopping_.clear();
      return;
    case SoakFaultKind::kKillInstance:
    case SoakFaultKind::kPauseInstance:
    case SoakFaultKind::kStopInstance:
    case SoakFaultKind::kCallerLink:
    case SoakFaultKind::kCallerReset:
    case SoakFaultKind::kStoreLink:
      active_.back().fault_periods = {BeginFaultPeriod(fault.target)};
      return BeginOnInstance(fault);
    default:
      return BeginOnServer(fault);
  }
}

void SoakRun::BeginOnInstance(const SoakFault& fault) {
  const int target = fault.target;
  switch (fault.kind) {
    case SoakFaultKind::kKillInstance:
      stopping_.erase(target);
      return fleet_.KillInstance(target);
    case SoakFaultKind::kPauseInstance:
      if (fleet_.HasInstance(target))
        fleet_.instance(target).Signal(SIGSTOP);
      return;
    case SoakFaultKind::kStopInstance:
      if (fleet_.HasInstance(target) && stopping_.count(target) == 0) {
        SignalInstance(target, SIGTERM);
        stopping_[target] = Now();
      }
      return;
    case SoakFaultKind::kCallerLink:
      return fleet_.caller_relay(target).SetFault(fault.link);
    case SoakFaultKind::kCallerReset:
      return fleet_.caller_relay(target).Reset();
    default:
      return fleet_.store_relay(target).SetFault(fault.link);
  }
}

void SoakRun::BeginOnServer(const SoakFault& fault) {
  const int target = fault.target;
  switch (fault.kind) {
    case SoakFaultKind::kKillServer:
      server_faults_.erase(target);
      return fleet_.KillServer(target);
    case SoakFaultKind::kPauseServer:
      if (fleet_.HasServer(target))
        fleet_.server(target).Signal(SIGSTOP);
      return;
    case SoakFaultKind::kDrainServer:
      if (fleet_.HasServer(target))
        fleet_.server(target).Signal(SIGTERM);
      return;
    case SoakFaultKind::kServerLink:
      return fleet_.server_relay(target).SetFault(fault.link);
    case SoakFaultKind::kServerReset:
      return fleet_.server_relay(target).Reset();
    case SoakFaultKind::kServerCold:
      if (!IsDisturbed(fault))
        fleet_.SetServerCold(target, fault.duration);
      return;
    default:
      return;
  }
}

void SoakRun::BeginOnStore(const SoakFault& fault) {
  if (fault.kind == SoakFaultKind::kStoreCompact)
    fleet_.CompactStore();
  else if (fault.kind == SoakFaultKind::kStoreRestore)
    fleet_.RestoreStore(fault.duration, fault.copy_age);
  else
    fleet_.SetStoreMode(fault.mode);
}

void SoakRun::FinishFault(const SoakFault& fault) {
  switch (fault.kind) {
    case SoakFaultKind::kKillInstance:
      return Restart(fault.target);
    case SoakFaultKind::kKillAllInstances:
      for (int i = 0; i < size_.instances; ++i)
        Restart(i);
      return;
    case SoakFaultKind::kPauseInstance:
      if (fleet_.HasInstance(fault.target))
        fleet_.instance(fault.target).Signal(SIGCONT);
      return;
    case SoakFaultKind::kCallerLink:
      return fleet_.caller_relay(fault.target).Heal();
    case SoakFaultKind::kStoreLink:
      return fleet_.store_relay(fault.target).Heal();
    case SoakFaultKind::kStoreMode:
    case SoakFaultKind::kStoreStale:
      return fleet_.SetStoreMode("serves");
    case SoakFaultKind::kStoreRestore:
      std::this_thread::sleep_for(kReturnMargin);
      return fleet_.RepeatOperatorWrites();
    case SoakFaultKind::kEvacuate: {
      {
        OrderedLock lock(mutex_);
        for (Evacuation& evacuation : record_.evacuations) {
          if (evacuation.zone == fault.target)
            evacuation.lifted_at = std::min(evacuation.lifted_at, Now());
        }
      }
      return fleet_.Evacuate(fault.target, false);
    }
    default:
      return FinishOnServer(fault);
  }
}

void SoakRun::FinishOnServer(const SoakFault& fault) {
  switch (fault.kind) {
    case SoakFaultKind::kPauseServer:
      if (fleet_.HasServer(fault.target))
        fleet_.server(fault.target).Signal(SIGCONT);
      return;
    case SoakFaultKind::kKillServer:
    case SoakFaultKind::kDrainServer:
      server_faults_.erase(fault.target);
      fleet_.KillServer(fault.target);
      return fleet_.StartServer(fault.target);
    case SoakFaultKind::kServerLink:
      return fleet_.server_relay(fault.target).Heal();
    case SoakFaultKind::kServerCold:
      return CheckColdServer(fault);
    default:
      return;
  }
}

bool SoakRun::IsDisturbed(const SoakFault& cold) const {
  return std::any_of(
      plan_.begin(), plan_.end(), [&cold](const SoakFault& fault) {
        return fault.target == cold.target && fault.at != cold.at &&
               (fault.kind == SoakFaultKind::kKillServer ||
                fault.kind == SoakFaultKind::kPauseServer ||
                fault.kind == SoakFaultKind::kDrainServer ||
                fault.kind == SoakFaultKind::kServerLink ||
                fault.kind == SoakFaultKind::kServerCold) &&
               fault.at <= cold.at + cold.duration &&
               fault.at + fault.duration >= cold.at;
      });
}

void SoakRun::CheckColdServer(const SoakFault& fault) {
  if (IsDisturbed(fault))
    return;
  std::vector<ColdArrival> arrivals = fleet_.ColdArrivals(fault.target);
  arrivals.erase(std::remove_if(arrivals.begin(), arrivals.end(),
                                [](const ColdArrival& arrival) {
                                  return arrival.cold_for < kColdNewsBound;
                                }),
                 arrivals.end());
  const size_t busiest = BusiestSecond(arrivals).size();
  if (static_cast<double>(busiest) > kMaxColdRequestsPerSecond) {
    violations_.push_back("cold server " + std::to_string(fault.target) +
                          " got " + std::to_string(busiest) +
                          " requests in one second");
  }
}

void SoakRun::Restart(int instance) {
  if (fleet_.HasInstance(instance))
    return;
  ++incarnations_[static_cast<size_t>(instance)];
  fleet_.StartInstance(instance);
}

void SoakRun::CheckProcesses() {
  for (int i = 0; i < size_.instances; ++i) {
    if (!fleet_.HasInstance(i))
      continue;
    RecordMemory(i);
    if (stopping_.count(i) > 0) {
      CheckStop(i);
    } else if (const auto exit =
                   fleet_.instance(i).WaitForExit(milliseconds(0))) {
      violations_.push_back("instance " + std::to_string(i) +
                            " ended by itself with " + std::to_string(*exit));
      fleet_.KillInstance(i);
      Restart(i);
    }
  }
}

// Time and exit status of the stop are not checked for an instance that the
// plan also pauses.
void SoakRun::CheckStop(int instance) {
  const auto exit = fleet_.instance(instance).WaitForExit(milliseconds(0));
  const bool overdue = Now() - stopping_.at(instance) > kStopBound;
  if (!exit && !overdue)
    return;
  if (!IsEverPaused(instance) && (!exit || *exit != 0)) {
    violations_.push_back(
        "instance " + std::to_string(instance) + " did not stop " +
        (exit ? "with 0, but with " + std::to_string(*exit) : "in time"));
  }
  stopping_.erase(instance);
  fleet_.KillInstance(instance);
  BeginFaultPeriod(instance);
  {
    OrderedLock lock(mutex_);
    record_.fault_periods.back().to = Now();
  }
  Restart(instance);
}

bool SoakRun::IsEverPaused(int instance) const {
  return std::any_of(plan_.begin(), plan_.end(),
                     [instance](const SoakFault& fault) {
                       return fault.kind == SoakFaultKind::kPauseInstance &&
                              fault.target == instance;
                     });
}

void SoakRun::SignalInstance(int instance, int signal) {
  const bool started =
      fleet_.instance(instance).SignalOnceStarted(signal, kStartTimeout);
  if (!started && !IsEverPaused(instance)) {
    violations_.push_back("instance " + std::to_string(instance) +
                          " did not get to its main() in time");
  }
}

void SoakRun::PublishVersion() {
  const uint64_t version = fleet_.version + 1;
  fleet_.extra_prefix = VersionPrefix(version);
  {
    OrderedLock lock(mutex_);
    if (!record_.published.empty())
      record_.published.back().replaced_at = Now();
  }
  fleet_.Publish();
  OrderedLock lock(mutex_);
  record_.published.push_back({version, Now(), TimePoint::max()});
  current_version_ = version;
}

void SoakRun::PublishLargeVersions() {
  fleet_.filler_routes = kFillerRoutes;
  for (int i = 0; i < kLargeVersions; ++i)
    PublishVersion();
  fleet_.filler_routes = 0;
  PublishVersion();
}

void SoakRun::RecordMemory(int instance) {
  const uint64_t bytes = fleet_.instance(instance).PeakMemory();
  const InstanceProcess process{instance,
                                incarnations_[static_cast<size_t>(instance)]};
  OrderedLock lock(mutex_);
  uint64_t& peak = record_.peak_memory[process];
  peak = std::max(peak, bytes);
}

bool SoakRun::IsPaused(int server) const {
  return std::any_of(
      active_.begin(), active_.end(), [server](const ActiveFault& active) {
        return active.fault.kind == SoakFaultKind::kPauseServer &&
               active.fault.target == server;
      });
}

/** Empty if the server has no faults. */
std::string SoakRun::WantedServerFaults(int server) const {
  ServerFaultMode mode;
  for (const auto& [fault, periods] : active_) {
    if (fault.kind != SoakFaultKind::kServerResponses || fault.target != server)
      continue;
    mode.kinds.insert(fault.server_fault);
    mode.share_percent = std::max(mode.share_percent, fault.share_percent);
    mode.seed += static_cast<uint64_t>(fault.at.count());
  }
  return mode.kinds.empty() ? "" : EncodeFaultMode(mode);
}

// A server that has restarted meanwhile, or was paused, is sent its faults
// later. A paused one would delay all other faults.
void SoakRun::UpdateServerFaults() {
  for (int i = 0; i < fleet_.servers(); ++i) {
    const std::string wanted = WantedServerFaults(i);
    const auto sent = server_faults_.find(i);
    const bool differs =
        wanted != (sent == server_faults_.end() ? "" : sent->second);
    if (!differs || IsPaused(i) || !fleet_.HasServer(i) ||
        !fleet_.SetServerFaults(i, wanted))
      continue;
    if (wanted.empty())
      server_faults_.erase(i);
    else
      server_faults_[i] = wanted;
  }
}

void SoakRun::CollectRuns(int server) {
  const std::string server_id = fleet_.ServerId(server);
  OrderedLock lock(mutex_);
  for (const RunLogEntry& entry : ReadRunLog(fleet_.RunLogPath(server))) {
    record_.keys_seen += entry.key_seen ? 1 : 0;
    if (entry.kind == RunLogEntry::Kind::kRun) {
      record_.runs.insert({entry.request_id,
                           {fleet_.zone_of_server(server), entry.method,
                            entry.target, entry.body_hash}});
    } else if (entry.kind == RunLogEntry::Kind::kResponse) {
      record_.responses.insert({entry.request_id, {server_id, entry.status}});
    }
  }
}

bool SoakRun::WaitForRecovery() {
  return WaitFor(
      [this] {
        for (int i = 0; i < size_.instances; ++i) {
          const std::string id = "ready";
          if (!fleet_.IsReady(i) ||
              fleet_.Call(fleet_.caller_endpoint(i), id).status != 200)
            return false;
        }
        return true;
      },
      kRecoveryBound);
}

}  // namespace mangodoor
